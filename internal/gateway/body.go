package gateway

import (
	"io"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/outbuf"
)

var (
	errBodyTooLong = errors.New("the request body exceeds the limit")
	// errBodyMemory means that the body does not fit beside those of other requests.
	errBodyMemory = errors.New("the bodies of other requests fill the memory")
)

// firstBodyBuffer is the size of the first buffer for a body of unknown length, in bytes.
const firstBodyBuffer = 16 << 10

func bodyTooLargeError(limit int64) *fault.Error {
	return fault.New(fault.KindBodyTooLarge, "send a smaller body", "the body is over %d bytes", limit)
}

// reserveBody counts memory for a body, unless all bodies together would take more than
// their share of the memory, or the memory is short.
func (g *Gateway) reserveBody(n int64) error {
	if !g.memory.TryReserve(outbuf.RequestBodies, n) {
		return errBodyMemory
	}
	return nil
}

// releaseBody returns the memory of a body.
func (g *Gateway) releaseBody(n int64) { g.memory.Release(outbuf.RequestBodies, n) }

// readReserved reads a body and counts its memory while it is read. If its length is not
// known (negative), a body of more than limit bytes is an error; a known length must have
// been checked. After an error, none of the memory is counted any more; otherwise that of
// the result is.
func (g *Gateway) readReserved(r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return g.readGrowing(r, limit)
	}
	if err := g.reserveBody(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		g.releaseBody(length)
		return nil, err
	}
	return body, nil
}

// readGrowing reads a body of unknown length into a buffer that doubles when it is full.
func (g *Gateway) readGrowing(r io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			next, err := g.growBody(body)
			if err != nil {
				return nil, err
			}
			body = next
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			err = errBodyTooLong
		}
		if errors.Is(err, io.EOF) {
			return g.trimBody(body)
		}
		if err != nil {
			g.releaseBody(int64(cap(body)))
			return nil, err
		}
	}
}

// growBody returns the body in a buffer of twice the size. While it is copied, both buffers
// count.
func (g *Gateway) growBody(body []byte) ([]byte, error) {
	size := max(firstBodyBuffer, 2*cap(body))
	err := g.reserveBody(int64(size))
	g.releaseBody(int64(cap(body)))
	if err != nil {
		return nil, err
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	return next, nil
}

// trimBody returns the body in a buffer of its own size.
func (g *Gateway) trimBody(body []byte) ([]byte, error) {
	err := g.reserveBody(int64(len(body)))
	g.releaseBody(int64(cap(body)))
	if err != nil {
		return nil, err
	}
	trimmed := make([]byte, len(body))
	copy(trimmed, body)
	return trimmed, nil
}
