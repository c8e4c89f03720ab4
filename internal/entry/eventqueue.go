package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// event is what one of a request's streams reported: a frame or the stream's end.
type event struct {
	decodeConn        *decodeConn
	decodeReply       *wire.DecodeReply
	prefillConn       *prefillConn
	prefillReply      *wire.PrefillReply
	err               error
	quarantineChanged bool // the quarantine has changed; it may concern this request
}

// eventQueue is the queue of a request's events. It is not bounded by count: a
// caller that reads slowly must not stop heartbeats from being read, and the
// output of a request is bounded by its token limit.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

func (b *eventQueue) push(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *eventQueue) pop() (event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.events) == 0 {
		return event{}, false
	}
	e := b.events[0]
	b.events[0] = event{}
	b.events = b.events[1:]
	return e, true
}

// errTick reports that the tick came before an event.
var errTick = errors.New("tick")

// next waits for an event; it returns errTick when tick fires before, and the
// context's cause when that ends first.
func (b *eventQueue) next(ctx context.Context, tick <-chan time.Time) (event, error) {
	for {
		if e, ok := b.pop(); ok {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return event{}, context.Cause(ctx)
		case <-tick:
			return event{}, errTick
		case <-b.wake:
		}
	}
}
