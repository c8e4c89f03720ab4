package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

// appendLeaving appends the upstreams that have said that they leave. They come after all
// fields that processes of an earlier release read.
func appendLeaving(b []byte, leaving []gateway.UpstreamRef) []byte {
	b = binary.AppendUvarint(b, uint64(len(leaving)))
	for _, u := range leaving {
		b = appendString(b, u.ID)
		b = binary.AppendVarint(b, u.Incarnation)
	}
	return b
}

// leaving reads the upstreams that have said that they leave. A message of an earlier
// release has none.
func (r *reader) leaving() []gateway.UpstreamRef {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	var out []gateway.UpstreamRef
	for range r.uvarint(maxEngines) {
		u := gateway.UpstreamRef{ID: r.str(), Incarnation: r.varint()}
		if r.err != nil {
			return nil
		}
		out = append(out, u)
	}
	return out
}
