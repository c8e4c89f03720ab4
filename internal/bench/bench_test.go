package bench

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against figures that depend on anything but the seed, such as the
// order of map iteration.
func TestRunIsReproducible(t *testing.T) {
	for _, policy := range Policies() {
		cfg := Config{Profile: "consortium", Load: 1.2, Policy: policy, Seed: 42, Fault: FaultMixed, Anticipation: 0.5}
		first, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if again, _ := Run(cfg); again != first {
				t.Fatalf("%s: got\n%+v\nand\n%+v", policy, first, again)
			}
		}
	}
}

// The evaluation uses other seeds than those that the policy was tuned on.
const (
	firstEvaluationSeed = 101
	evaluationSeeds     = 5
)

// evaluationDuration keeps the tests short; docs/POLICY.md has the full runs.
const evaluationDuration = 60 * time.Second

func evaluate(t *testing.T, cfg Config) Result {
	t.Helper()
	cfg.Anticipation = ProfileAnticipation
	cfg.Duration = evaluationDuration
	cfg.Seed = firstEvaluationSeed
	res, err := RunSeeds(cfg, evaluationSeeds)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against a policy change that misses the stated targets for goodput and
// waste. The bounds are the targets of docs/design.md, section 2.
func TestTargets(t *testing.T) {
	cases := []struct {
		load    float64
		fault   string
		ofBound float64 // least goodput as part of the upper bound
		waste   float64
	}{
		{0.8, FaultNone, 0.97, 0.01},
		{1.0, FaultNone, 0.90, 0.01},
		{1.3, FaultNone, 0, 0.01},
		{1.0, FaultMixed, 0, 0.04},
	}
	for _, profile := range []string{"huronbay", "consortium"} {
		for _, c := range cases {
			own := evaluate(t, Config{Profile: profile, Load: c.load, Policy: PolicyFescueslip, Fault: c.fault})
			if own.GoodputRatio < c.ofBound*own.UpperBoundGoodput {
				t.Errorf("%s, load %v: goodput %.4f is below %.2f of the bound %.4f", profile, c.load, own.GoodputRatio, c.ofBound, own.UpperBoundGoodput)
			}
			if own.WastedPrefillRatio > c.waste {
				t.Errorf("%s, load %v, fault %s: wasted prefill %.4f, target %.2f", profile, c.load, c.fault, own.WastedPrefillRatio, c.waste)
			}
			if own.LeakedTokens != 0 || own.DuplicateRuns != 0 {
				t.Errorf("%s, load %v, fault %s: %d tokens leaked, %d duplicate runs", profile, c.load, c.fault, own.LeakedTokens, own.DuplicateRuns)
			}
		}
	}
}

// Guards against collapse under overload and against losing to the baselines.
func TestOverloadAgainstBaselines(t *testing.T) {
	const ofCapacity, overBaseline, ofWaste = 0.85, 1.3, 0.2
	for _, profile := range []string{"huronbay", "consortium"} {
		own := evaluate(t, Config{Profile: profile, Load: 1.3, Policy: PolicyFescueslip})
		if own.GoodputRatio*1.3 < ofCapacity {
			t.Errorf("%s: goodput %.4f of capacity, target %.2f", profile, own.GoodputRatio*1.3, ofCapacity)
		}
		for _, policy := range []string{PolicyRandomFCFS, PolicyLeastLoaded} {
			other := evaluate(t, Config{Profile: profile, Load: 1.3, Policy: policy})
			if own.GoodputRatio < overBaseline*other.GoodputRatio {
				t.Errorf("%s: goodput %.4f against %.4f of %s, target factor %.1f", profile, own.GoodputRatio, other.GoodputRatio, policy, overBaseline)
			}
			if policy == PolicyLeastLoaded && own.WastedPrefillRatio > ofWaste*other.WastedPrefillRatio {
				t.Errorf("%s: wasted prefill %.4f against %.4f of %s, target factor %.1f", profile, own.WastedPrefillRatio, other.WastedPrefillRatio, policy, ofWaste)
			}
		}
	}
}

// Guards against runs with settings that mean nothing.
func TestRunRejectsInvalidConfig(t *testing.T) {
	good := Config{Profile: "consortium", Load: 1, Policy: PolicyFescueslip}
	cases := map[string]func(*Config){
		"profile":      func(c *Config) { c.Profile = "x" },
		"policy":       func(c *Config) { c.Policy = "x" },
		"fault":        func(c *Config) { c.Fault = "x" },
		"load":         func(c *Config) { c.Load = 0 },
		"anticipation": func(c *Config) { c.Anticipation = 2 },
	}
	for name, change := range cases {
		cfg := good
		change(&cfg)
		if _, err := Run(cfg); err == nil {
			t.Errorf("no error for a wrong %s", name)
		}
	}
}

// Guards against a sweep that reports an error after success or leaves out files.
func TestSweepWritesFiles(t *testing.T) {
	dir := t.TempDir()
	cfg := SweepConfig{Base: Config{Profile: "consortium", Load: 1, Policy: PolicyFescueslip, Seed: 1, Duration: 10 * time.Second}, Seeds: 1, Dir: dir}
	if err := Sweep(cfg); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"load.csv", "anticipation.csv", "goodput.png", "waste.png", "anticipation.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
