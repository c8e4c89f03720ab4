package plain

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/go-faster/errors"
)

const (
	// replayLimit bounds the declared length of a body that is buffered, so that
	// it can be sent to a second upstream. Longer bodies and bodies of unknown
	// length are streamed to one upstream.
	replayLimit = 256 << 10
	// bodyTimeout bounds how long a caller may take to send a buffered body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody applies when the options state no limit.
	defaultMaxBody = 8 << 20
)

// callBody is a caller's body, either buffered or streamed once.
type callBody struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	used     atomic.Bool
}

// takeBody prepares the body of r. With whole set, it buffers the body whatever its length.
func takeBody(w http.ResponseWriter, r *http.Request, limit int64, whole bool) (*callBody, *fault.Error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &callBody{}, nil
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if !whole && (r.ContentLength < 0 || r.ContentLength > replayLimit) {
		return &callBody{stream: &streamedBody{Reader: limited, writer: w}, length: r.ContentLength}, nil
	}
	data, f := readBody(w, limited, limit)
	if f != nil {
		return nil, f
	}
	return &callBody{buffered: data, length: int64(len(data))}, nil
}

func readBody(w http.ResponseWriter, body io.Reader, limit int64) ([]byte, *fault.Error) {
	control := http.NewResponseController(w)
	// A writer without deadlines leaves slow senders to the server's own timeouts.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	}
	stopReading(w)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	return nil, fault.New(fault.KindRequestTimeout, "send the whole body within 10 s",
		"the body did not arrive").WithCause(err)
}

// stopReading ends a request whose body has not arrived. Without a deadline
// the server would wait for a slow sender before it ends the connection.
func stopReading(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// finish ends the use of the body before its handler returns, since a later
// deadline would hit the next request of the connection.
func (b *callBody) finish() {
	if b != nil && b.stream != nil {
		_ = b.stream.Close()
	}
}

// streamedBody is a caller's body on its way to a service.
type streamedBody struct {
	io.Reader
	writer http.ResponseWriter
	ended  atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It ends a blocked Read, which the server's own
// body does not: a call that timed out would otherwise wait for its caller.
func (b *streamedBody) Close() error {
	if b.ended.Swap(true) {
		return nil
	}
	return http.NewResponseController(b.writer).SetReadDeadline(time.Now())
}

func bodyTooLarge(limit int64) *fault.Error {
	return fault.New(fault.KindBodyTooLarge, "send a smaller body", "the body exceeds %d bytes", limit)
}

// replayable reports whether another upstream can be given the body.
func (b *callBody) replayable() bool { return b.stream == nil || !b.used.Load() }

func (b *callBody) empty() bool { return b.stream == nil && len(b.buffered) == 0 }

// open returns the body for one attempt. It is never nil and has no GetBody:
// net/http repeats a request with an empty or rewindable body by itself on some
// errors, which would be a second submission.
func (b *callBody) open() (io.ReadCloser, int64) {
	if b.stream != nil {
		b.used.Store(true)
		return b.stream, b.length
	}
	if len(b.buffered) == 0 {
		return emptyBody{}, 0
	}
	return io.NopCloser(bytes.NewReader(b.buffered)), b.length
}

// emptyBody has no bytes and, unlike http.NoBody, is not taken for replayable by net/http.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
