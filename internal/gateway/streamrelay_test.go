package gateway

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
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

// TestRunBeyondItsFirstEventIsSound guards against a prompt part that is suspected for
// engines that crash for other reasons, although its runs went on after their beginning.
func TestRunBeyondItsFirstEventIsSound(t *testing.T) {
	for events, sound := range []bool{false, false, true, true} {
		relay := newStreamRelay(httptest.NewRecorder())
		relay.beginRun(&exchange.Response{Status: 200, Framing: exchange.Chunked})
		calls := 0
		relay.onSound = func() { calls++ }
		body := io.MultiReader(strings.NewReader(strings.Repeat("id: 1\ndata: x\n\n", events)), &brokenReader{})
		if err := relay.copy(body); err == nil {
			t.Errorf("%d events: no error of a broken stream", events)
		}
		if (calls == 1) != sound || relay.provedSound() != sound {
			t.Errorf("%d events: told %d times to be sound, proved %v; want %v", events, calls, relay.provedSound(), sound)
		}
	}
}

// brokenReader fails as a connection does that was reset.
type brokenReader struct{}

// Read implements io.Reader.
func (*brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
