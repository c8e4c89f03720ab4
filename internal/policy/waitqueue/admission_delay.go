package waitqueue

import (
	"cmp"
	"time"
)

// Head describes the first waiting request of a gateway to the other gateways.
type Head struct {
	// Service is the service that the request is for. Requests for different
	// services do not compete.
	Service string
	// Late reports that the request can no longer meet its target, and does not
	// precede others that can.
	Late bool
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Due orders requests of equal priority: the earlier one is served first.
	Due time.Time
}

// NewHead returns the head of a queue whose first request is r.
func NewHead(service string, r *Request, now time.Time) Head {
	key := r.lateKey()
	if r.OnTime() {
		key = r.onTimeKey()
	}
	due := now.Add(time.Duration(key * float64(time.Second)))
	if r.Overtakes {
		due = due.Add(overtakingOffset)
	}
	return Head{Service: service, Late: !r.first(), Priority: r.Priority, Due: due}
}

// overtakingOffset orders a late request that precedes those of less urgent priorities
// behind all of its own that can meet their target. It is longer than any latency
// target.
const overtakingOffset = time.Minute

// precedes reports whether the request of h is served before that of o.
func (h Head) precedes(o Head) bool {
	if h.Late != o.Late {
		return o.Late
	}
	if c := cmp.Compare(h.Priority, o.Priority); c != 0 {
		return c < 0
	}
	return h.Due.Before(o.Due)
}

// admissionStep is how long a gateway waits for each gateway whose request
// precedes its own. In this time the other gateway may still have to notice the
// free capacity, and this one has to learn what the other has taken.
const admissionStep = 10 * time.Millisecond

// AdmissionDelay returns how long a gateway leaves free capacity to the other
// gateways.
//
// It is for bursts that arrive at many gateways. All of them learn of free
// capacity within a few milliseconds, and would overfill the engine if they
// took it at once. The gateway with the most urgent request therefore takes it
// first, and the others follow in order of their requests.
func AdmissionDelay(own Head, others []Head) time.Duration {
	ahead := 0
	for _, o := range others {
		if o.Service == own.Service && o.precedes(own) {
			ahead++
		}
	}
	return time.Duration(ahead) * admissionStep
}
