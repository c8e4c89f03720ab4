package waitqueue

import (
	"cmp"
	"time"
)

// Head is the first waiting request of a gateway, as the others see it.
type Head struct {
	// Service is what it asks for; requests for other services do not compete.
	Service string
	// Late tells that the request cannot be in time any more.
	Late bool
	// Priority is the rank of its route; 0 is the most urgent.
	Priority int
	// Due orders the requests of one rank: the earlier goes first.
	Due time.Time
}

// NewHead returns the head of a queue whose first request is r.
func NewHead(service string, r *Request, now time.Time) Head {
	key := r.lateKey()
	if r.urgent() {
		key = r.urgentKey()
	}
	return Head{Service: service, Late: !r.urgent(), Priority: r.Priority, Due: now.Add(time.Duration(key * float64(time.Second)))}
}

// before reports whether the request of h goes before that of o.
func (h Head) before(o Head) bool {
	if h.Late != o.Late {
		return o.Late
	}
	if c := cmp.Compare(h.Priority, o.Priority); c != 0 {
		return c < 0
	}
	return h.Due.Before(o.Due)
}

// turnTime is how long a gateway leaves a place to each of those whose requests
// go first: they may see it a moment later, and what they took must be heard.
const turnTime = 10 * time.Millisecond

// AdmissionDelay returns how long a gateway leaves a place that has become free to others.
//
// It answers bursts at many gateways: all learn of a free place within a few
// milliseconds, and those that take it at once overfill the engine. The gateway
// with the most urgent request goes first, and the others in their order.
func AdmissionDelay(own Head, others []Head) time.Duration {
	ahead := 0
	for _, o := range others {
		if o.Service == own.Service && o.before(own) {
			ahead++
		}
	}
	return time.Duration(ahead) * turnTime
}
