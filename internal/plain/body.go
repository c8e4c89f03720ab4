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
	// maxReplayBytes is the largest declared body length that is buffered, so that
	// the body can be sent to a second upstream. Longer bodies and bodies of
	// unknown length are streamed to one upstream only.
	maxReplayBytes = 256 << 10
	// bodyReadTimeout limits how long a caller may take to send a buffered body.
	bodyReadTimeout = 10 * time.Second
	// defaultMaxBody applies when RouterOptions.MaxBody is not set.
	defaultMaxBody = 8 << 20
)

// requestBody is a caller's request body. It is either buffered, or streamed and
// then readable only once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	opened   atomic.Bool
}

// newRequestBody prepares the body of r. With bufferAll, it buffers the body
// whatever its length.
func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64, bufferAll bool) (*requestBody, *fault.Error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if !bufferAll && (r.ContentLength < 0 || r.ContentLength > maxReplayBytes) {
		return &requestBody{stream: &streamedBody{Reader: limited, writer: w}, length: r.ContentLength}, nil
	}
	data, f := readBody(w, limited, limit)
	if f != nil {
		return nil, f
	}
	return &requestBody{buffered: data, length: int64(len(data))}, nil
}

func readBody(w http.ResponseWriter, body io.Reader, limit int64) ([]byte, *fault.Error) {
	control := http.NewResponseController(w)
	// A ResponseWriter that does not support deadlines leaves slow senders to the
	// server's own timeouts.
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	data, err := io.ReadAll(body)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	}
	abortRead(w)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	return nil, fault.New(fault.KindRequestTimeout, "send the whole body within 10 s",
		"the body did not arrive").WithCause(err)
}

// abortRead stops reading a request whose body has not arrived. Without an expired
// deadline, the server would wait for a slow sender before it closes the
// connection.
func abortRead(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// release closes a streamed body. It must run before the handler returns: a read
// deadline that is set later would affect the next request on the connection.
func (b *requestBody) release() {
	if b != nil && b.stream != nil {
		_ = b.stream.Close()
	}
}

// streamedBody is a caller's body that is forwarded to a service while it arrives.
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

// Close implements io.Closer. It unblocks a pending Read by expiring the read
// deadline. The server's own body does not do that, so a call that timed out would
// keep waiting for its caller to send.
func (b *streamedBody) Close() error {
	if b.ended.Swap(true) {
		return nil
	}
	return http.NewResponseController(b.writer).SetReadDeadline(time.Now())
}

func bodyTooLarge(limit int64) *fault.Error {
	return fault.New(fault.KindBodyTooLarge, "send a smaller body", "the body exceeds %d bytes", limit)
}

// replayable reports whether the body can be sent to another upstream.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.opened.Load() }

func (b *requestBody) empty() bool { return b.stream == nil && len(b.buffered) == 0 }

// open returns the body for one attempt. The reader is never nil and the request
// gets no GetBody: on some errors, net/http resends a request whose body is empty
// or can be rewound, which would be a second submission.
func (b *requestBody) open() (io.ReadCloser, int64) {
	if b.stream != nil {
		b.opened.Store(true)
		return b.stream, b.length
	}
	if len(b.buffered) == 0 {
		return emptyBody{}, 0
	}
	return io.NopCloser(bytes.NewReader(b.buffered)), b.length
}

// emptyBody is a body without bytes. net/http may resend a request with
// http.NoBody, but not one with emptyBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
