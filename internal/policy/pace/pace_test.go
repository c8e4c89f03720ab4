package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against gateways that together exceed a limit, in steady use and in a burst
// after idle time.
func TestSumOfGateways(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 1.8, 5.5, 40} {
		for _, gateways := range []int{1, 4, 22, 68} {
			for _, idle := range []time.Duration{0, time.Minute} {
				t.Run(fmt.Sprint(perSecond, gateways, idle), func(t *testing.T) {
					const window, step = 4 * time.Second, 10 * time.Millisecond
					rng := rand.New(rand.NewPCG(1, 2))
					start := time.Unix(1000, 0)
					paces := make([]Pace, gateways)
					for i := range paces {
						paces[i].Set(ShareOf(perSecond, gateways), rng.Float64(), start, start)
					}
					var sent []time.Time
					for now := start.Add(idle); now.Before(start.Add(idle + 40*time.Second)); now = now.Add(step) {
						for i := range paces {
							if paces[i].Wait(now) == 0 {
								paces[i].Take(1, now)
								sent = append(sent, now)
							}
						}
					}
					allowed := 1.5*perSecond*window.Seconds() + 5
					for i, at := range sent {
						n := 0
						for _, other := range sent[i:] {
							if other.Sub(at) < window {
								n++
							}
						}
						if float64(n) > allowed {
							t.Fatalf("%d requests in %v; at most %.1f allowed", n, window, allowed)
						}
					}
					// Few requests in the time say little about the rate.
					if want := 40 * perSecond * 0.4; perSecond >= 1 && float64(len(sent)) < want {
						t.Errorf("%d requests in 40 s; want %.0f", len(sent), want)
					}
				})
			}
		}
	}
}

// Guards against a limit that stops a gateway for ever or that overflows.
func TestExtremeLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, perSecond := range []float64{0, 1e-300, 1e300, math.Inf(1)} {
		var p Pace
		p.Set(ShareOf(perSecond, 68), 0.5, now, now)
		for range 3 {
			wait := p.Wait(now)
			if wait < 0 || wait > 1400*time.Second {
				t.Fatalf("limit %v: wait %v", perSecond, wait)
			}
			now = now.Add(wait)
			p.Take(1, now)
		}
	}
}

// Guards against a long wait that a raised limit leaves behind.
func TestRaisedLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	var p Pace
	p.Set(ShareOf(0.1, 4), 0.99, now, now)
	p.Set(ShareOf(8, 4), 0.5, now, now)
	if wait := p.Wait(now); wait > time.Second {
		t.Errorf("wait %v; want at most the new interval", wait)
	}
}
