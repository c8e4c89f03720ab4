package telemetry

import (
	"sync"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst are the rate limit for log lines of one kind.
	linesPerSecond = 20
	lineBurst      = 50
)

// RateLimitedLogger writes log lines with a rate limit for each kind of line, so that an
// overload does not flood the log. The next line of a kind that is written tells how
// many lines of that kind were dropped.
type RateLimitedLogger struct {
	logger *log.Logger

	mu     sync.Mutex
	limits map[string]*kindLimit
}

// kindLimit is the rate limiter of one kind of line, with the number of lines dropped
// since the last one that was written.
type kindLimit struct {
	limiter *rate.Limiter
	dropped int
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to logger.
func NewRateLimitedLogger(logger *log.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{logger: logger, limits: make(map[string]*kindLimit)}
}

// Log writes one line unless lines of its kind are over the rate limit. The kinds must be
// a small, fixed set, because Log keeps a rate limiter for each kind.
func (l *RateLimitedLogger) Log(level log.Level, kind, message string, keyvals ...any) {
	if l.logger.GetLevel() > level {
		return
	}
	dropped, ok := l.allow(kind)
	if !ok {
		return
	}
	if dropped > 0 {
		keyvals = append(keyvals, "left_out", dropped)
	}
	l.logger.Log(level, message, keyvals...)
}

// allow reports whether a line of the kind may be written now and, if so, how many lines
// were dropped since the last one.
func (l *RateLimitedLogger) allow(kind string) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, known := l.limits[kind]
	if !known {
		limit = &kindLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.limits[kind] = limit
	}
	if !limit.limiter.Allow() {
		limit.dropped++
		return 0, false
	}
	dropped, limit.dropped = limit.dropped, 0
	return dropped, true
}
