package gossip

import (
	"encoding/binary"
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

const (
	// maxOrigins limits the streams that are accepted in one message.
	maxOrigins = 4096
	// keyBytes is the size of a stream's key.
	keyBytes = 8
)

// appendOrigins appends the streams that the sender has begun. They come after all fields
// that processes of an earlier release read.
func appendOrigins(b []byte, origins []gateway.StreamOrigin, now time.Time) []byte {
	b = binary.AppendUvarint(b, uint64(len(origins)))
	for _, o := range origins {
		b = binary.LittleEndian.AppendUint64(b, o.Key)
		b = appendString(b, o.Version)
		b = binary.AppendVarint(b, int64(now.Sub(o.Begun)/timeUnit))
	}
	return b
}

// origins reads the streams that the sender has begun. A message of an earlier release has
// none.
func (r *reader) origins(now time.Time) []gateway.StreamOrigin {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	var out []gateway.StreamOrigin
	for range r.uvarint(maxOrigins) {
		o := gateway.StreamOrigin{Key: r.key(), Version: r.str()}
		age := min(max(r.varint(), 0), maxTimeOffset)
		o.Begun = now.Add(-time.Duration(age) * timeUnit)
		if r.err != nil {
			return nil
		}
		out = append(out, o)
	}
	return out
}

func (r *reader) key() uint64 {
	if r.err != nil || len(r.rest) < keyBytes {
		r.err = errFormat
		return 0
	}
	key := binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[keyBytes:]
	return key
}
