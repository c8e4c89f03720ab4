package rebalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Server describes a server that may change its role.
type Server struct {
	// PrefillSpeed and DecodeSpeed are relative to the mean server in each role.
	PrefillSpeed, DecodeSpeed float64
	// Load is the work that the server has at present, in any unit.
	Load int64
}

// speedIn returns the speed of the server in the role.
func (s Server) speedIn(r Role) float64 {
	if r == Prefill {
		return s.PrefillSpeed
	}
	return s.DecodeSpeed
}

// Capacity returns the sum of the speeds of the servers in the role.
func Capacity(servers []Server, r Role) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.speedIn(r)
	}
	return sum
}

// equalRatio is the ratio of two pressures below which they count as equal. Speeds are
// estimates.
const equalRatio = 1.05

// Order returns the indexes of the servers of the pool that the move takes from, the best
// ones to move first. Those come first whose move leaves the lowest pressure on both pools;
// among them those that give the prefill role the fastest servers, which shortens the wait
// for a first event most; and among those the least loaded ones.
func Order(servers []Server, m Move, from, to Pool) []int {
	order := make([]int, len(servers))
	after := make([]float64, len(servers))
	lowest := 0.0
	for i, s := range servers {
		order[i] = i
		after[i] = pressureAfter(from, to, s.speedIn(m.From), s.speedIn(m.To))
		if i == 0 || after[i] < lowest {
			lowest = after[i]
		}
	}
	rank := func(i int) int {
		if after[i] <= lowest*equalRatio {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(i, j int) int {
		bySpeed := cmp.Compare(servers[i].PrefillSpeed, servers[j].PrefillSpeed)
		if m.To == Prefill {
			bySpeed = -bySpeed
		}
		if rank(i) == 1 && rank(j) == 1 {
			bySpeed = cmp.Or(cmp.Compare(after[i], after[j]), bySpeed)
		}
		return cmp.Or(cmp.Compare(rank(i), rank(j)), bySpeed, cmp.Compare(servers[i].Load, servers[j].Load))
	})
	return order
}

// pressureAfter returns the higher pressure of the two pools after a server has left the
// pool from, in which it has the speed lost, for the pool to, in which it has the speed
// gained.
func pressureAfter(from, to Pool, lost, gained float64) float64 {
	fromAfter := from.Pressure * from.capacity() / (from.capacity() - lost)
	toAfter := to.Pressure * to.capacity() / (to.capacity() + gained)
	return max(fromAfter, toAfter)
}

// speedTime is the time constant of a SpeedMean. A role change takes some seconds and is
// reversed at the same cost, so it must not follow a server that is slow for some seconds.
const speedTime = 30 * time.Second

// SpeedMean is the moving geometric mean of a speed. The zero value has no observations.
type SpeedMean struct {
	log   float64
	at    time.Duration
	known bool
}

// Observe includes the speed at the given time. The first one is the mean.
func (m *SpeedMean) Observe(speed float64, now time.Duration) {
	if !(speed > 0) {
		return
	}
	log := math.Log(speed)
	if m.known {
		weight := 1 - math.Exp(-max(0, now-m.at).Seconds()/speedTime.Seconds())
		log = m.log + weight*(log-m.log)
	}
	*m = SpeedMean{log: log, at: now, known: true}
}

// Speed returns the mean; 1 without observations.
func (m *SpeedMean) Speed() float64 {
	if m.log == 0 {
		return 1
	}
	return math.Exp(m.log)
}
