package gossip

import (
	"encoding/binary"
	"math"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
)

// maxServices limits the service reports that are accepted in one message.
const maxServices = 256

// appendServices appends the service reports. They come after all fields that
// processes of an earlier release read.
func appendServices(b []byte, services []gateway.ServiceReport) []byte {
	b = binary.AppendUvarint(b, uint64(len(services)))
	for _, s := range services {
		b = appendString(b, s.Service)
		b = appendAverage(b, s.Speed.EventInterval)
		b = appendAverage(b, s.Speed.FirstEventDelay)
		b = appendLine(b, s.Speed.Prefill)
		b = binary.AppendUvarint(b, uint64(max(0, s.Work.Requests)))
		b = appendFloat(b, s.Work.PromptTokens)
		b = appendFloat(b, s.Work.MemoryOutputProduct)
	}
	return b
}

func appendAverage(b []byte, a profile.Average) []byte {
	return appendFloat(appendFloat(b, a.LogMean), a.Samples)
}

func appendLine(b []byte, l profile.Line) []byte {
	for _, v := range []float64{l.Samples, l.MeanX, l.MeanY, l.VarX, l.Cov} {
		b = appendFloat(b, v)
	}
	return b
}

// floatBytes is the encoded size of a number in a service report. Single precision
// is enough for estimates.
const floatBytes = 4

func appendFloat(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
}

// services reads the service reports. A message of an earlier release has none.
func (r *reader) services() []gateway.ServiceReport {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	count := r.uvarint(maxServices)
	var out []gateway.ServiceReport
	for range count {
		var s gateway.ServiceReport
		s.Service = r.str()
		s.Speed = profile.Measurements{EventInterval: r.average(), FirstEventDelay: r.average(), Prefill: r.line()}
		s.Work = gateway.Work{Requests: int(r.uvarint(maxCount)), PromptTokens: r.float(), MemoryOutputProduct: r.float()}
		if r.err != nil {
			return nil
		}
		out = append(out, s)
	}
	return out
}

func (r *reader) average() profile.Average {
	return profile.Average{LogMean: r.float(), Samples: r.float()}
}

func (r *reader) line() profile.Line {
	return profile.Line{Samples: r.float(), MeanX: r.float(), MeanY: r.float(), VarX: r.float(), Cov: r.float()}
}

func (r *reader) float() float64 {
	if r.err != nil || len(r.rest) < floatBytes {
		r.err = errFormat
		return 0
	}
	v := math.Float32frombits(binary.LittleEndian.Uint32(r.rest))
	r.rest = r.rest[floatBytes:]
	return float64(v)
}

// appendPrefillCounts appends the numbers of prompt tokens that were sent to each
// engine of the message, in the order of the engines. An empty list has no bytes.
func appendPrefillCounts(b []byte, engines []gateway.EngineLoad) []byte {
	for _, e := range engines {
		b = binary.AppendUvarint(b, uint64(max(0, e.PrefillTokensSent)/tokenUnit))
	}
	return b
}

// prefillCounts reads the numbers of prompt tokens into the engines. A message of an
// earlier release has none.
func (r *reader) prefillCounts(engines []gateway.EngineLoad) {
	if r.err != nil || len(r.rest) == 0 {
		return
	}
	for i := range engines {
		engines[i].PrefillTokensSent = int64(r.tokens())
	}
}
