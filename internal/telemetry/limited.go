package telemetry

import (
	"sync"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log lines of one kind.
	linesPerSecond = 20
	lineBurst      = 50
)

// RateLimitedLogger writes log lines with a limit per kind, so that an overload cannot
// turn into a flood of lines. The next line of a kind tells how many were left out.
type RateLimitedLogger struct {
	log *log.Logger

	mu     sync.Mutex
	byKind map[string]*lineLimit
}

type lineLimit struct {
	limiter *rate.Limiter
	dropped int
}

// NewRateLimitedLogger returns a LimitedLog that writes to logger.
func NewRateLimitedLogger(logger *log.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{log: logger, byKind: make(map[string]*lineLimit)}
}

// Log writes one line unless its kind is over the limit. Kinds are few and
// fixed in the code.
func (l *RateLimitedLogger) Log(level log.Level, kind, message string, keyvals ...any) {
	if l.log.GetLevel() > level {
		return
	}
	dropped, ok := l.take(kind)
	if !ok {
		return
	}
	if dropped > 0 {
		keyvals = append(keyvals, "left_out", dropped)
	}
	l.log.Log(level, message, keyvals...)
}

func (l *RateLimitedLogger) take(kind string) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := l.byKind[kind]
	if !known {
		k = &lineLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.byKind[kind] = k
	}
	if !k.limiter.Allow() {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}
