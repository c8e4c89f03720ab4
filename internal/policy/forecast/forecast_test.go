package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards the forecast against what requests really need: the mean of many drawn
// outputs stays within a tenth of the curve at each point.
func TestCurveMatchesDraws(t *testing.T) {
	const rate, runs = 1000.0, 4000
	rng := rand.New(rand.NewPCG(1, 2))
	r := Request{Prompt: 5000, MedianOutput: 3000}
	var want Curve
	want.Add(r, rate)
	var sum Curve
	for range runs {
		output := r.MedianOutput * math.Exp(spread*rng.NormFloat64())
		for i := range sum {
			made := float64(i) * StepSeconds * rate
			if made <= output {
				sum[i] += (r.Prompt + made) / runs
			}
		}
	}
	for i := range sum {
		if diff := math.Abs(sum[i] - want[i]); diff > 0.1*sum[0] {
			t.Errorf("point %d: %.0f tokens forecast, %.0f drawn", i, want[i], sum[i])
		}
	}
}

// Guards the use of a run's age: one that has outlived its median is expected to
// end soon, one that has not begun still grows.
func TestAge(t *testing.T) {
	var young, old Curve
	young.Add(Request{Prompt: 4000, MedianOutput: 2000, Age: -0.5}, 1000)
	old.Add(Request{Prompt: 4000, MedianOutput: 2000, Age: 4}, 1000)
	if young.Peak() <= 4000 {
		t.Errorf("a run that has not begun peaks at %.0f tokens; it must grow beyond its prompt", young.Peak())
	}
	if last := old[CurvePoints-1]; last > old[0]/2 {
		t.Errorf("a run past its median still counts %.0f of %.0f tokens at the end", last, old[0])
	}
}

// Guards against predictions that ignore the client's estimate, or trust it alone.
func TestLengths(t *testing.T) {
	var l OutputLengths
	for range 200 {
		l.Observe(2000, 8000)
	}
	plain, hinted := l.PredictMedian(0, 8000), l.PredictMedian(8000, 8000)
	if plain < 1900 || plain > 2100 {
		t.Errorf("median %.0f after 200 outputs of 2000", plain)
	}
	if hinted <= plain || hinted >= 8000 {
		t.Errorf("median %.0f with an estimate of 8000; want it between the two", hinted)
	}
}

// One decision over 64 candidates must stay below 5 us and without allocation.
func BenchmarkDecision64(b *testing.B) {
	var curves [64]Curve
	for i := range curves {
		for j := range 12 {
			curves[i].Add(Request{Prompt: 5000, MedianOutput: 3000, Age: float64(j) / 4}, 1000)
		}
	}
	var own Curve
	own.Add(Request{Prompt: 5000, MedianOutput: 3000}, 1000)
	b.ReportAllocs()
	best := 0.0
	for b.Loop() {
		best = math.MaxFloat64
		for i := range curves {
			best = min(best, curves[i].PeakWith(&own))
		}
	}
	_ = best
}
