package gateway

import (
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/outbuf"
)

// firstResponseBuffer is the size of the first buffer for a response, in bytes. It is
// granted even if the budget is exhausted.
const firstResponseBuffer = 4 << 10

// responseMemory counts the responses of the attempts of one call. It is safe for
// concurrent use, because attempts may end after the call.
type responseMemory struct {
	budget *outbuf.Budget

	mu       sync.Mutex
	held     int64
	released bool
}

// reserve counts n bytes, if there is room for them or force is set.
func (m *responseMemory) reserve(n int64, force bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return force // the attempt has ended with its call
	}
	if force {
		m.budget.Reserve(outbuf.Responses, n)
	} else if !m.budget.TryReserve(outbuf.Responses, n) {
		return false
	}
	m.held += n
	return true
}

// release returns n bytes.
func (m *responseMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.released {
		m.held -= n
		m.budget.Release(outbuf.Responses, n)
	}
}

// releaseAll returns all memory at the end of the call.
func (m *responseMemory) releaseAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(outbuf.Responses, m.held)
	m.held, m.released = 0, true
}

// read reads the response body up to maxBufferedResponse. If the memory is short, it reads
// only the beginning, and the rest is passed on as it arrives: the upstream has done the
// work, so the response must not be refused. whole is set if the body has been read to its
// end.
func (m *responseMemory) read(resp *exchange.Response) (body []byte, whole bool, err error) {
	size := int64(firstResponseBuffer)
	m.reserve(size, true)
	// One more byte than the known length, for the read that finds the end.
	if known := min(resp.ContentLength+1, maxBufferedResponse); known > size && !resp.Bodiless && m.reserve(known-size, false) {
		size = known
	}
	body = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) == maxBufferedResponse {
			return body, false, nil
		}
		if err == io.EOF {
			_ = resp.Body.Close()
			return body, true, nil
		}
		if err != nil {
			_ = resp.Body.Close()
			m.release(int64(cap(body)))
			return nil, false, errors.Wrap(err, "read response body")
		}
		if len(body) == cap(body) {
			grown := m.grow(body)
			if grown == nil {
				return body, false, nil
			}
			body = grown
		}
	}
}

// grow returns the body in a buffer of twice the size, or nil if the memory is short.
// While it is copied, both buffers count.
func (m *responseMemory) grow(body []byte) []byte {
	size := min(2*cap(body), maxBufferedResponse)
	if !m.reserve(int64(size), false) {
		return nil
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	m.release(int64(cap(body)))
	return next
}
