package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferBytes bounds the log lines that wait to be written; with
	// asyncInterval it bounds the log to 640 KiB a second.
	asyncBufferBytes = 64 << 10
	// asyncInterval is how often waiting lines are written.
	asyncInterval = 100 * time.Millisecond
)

// AsyncWriter hands log lines to a slow writer without ever blocking the
// process: lines that do not fit in its buffer are dropped and counted.
type AsyncWriter struct {
	w       io.Writer
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
}

// NewAsyncWriter returns a writer that passes lines on to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; each call is one line or several whole ones.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(p) > asyncBufferBytes {
		a.dropped.Add(1)
		return len(p), nil
	}
	a.pending = append(a.pending, p...)
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what is left and stops the writer.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.done
	return nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	tick := time.NewTicker(asyncInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.flush()
		case <-a.stop:
			a.flush()
			return
		}
	}
}

func (a *AsyncWriter) flush() {
	a.mu.Lock()
	lines := a.pending
	a.pending = a.spare[:0]
	a.mu.Unlock()
	if len(lines) > 0 {
		if _, err := a.w.Write(lines); err != nil {
			// There is no other place to report to; the count tells of the loss.
			a.dropped.Add(1)
		}
	}
	a.mu.Lock()
	a.spare = lines
	a.mu.Unlock()
}
