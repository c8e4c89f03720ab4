package exchange

import (
	"io"

	"github.com/go-faster/errors"
)

// MaxHeadBytes limits the head of one response. Interim responses and responses to
// earlier requests, whose number is limited too, have heads of their own.
const MaxHeadBytes = 64 << 10

// errHeadTooLong is the cause of an Error when an upstream sends a response whose head
// does not end within MaxHeadBytes.
var errHeadTooLong = errors.New("head of the response is too long")

// headLimiter limits the bytes that are read while the head of a response is expected.
// Without it, a head that never ends is stored until the timeout of the request.
type headLimiter struct {
	source io.Reader
	// limited says whether a head is expected, and remaining how many bytes it may
	// still have.
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// beginHead limits the bytes that are read until endHead is called.
func (l *headLimiter) beginHead() { l.limited, l.remaining = true, MaxHeadBytes }

// endHead ends the limit. Bytes of the body are limited by their reader.
func (l *headLimiter) endHead() { l.limited = false }
