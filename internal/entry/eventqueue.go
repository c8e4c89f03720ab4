package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// event is a frame received from one of a request's streams, the end of such a
// stream, or a change of the quarantine.
type event struct {
	decodeConn        *decodeConn
	decodeReply       *wire.DecodeReply
	prefillConn       *prefillConn
	prefillReply      *wire.PrefillReply
	err               error
	quarantineChanged bool // the quarantine record changed, possibly for this request
}

// eventQueue holds the pending events of a request. Its length is not bounded: a
// caller that reads slowly must not keep heartbeats from being read, and the
// request's token limit bounds its output.
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

// errTick reports that the ticker fired before an event arrived.
var errTick = errors.New("tick")

// next waits for the next event. It returns errTick if tick fires first, and the
// cause of the context's cancellation if ctx ends first.
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
