// Package place chooses the upstream of one request.
//
// It answers the loads in which some upstreams are slower, fuller or failing
// while others are not. The choice is pure: what is known of each candidate
// comes in as numbers.
package place

// Candidate is an upstream that could take the request.
type Candidate struct {
	// InFlight is the number of requests that it works on, as far as known.
	InFlight float64
	// Slots is the number that it works on at once; 0 if unknown.
	Slots int
	// LatencyMs is its mean latency, in ms; 0 if unknown.
	LatencyMs float64
	// FailureShare is the share of requests that it failed lately, 0 to 1.
	FailureShare float64
	// Near tells that it is in the failure domain of the chooser.
	SameDomain bool
	// Avoid tells that it did not answer lately or has no room.
	Avoid bool
	// Excluded tells that the request must not go there.
	Excluded bool
}

const (
	// farPenalty is the cost of leaving the failure domain, in requests in
	// flight: a request crosses it once an upstream nearby is this much busier.
	farPenalty = 0.6
	// failurePenalty weighs the share of failed requests against the load.
	failurePenalty = 12.0
	// avoidPenalty puts upstreams that should be avoided behind all others.
	avoidPenalty = 1000.0
	// defaultSlots is assumed for an upstream that does not tell its slots.
	defaultSlots = 8
	// defaultLatencyMs is assumed for an upstream that has not answered yet.
	defaultLatencyMs = 30.0
)

// Select returns the index of the best candidate for a call of a plain service,
// or -1 if none is allowed. draw, uniform in [0, 1), decides between equals.
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
		cost := plainCost(c, mean)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func plainCost(c *Candidate, mean float64) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := (c.InFlight + 1) / float64(slots) * defaultSlots
	if c.LatencyMs > 0 && mean > 0 {
		cost *= c.LatencyMs / mean
	}
	if !c.SameDomain {
		cost += farPenalty
	}
	cost += failurePenalty * c.FailureShare
	if c.Avoid {
		cost += avoidPenalty
	}
	return cost
}

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
