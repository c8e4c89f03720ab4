package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
)

const (
	// maxWaitingClasses limits the classes of waiting requests in one message.
	maxWaitingClasses = 64
	// maxWaiting limits the number of requests of one class. More are sent as this many.
	maxWaiting = 1 << 16
)

// appendWaiting appends the numbers of waiting requests by service and priority, about 15
// bytes each.
func appendWaiting(b []byte, classes []gateway.WaitingClass) []byte {
	classes = classes[:min(len(classes), maxWaitingClasses)]
	b = binary.AppendUvarint(b, uint64(len(classes)))
	for _, c := range classes {
		b = appendString(b, c.Service)
		b = binary.AppendUvarint(b, uint64(min(max(0, c.Priority), maxPriority)))
		b = binary.AppendUvarint(b, uint64(min(c.OnTime, maxWaiting)))
		b = binary.AppendUvarint(b, uint64(min(c.Late, maxWaiting)))
	}
	return b
}

// waiting reads the numbers of waiting requests. A message of an earlier release, or of a
// gateway where no request waits, has none.
func (r *reader) waiting() []gateway.WaitingClass {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	var classes []gateway.WaitingClass
	for range r.uvarint(maxWaitingClasses) {
		c := gateway.WaitingClass{Service: r.str()}
		c.Waiting = overload.Waiting{Priority: int(r.uvarint(maxPriority)), OnTime: int(r.uvarint(maxWaiting)), Late: int(r.uvarint(maxWaiting))}
		if r.err != nil {
			return nil
		}
		classes = append(classes, c)
	}
	return classes
}
