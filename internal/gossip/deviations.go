package gossip

import (
	"encoding/binary"
	"math"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/profile"
)

const (
	// maxDeviations limits the engines whose deviation is in one message.
	maxDeviations = 256
	// deviationSize is the size of one of them, in bytes.
	deviationSize = upstreamKeySize + 4
	// deviationUnit is the unit of the logarithm of a slowdown.
	deviationUnit = 0.02
)

// appendDeviations appends the deviations of engines, 8 bytes each.
func appendDeviations(b []byte, deviations []gateway.EngineDeviation) []byte {
	deviations = deviations[:min(len(deviations), maxDeviations)]
	b = binary.AppendUvarint(b, uint64(len(deviations)))
	for _, d := range deviations {
		b = binary.LittleEndian.AppendUint32(b, uint32(d.Engine))
		for _, a := range []profile.Average{d.Stream, d.Prefill} {
			log := math.Round(min(max(a.LogMean/deviationUnit, math.MinInt8), math.MaxInt8))
			b = append(b, byte(int8(log)), byte(min(max(0, math.Round(a.Samples)), math.MaxUint8)))
		}
	}
	return b
}

// deviations reads the deviations of engines.
func (r *reader) deviations() []gateway.EngineDeviation {
	if r.err != nil || len(r.rest) == 0 {
		return nil
	}
	var out []gateway.EngineDeviation
	for range r.uvarint(maxDeviations) {
		if r.err != nil || len(r.rest) < deviationSize {
			r.err = errFormat
			return nil
		}
		d := gateway.EngineDeviation{Engine: gateway.UpstreamKey(binary.LittleEndian.Uint32(r.rest))}
		d.Stream, d.Prefill = deviation(r.rest[upstreamKeySize:]), deviation(r.rest[upstreamKeySize+2:])
		r.rest = r.rest[deviationSize:]
		out = append(out, d)
	}
	return out
}

// deviation reads one average of a deviation.
func deviation(b []byte) profile.Average {
	return profile.Average{LogMean: float64(int8(b[0])) * deviationUnit, Samples: float64(b[1])}
}
