package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

const (
	// maxPlainLoads limits the upstreams of plain services in one message.
	maxPlainLoads = 256
	// upstreamKeySize is the size of an upstream's key, in bytes.
	upstreamKeySize = 4
)

// appendPlainLoads appends the calls in progress at plain upstreams, 5 bytes each.
func appendPlainLoads(b []byte, loads []gateway.PlainLoad) []byte {
	loads = loads[:min(len(loads), maxPlainLoads)]
	b = binary.AppendUvarint(b, uint64(len(loads)))
	for _, l := range loads {
		b = binary.LittleEndian.AppendUint32(b, uint32(l.Upstream))
		b = binary.AppendUvarint(b, uint64(min(l.Calls, maxWaiting)))
	}
	return b
}

// plainLoads reads the calls in progress at plain upstreams.
func (r *reader) plainLoads() []gateway.PlainLoad {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	var loads []gateway.PlainLoad
	for range r.uvarint(maxPlainLoads) {
		if r.err != nil || len(r.rest) < upstreamKeySize {
			r.err = errFormat
			return nil
		}
		key := binary.LittleEndian.Uint32(r.rest)
		r.rest = r.rest[upstreamKeySize:]
		loads = append(loads, gateway.PlainLoad{Upstream: gateway.UpstreamKey(key), Calls: int(r.uvarint(maxWaiting))})
	}
	return loads
}
