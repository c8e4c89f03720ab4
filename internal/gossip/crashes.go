package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxCrashes bounds the notices that are accepted from the network.
const maxCrashes = 1024

// The kinds of notices.
const (
	kindBrokeOff = 0
	kindAcquit   = 1
)

// appendCrashes writes the notices at the end of a message: processes of an
// earlier release do not read them.
func appendCrashes(b []byte, notices []quarantine.Notice) []byte {
	b = binary.AppendUvarint(b, uint64(len(notices)))
	for _, n := range notices {
		b = append(b, n.Fingerprint[:]...)
		if n.Completed {
			b = binary.AppendUvarint(b, kindAcquit)
			continue
		}
		b = binary.AppendUvarint(b, kindBrokeOff)
		b = appendString(b, n.Process.Upstream)
		b = binary.AppendVarint(b, n.Process.Incarnation)
	}
	return b
}

// crashes reads the notices; a message of an earlier release has none.
func (r *reader) crashes() []quarantine.Notice {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	count := r.uvarint(maxCrashes)
	var out []quarantine.Notice
	for range count {
		var n quarantine.Notice
		if len(r.rest) < len(n.Fingerprint) {
			r.err = errFormat
			return nil
		}
		copy(n.Fingerprint[:], r.rest)
		r.rest = r.rest[len(n.Fingerprint):]
		n.Completed = r.uvarint(kindAcquit) == kindAcquit
		if !n.Completed {
			n.Process = quarantine.Process{Upstream: r.text(), Incarnation: r.varint()}
		}
		if r.err != nil {
			return nil
		}
		out = append(out, n)
	}
	return out
}
