package enginechoice

import "github.com/fescueslip/fescueslip/internal/policy/profile"

// Pool holds the speeds of the usable engines of a service, by role.
type Pool struct {
	// Mean is the speed of the service. It stands for a role without engines.
	Mean            profile.Speed
	Prefill, Decode []profile.EngineSpeed
}

// Fastest returns the shortest times that any engine of each role takes. A request that is
// too late for these is too late for all engines.
func (p Pool) Fastest() profile.Speed {
	fastest := p.Mean
	for i, e := range p.Prefill {
		if i == 0 || e.PrefillRate > fastest.PrefillRate {
			fastest.PrefillRate, fastest.PrefillDelay = e.PrefillRate, e.PrefillDelay
		}
	}
	for i, e := range p.Decode {
		if i == 0 || e.EventInterval < fastest.EventInterval {
			fastest.EventInterval, fastest.FirstEventDelay = e.EventInterval, e.FirstEventDelay
		}
	}
	return fastest
}

// DecodePrefillShare is the prefill speed of a decode engine as a share of that of a
// prefill engine.
const DecodePrefillShare = 0.5

// PromptRate returns the number of prompt tokens that the engines process per second. The
// decode engines process the prompts if no engine is in the prefill role.
func (p Pool) PromptRate() float64 {
	sum := 0.0
	for _, e := range p.Prefill {
		sum += e.PrefillRate
	}
	if len(p.Prefill) > 0 {
		return sum
	}
	for _, e := range p.Decode {
		sum += 1 / e.PrefillSlowdown
	}
	return p.Mean.PrefillRate * DecodePrefillShare * sum
}

// DecodeEngines returns the number of decode engines of mean speed that generate as much
// output as those of the pool.
func (p Pool) DecodeEngines() float64 {
	sum := 0.0
	for _, e := range p.Decode {
		sum += 1 / e.StreamSlowdown
	}
	return sum
}
