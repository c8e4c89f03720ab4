package outbuf

import (
	"io"
	"sync"
	"time"
)

const (
	// chunkBytes is the unit in which the buffer of a stream grows.
	chunkBytes = 4 << 10
	// MaxStreamBytes limits the buffer of one stream. It holds a stream of 70 events of
	// a few hundred bytes several times.
	MaxStreamBytes = 128 << 10
)

// chunk is a part of a buffer. The bytes from start to end are filled and not yet taken.
type chunk struct {
	start, end int
	buf        [chunkBytes]byte
}

// ReadAhead is the reader of an upstream's stream for a relay that writes what it reads
// to a client. It reads from the upstream directly until Begin is called. From then on, a
// goroutine reads from the upstream into a bounded buffer while the relay waits for its
// client. A full buffer, or a budget without room, stops that goroutine until the relay
// has taken a part: the upstream is then slowed down by its connection.
//
// Read, Begin and Stop are called by the relay's goroutine.
type ReadAhead struct {
	source io.Reader
	budget *Budget
	max    int
	// begun is set if the goroutine was started, and ended if source has failed or
	// ended before.
	begun, ended bool
	done         chan struct{}

	mu sync.Mutex
	// changed wakes up the reading goroutine and the relay.
	changed sync.Cond
	chunks  []*chunk
	// err is the end of the source.
	err      error
	stopped  bool
	lastRead time.Time
	// fullSince is the time since which the buffer has had no room; zero if it has.
	fullSince time.Time
	// waiting is the number of bytes that the relay has not taken yet, and most the largest
	// number so far.
	waiting, most int
	// paused is for how long the upstream was not read because the buffer had no room, and
	// longestPause the longest such time without a break.
	paused, longestPause time.Duration
}

// NewReadAhead returns a reader of source that buffers at most limit bytes. budget may be
// nil.
func NewReadAhead(source io.Reader, budget *Budget, limit int) *ReadAhead {
	return &ReadAhead{source: source, budget: budget, max: limit}
}

// Read implements io.Reader.
func (a *ReadAhead) Read(p []byte) (int, error) {
	if !a.begun {
		n, err := a.source.Read(p)
		a.ended = a.ended || err != nil
		return n, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.waiting == 0 && a.err == nil {
		a.changed.Wait()
	}
	if a.waiting == 0 {
		return 0, a.err
	}
	return a.take(p), nil
}

// take moves bytes from the buffer to p. The caller holds a.mu.
func (a *ReadAhead) take(p []byte) int {
	n := 0
	for n < len(p) && len(a.chunks) > 0 {
		c := a.chunks[0]
		taken := copy(p[n:], c.buf[c.start:c.end])
		n += taken
		c.start += taken
		if c.start < len(c.buf) {
			break // what follows has not been read yet, or does not fit into p
		}
		a.chunks = a.chunks[1:]
		a.budget.Release(Streams, chunkBytes)
		a.changed.Broadcast()
	}
	a.waiting -= n
	return n
}

// Begin starts reading ahead, unless the source has ended. It does nothing if it was
// called before.
func (a *ReadAhead) Begin() {
	if a.begun || a.ended {
		return
	}
	a.begun = true
	a.changed.L = &a.mu
	a.done = make(chan struct{})
	a.lastRead = time.Now()
	go a.run()
}

// run reads the source until it ends or Stop is called.
func (a *ReadAhead) run() {
	defer close(a.done)
	for {
		c := a.room()
		if c == nil {
			return
		}
		n, err := a.source.Read(c.buf[c.end:])
		if !a.add(c, n, err) {
			return
		}
	}
}

// room waits until the buffer may grow, and returns its last chunk, which has room. It
// returns nil after Stop.
func (a *ReadAhead) room() *chunk {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.stopped {
		if last := len(a.chunks) - 1; last >= 0 && a.chunks[last].end < chunkBytes {
			a.endPause()
			return a.chunks[last]
		}
		if a.grow() {
			continue
		}
		if a.fullSince.IsZero() {
			a.fullSince = time.Now()
		}
		a.changed.Wait()
	}
	a.endPause()
	return nil
}

// grow adds a chunk if the limits allow it. An empty buffer always gets one, because the
// relay waits for it. The caller holds a.mu.
func (a *ReadAhead) grow() bool {
	switch {
	case len(a.chunks) == 0:
		a.budget.Reserve(Streams, chunkBytes)
	case (len(a.chunks)+1)*chunkBytes > a.max || !a.budget.TryReserve(Streams, chunkBytes):
		return false
	}
	a.chunks = append(a.chunks, new(chunk))
	return true
}

// endPause counts the time for which the buffer had no room. The caller holds a.mu.
func (a *ReadAhead) endPause() {
	if !a.fullSince.IsZero() {
		pause := time.Since(a.fullSince)
		a.paused += pause
		a.longestPause = max(a.longestPause, pause)
		a.fullSince = time.Time{}
	}
}

// add records what was read into the chunk. It reports whether more is to be read.
func (a *ReadAhead) add(c *chunk, n int, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		c.end += n
		a.waiting += n
		a.most = max(a.most, a.waiting)
		a.lastRead = time.Now()
	}
	a.err = err
	a.changed.Broadcast()
	return err == nil && !a.stopped
}

// Waiting returns the number of bytes that the relay has not taken yet.
func (a *ReadAhead) Waiting() int {
	if !a.begun {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting
}

// HeldBack returns for how long the upstream has not been read because the buffer has no
// room. It is 0 if the buffer has room.
func (a *ReadAhead) HeldBack() time.Duration {
	if !a.begun {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fullSince.IsZero() {
		return 0
	}
	return time.Since(a.fullSince)
}

// Result describes a stream that was read ahead.
type Result struct {
	// Begun is set if the stream was read ahead at all; the rest is zero otherwise.
	Begun bool
	// MostWaiting is the largest number of bytes that waited for the client.
	MostWaiting int
	// Paused is for how long the upstream was not read because the buffer had no room, and
	// LongestPause the longest time without a read.
	Paused, LongestPause time.Duration
	// LastRead is the time of the last bytes of the upstream, and Silent is set if the
	// upstream was asked for more when the relay stopped.
	LastRead time.Time
	Silent   bool
}

// Stop ends reading ahead and frees the buffer. It calls cancel, which must make the
// source's Read return, if the source has not ended.
func (a *ReadAhead) Stop(cancel func()) Result {
	if !a.begun {
		return Result{}
	}
	a.mu.Lock()
	a.stopped = true
	reading := a.err == nil && a.fullSince.IsZero()
	ended := a.err != nil
	a.changed.Broadcast()
	a.mu.Unlock()
	if !ended {
		cancel()
	}
	<-a.done
	a.budget.Release(Streams, int64(len(a.chunks)*chunkBytes))
	a.chunks, a.waiting = nil, 0
	return Result{Begun: true, MostWaiting: a.most, Paused: a.paused, LongestPause: a.longestPause, LastRead: a.lastRead, Silent: reading}
}
