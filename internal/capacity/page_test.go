package capacity

import (
	"flag"
	"math"
	"os"
	"testing"
)

const (
	measuredFile = "testdata/measured.json"
	pageFile     = "../../docs/CAPACITY.md"
)

var update = flag.Bool("update", false, "write the generated section of docs/CAPACITY.md")

// Guards against a page whose tables differ from the committed measurements.
func TestPageMatchesMeasurements(t *testing.T) {
	m, err := Load(measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Render(string(raw), m)
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(pageFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if want != string(raw) {
		t.Error("docs/CAPACITY.md differs from the measurements; run go test ./internal/capacity -run TestPage -update")
	}
}

// Guards against a wrong slope or standard error.
func TestFitSlopeAndError(t *testing.T) {
	l := Fit([]Point{{1, 3}, {2, 5}, {3, 7}, {4, 9}})
	if l.Slope != 2 || l.Intercept != 1 || l.SlopeError != 0 {
		t.Errorf("fit of an exact line: %+v", l)
	}
	// The residuals are 1, -2 and 1. The sum of squares of x around its mean is 2.
	l = Fit([]Point{{1, 1}, {2, 0}, {3, 5}})
	if l.Slope != 2 || math.Abs(l.SlopeError-math.Sqrt(6.0/2)) > 1e-12 {
		t.Errorf("fit with residuals: %+v", l)
	}
}
