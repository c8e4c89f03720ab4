package gateway

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// endlessReader returns the same bytes for ever.
type endlessReader struct {
	text  string
	bytes int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(r.text, 1+len(p)/len(r.text)))
	r.bytes += n
	return n, nil
}

// TestEndlessEvent guards against a stream that takes the memory of the process with
// an event that never ends.
func TestEndlessEvent(t *testing.T) {
	const limit = 4 * maxEventBytes
	body := &endlessReader{text: "data: x\n"}
	relay := newStreamRelay(httptest.NewRecorder())
	err := relay.copy(io.LimitReader(body, 2*limit))
	if !errors.Is(err, errEventTooLong) {
		t.Errorf("error %v, want %v", err, errEventTooLong)
	}
	if body.bytes > limit {
		t.Errorf("read %d bytes of one event", body.bytes)
	}
}
