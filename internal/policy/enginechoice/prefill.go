// Package enginechoice chooses among model engines of different speed.
//
// Times are those of each engine at its own speed. Where all engines have the same speed,
// the choices depend only on what else distinguishes the engines.
package enginechoice

import "time"

// Prefill describes a prefill engine that may process a prompt.
type Prefill struct {
	// Backlog is the number of prompt tokens that precede the prompt, and Rate the number
	// that the engine processes per second.
	Backlog, Rate float64
	// Prompt is the time that the engine takes for the prompt itself.
	Prompt time.Duration
	// Penalty is the cost of distance and failures, expressed as time.
	Penalty time.Duration
}

// Wait returns the time until the engine begins to process the prompt.
func (p Prefill) Wait() time.Duration {
	if p.Backlog <= 0 || p.Rate <= 0 {
		return 0
	}
	return time.Duration(min(p.Backlog/p.Rate, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds keeps the result of Wait within the range of a duration.
const maxWaitSeconds = 1e6

// Cost returns the time until the prompt is completed, penalties included.
func (p Prefill) Cost() time.Duration { return p.Wait() + p.Prompt + p.Penalty }

// FirstPrefill returns the index of the engine that is expected to complete the prompt
// first, penalties included, or -1 if there is none.
func FirstPrefill(list []Prefill) int {
	best, bestCost := -1, time.Duration(0)
	for i, p := range list {
		if cost := p.Cost(); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
