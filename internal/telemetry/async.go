package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBufferBytes is the size of the buffer for lines that are not written yet.
	// Together with asyncFlushInterval it limits the log to 640 KiB/s.
	asyncBufferBytes = 64 << 10
	// asyncFlushInterval is the interval at which the buffered lines are written.
	asyncFlushInterval = 100 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them to a slow writer in the background, so
// that logging never blocks the process. It drops and counts lines that do not fit into
// its buffer.
type AsyncWriter struct {
	w       io.Writer
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
}

// NewAsyncWriter returns an AsyncWriter that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. p must consist of whole lines.
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

// Dropped returns the number of writes that were dropped or failed.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and stops the writer.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.done
	return nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	tick := time.NewTicker(asyncFlushInterval)
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

// flush writes the buffered lines. It swaps the two buffers, so that the write happens
// without holding the lock.
func (a *AsyncWriter) flush() {
	a.mu.Lock()
	lines := a.pending
	a.pending = a.spare[:0]
	a.mu.Unlock()
	if len(lines) > 0 {
		if _, err := a.w.Write(lines); err != nil {
			// A failure of the log cannot be logged, so it is only counted.
			a.dropped.Add(1)
		}
	}
	a.mu.Lock()
	a.spare = lines
	a.mu.Unlock()
}
