package enginechoice

import (
	"math"
	"time"
)

// Decode describes a decode engine for a request.
type Decode struct {
	// Fits means that the engine has room for the request now.
	Fits bool
	// FirstEvent is the time until the first event, and Output the time from then to the
	// end of the output.
	FirstEvent, Output time.Duration
	// Load is the part of the engine's memory that will be in use, and Penalty the cost of
	// distance and failures, expressed as such a part.
	Load, Penalty float64
}

// end returns the time until the output is complete.
func (d Decode) end() time.Duration { return d.FirstEvent + d.Output }

// durationWeight is the part of the memory by which an engine may be fuller for each time
// that another one exceeds the duration of the fastest one. With 0.15, fast engines got
// hardly more requests than slow ones; with 0.8, outputs ended no sooner than with 0.4.
const durationWeight = 0.4

// BestDecode returns the index of the engine for a request that must end within left, or -1
// if none fits: the one with the lowest cost.
func BestDecode(list []Decode, left time.Duration) int {
	best, bestCost := -1, math.Inf(1)
	if len(list) == 0 {
		return best
	}
	fastest := fastestEnd(list)
	for i, d := range list {
		if cost := d.cost(fastest, left); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Costs returns the costs that BestDecode compares; infinite for engines that it leaves out.
func Costs(list []Decode, left time.Duration) []float64 {
	if len(list) == 0 {
		return nil
	}
	costs, fastest := make([]float64, len(list)), fastestEnd(list)
	for i, d := range list {
		costs[i] = d.cost(fastest, left)
	}
	return costs
}

// cost weighs the expected duration of the request against the load of the engine. It is
// infinite for an engine that has no room, and for one that can't complete the request in
// time while another one can, even if that one has no room yet.
func (d Decode) cost(fastest, left time.Duration) float64 {
	if !d.Fits || d.end() > left && fastest <= left {
		return math.Inf(1)
	}
	return d.Load + d.Penalty + durationWeight*excess(d.end(), fastest)
}

// fastestEnd returns the shortest time until the output is complete. The list is not empty.
func fastestEnd(list []Decode) time.Duration {
	fastest := list[0].end()
	for _, d := range list {
		fastest = min(fastest, d.end())
	}
	return fastest
}

// excess returns by which part a time exceeds the shortest one.
func excess(d, shortest time.Duration) float64 {
	if shortest <= 0 {
		return 0
	}
	return float64(d-shortest) / float64(shortest)
}
