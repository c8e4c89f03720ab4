package gossip

import (
	"encoding/binary"

	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// maxNotices limits the crash notices that are accepted in one message.
const maxNotices = 1024

// Kinds of crash notices.
const (
	noticeInterrupted = 0
	noticeCompleted   = 1
)

// appendNotices appends the crash notices. They come after all fields that processes
// of an earlier release read.
func appendNotices(b []byte, notices []quarantine.Notice) []byte {
	b = binary.AppendUvarint(b, uint64(len(notices)))
	for _, n := range notices {
		b = append(b, n.Fingerprint[:]...)
		if n.Completed {
			b = binary.AppendUvarint(b, noticeCompleted)
			continue
		}
		b = binary.AppendUvarint(b, noticeInterrupted)
		b = appendString(b, n.Process.Upstream)
		b = binary.AppendVarint(b, n.Process.Incarnation)
	}
	return b
}

// notices reads the crash notices. A message of an earlier release has none.
func (r *reader) notices() []quarantine.Notice {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	count := r.uvarint(maxNotices)
	var out []quarantine.Notice
	for range count {
		var n quarantine.Notice
		if len(r.rest) < len(n.Fingerprint) {
			r.err = errFormat
			return nil
		}
		copy(n.Fingerprint[:], r.rest)
		r.rest = r.rest[len(n.Fingerprint):]
		n.Completed = r.uvarint(noticeCompleted) == noticeCompleted
		if !n.Completed {
			n.Process = quarantine.Process{Upstream: r.str(), Incarnation: r.varint()}
		}
		if r.err != nil {
			return nil
		}
		out = append(out, n)
	}
	return out
}
