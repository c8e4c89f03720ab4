package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

// maxLimits limits the limits of upstreams that are accepted in one message.
const maxLimits = 4096

// appendLimits appends the limits that upstreams named. They come after all fields that
// processes of an earlier release read.
func appendLimits(b []byte, limits []gateway.LimitReport, now time.Time) []byte {
	b = binary.AppendUvarint(b, uint64(len(limits)))
	for _, l := range limits {
		b = appendString(b, l.ID)
		b = binary.AppendVarint(b, l.Incarnation)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(l.PerSecond)))
		b = binary.AppendVarint(b, int64(now.Sub(l.NamedAt)/timeUnit))
	}
	return b
}

// limits reads the limits that upstreams named. A message of an earlier release has
// none.
func (r *reader) limits(now time.Time) []gateway.LimitReport {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	count := r.uvarint(maxLimits)
	var out []gateway.LimitReport
	for range count {
		l := gateway.LimitReport{ID: r.str(), Incarnation: r.varint(), PerSecond: r.float()}
		age := min(max(r.varint(), 0), maxTimeOffset)
		l.NamedAt = now.Add(-time.Duration(age) * timeUnit)
		if r.err != nil {
			return nil
		}
		out = append(out, l)
	}
	return out
}
