package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestCurveMatchesDraws guards against a forecast that differs from the memory
// that requests really need: at each point, the mean of many random outputs
// must be within a tenth of the initial memory of the curve.
func TestCurveMatchesDraws(t *testing.T) {
	const rate, step, draws = 1000.0, 0.25, 4000
	rng := rand.New(rand.NewPCG(1, 2))
	r := Request{Prompt: 5000, MedianOutput: 3000}
	var want Curve
	want.Add(r, rate, step)
	var sum Curve
	for range draws {
		output := r.MedianOutput * math.Exp(logLengthStdDev*rng.NormFloat64())
		for i := range sum {
			generated := float64(i) * step * rate
			if generated <= output {
				sum[i] += (r.Prompt + generated) / draws
			}
		}
	}
	for i := range sum {
		if diff := math.Abs(sum[i] - want[i]); diff > 0.1*sum[0] {
			t.Errorf("point %d: forecast of %.0f tokens, mean of the draws is %.0f", i, want[i], sum[i])
		}
	}
}

// TestCurveDependsOnAge guards against a forecast that ignores the age of a
// request: one that has outlived its median is expected to end soon, one that
// has not begun still grows.
func TestCurveDependsOnAge(t *testing.T) {
	var young, old Curve
	young.Add(Request{Prompt: 4000, MedianOutput: 2000, Age: -0.5}, 1000, 0.25)
	old.Add(Request{Prompt: 4000, MedianOutput: 2000, Age: 4}, 1000, 0.25)
	if young.Peak() <= 4000 {
		t.Errorf("a request that has not begun peaks at %.0f tokens, want more than its prompt of 4000", young.Peak())
	}
	if last := old[CurvePoints-1]; last > old[0]/2 {
		t.Errorf("a request past its median still counts %.0f of %.0f tokens at the last point, want at most half", last, old[0])
	}
}

// TestOutputLengths guards against predictions that ignore the hint of the
// client, or rely on it alone.
func TestOutputLengths(t *testing.T) {
	var l OutputLengths
	for range 200 {
		l.Observe(2000, 8000)
	}
	withoutHint, withHint := l.PredictMedian(0, 8000), l.PredictMedian(8000, 8000)
	if withoutHint < 1900 || withoutHint > 2100 {
		t.Errorf("median of %.0f tokens after 200 outputs of 2000", withoutHint)
	}
	if withHint <= withoutHint || withHint >= 8000 {
		t.Errorf("median of %.0f tokens with a hint of 8000, want it between the median of the route and the hint", withHint)
	}
}

// BenchmarkDecision64 measures one placement decision over 64 candidates. It
// must take less than 5 us and allocate nothing.
func BenchmarkDecision64(b *testing.B) {
	var curves [64]Curve
	for i := range curves {
		for j := range 12 {
			curves[i].Add(Request{Prompt: 5000, MedianOutput: 3000, Age: float64(j) / 4}, 1000, 0.25)
		}
	}
	var own Curve
	own.Add(Request{Prompt: 5000, MedianOutput: 3000}, 1000, 0.25)
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
