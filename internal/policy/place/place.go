// Package place selects the upstream for one request to a plain service, which
// is a service without model engines.
//
// It is for loads in which some upstreams are slower, fuller or failing while
// others are not. The selection has no state: everything that is known about a
// candidate is passed in as numbers.
package place

// Candidate describes an upstream that could take the request.
type Candidate struct {
	// InFlight is the number of requests that the upstream is known to be
	// working on.
	InFlight float64
	// Slots is the number of requests that the upstream can work on at once; 0
	// if unknown.
	Slots int
	// LatencyMs is the mean latency of the upstream in milliseconds; 0 if
	// unknown.
	LatencyMs float64
	// FailureShare is the fraction of recent requests that failed at the
	// upstream, from 0 to 1.
	FailureShare float64
	// SameDomain reports whether the upstream is in the failure domain of the
	// calling process.
	SameDomain bool
	// Avoid reports that the upstream recently did not answer, or has no free
	// capacity.
	Avoid bool
	// Excluded reports that the request must not be sent to the upstream.
	Excluded bool
}

const (
	// crossDomainPenalty is the cost of an upstream in another failure domain,
	// in requests in flight: a request leaves the domain once the upstreams in
	// it have this much more load.
	crossDomainPenalty = 0.6
	// failurePenalty is the cost of a failure share of 1, in requests in
	// flight.
	failurePenalty = 12.0
	// avoidPenalty is larger than all other costs, so that an upstream to avoid
	// is selected only if there is no other.
	avoidPenalty = 1000.0
	// defaultSlots is assumed for an upstream whose number of slots is unknown.
	// Loads are scaled to an upstream with this many slots.
	defaultSlots = 8
	// defaultLatencyMs is the mean latency when no candidate has answered yet.
	defaultLatencyMs = 30.0
)

// Select returns the index of the candidate with the lowest cost, or -1 if all
// are excluded. draw is a uniform random number in [0, 1) that selects among
// candidates of equal cost.
func Select(candidates []Candidate, draw float64) int {
	best, bestCost := -1, 0.0
	mean := meanLatency(candidates)
	offset := int(draw * float64(len(candidates)))
	for k := range candidates {
		i := (k + offset) % len(candidates)
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		cost := candidateCost(c, mean)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// candidateCost returns the load of the candidate, scaled by its latency
// relative to the mean, plus penalties.
func candidateCost(c *Candidate, mean float64) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := (c.InFlight + 1) / float64(slots) * defaultSlots
	if c.LatencyMs > 0 && mean > 0 {
		cost *= c.LatencyMs / mean
	}
	if !c.SameDomain {
		cost += crossDomainPenalty
	}
	cost += failurePenalty * c.FailureShare
	if c.Avoid {
		cost += avoidPenalty
	}
	return cost
}

// meanLatency returns the mean of the known latencies in milliseconds.
func meanLatency(candidates []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range candidates {
		if candidates[i].LatencyMs > 0 {
			sum += candidates[i].LatencyMs
			n++
		}
	}
	if n == 0 {
		return defaultLatencyMs
	}
	return sum / float64(n)
}
