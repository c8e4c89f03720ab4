// Package bench measures the packages under internal/policy in a discrete-event
// simulation. The simulation models fixed one-way delays, rate-limited links and
// the costs of the stand-in engine; it makes no policy decisions of its own. An
// entry decides from the load hints in replies and from the work that it has sent.
package bench

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Policies that a run can use for scheduling and routing. PolicyRandomFCFS and
// PolicyLeastLoaded are the baselines with which PolicyFescueslip is compared.
const (
	PolicyFescueslip  = "fescueslip"
	PolicyRandomFCFS  = "random-fcfs"
	PolicyLeastLoaded = "least-loaded"
)

// Faults that a run can inject.
const (
	FaultNone   = "none"
	FaultCrash  = "crash"
	FaultStall  = "stall"
	FaultCancel = "cancel"
	FaultMixed  = "mixed"
)

// DefaultDuration is the time during which requests arrive if Config.Duration is 0.
const DefaultDuration = 120 * time.Second

// ProfileAnticipation is the value of Config.Anticipation that keeps the profile's setting.
const ProfileAnticipation = -1

// Config describes one run of the simulation.
type Config struct {
	// Profile names the installation: huronbay or consortium.
	Profile string
	// Load is the demand as a multiple of the estimated capacity of the installation.
	Load float64
	// Policy is one of the names that Policies returns.
	Policy string
	Seed   uint64
	// Fault is none, crash, stall, cancel or mixed; empty means none.
	Fault string
	// Anticipation overrides the profile's setting unless it is negative.
	Anticipation float64
	// Duration is the time during which requests arrive. Zero means DefaultDuration.
	Duration time.Duration
	// SettingsProfile names the profile whose settings (anticipation, queue limit,
	// prediction quantile) replace those of Profile. Profile's latency targets
	// still apply. An unknown name is ignored.
	SettingsProfile string
}

// Result holds the measurements of a run. Ratios lie between 0 and 1, except
// FairnessMaxOverMin and QuietCallerTTFTRatio. Times are in milliseconds. TTFT is
// the time to the first token, and TPOT is the time per output token after it.
//
// GoodputRatio is the fraction of the requests, without the cancelled ones, that
// finish within both latency targets. WastedPrefillRatio is the fraction of the
// tokens computed by prefills whose output was not used. QuietCallerTTFTRatio compares
// the 95th percentile of the quiet caller's TTFT with that of a run without the
// model requests of other callers.
type Result struct {
	Offered              int     `json:"offered"`
	Finished             int     `json:"finished"`
	RefusedNotExecuted   int     `json:"refused_not_run"`
	GoodputRatio         float64 `json:"goodput_ratio"`
	WastedPrefillRatio   float64 `json:"wasted_prefill_ratio"`
	TTFTP50ms            float64 `json:"ttft_p50_ms"`
	TTFTP95ms            float64 `json:"ttft_p95_ms"`
	TPOTP95ms            float64 `json:"tpot_p95_ms"`
	FairnessMaxOverMin   float64 `json:"fairness_max_over_min"`
	QuietCallerTTFTRatio float64 `json:"quiet_caller_ttft_ratio"`
	LookupP95ms          float64 `json:"lookup_p95_ms"`
	LeakedTokens         int     `json:"leaked_tokens"`
	DuplicateRuns        int     `json:"duplicate_runs"`
	UpperBoundGoodput    float64 `json:"upper_bound_goodput_ratio"`

	// IdleLookupP95ms is the 95th percentile of the lookup time in a second run
	// in which only the quiet caller sends model requests, so that the engines are
	// almost idle.
	IdleLookupP95ms float64 `json:"-"`
}

// Run simulates cfg and returns the measurements. The result depends on cfg only.
func Run(cfg Config) (Result, error) {
	p, err := cfg.validate()
	if err != nil {
		return Result{}, err
	}
	cancels := cancelFraction + faultCancelFraction*faultRateFactor(cfg.Fault, FaultCancel)
	load := drawWorkload(p, cfg, cancels)
	bound := upperBound(p, load.requests)
	full := simulate(p, cfg, load)
	quietOnly := simulate(p, cfg, drawWorkload(p, cfg, cancels).requestsOf(quietCaller))
	res := full.result()
	res.UpperBoundGoodput = bound
	res.QuietCallerTTFTRatio = ratio(milliseconds(full.callerTTFT(quietCaller)), milliseconds(quietOnly.callerTTFT(quietCaller)))
	res.IdleLookupP95ms = milliseconds(quantile(quietOnly.lookups, 0.95))
	return res, nil
}

// sampleDuration is the length of the sample workload from which drawWorkload
// estimates the capacity.
const sampleDuration = 10 * time.Minute

// drawWorkload draws the requests and lookups of a run. It scales the arrival
// rate to the capacity that the installation has for the same mix of requests.
func drawWorkload(p profile, cfg Config, cancels float64) *workload {
	sample := cfg
	sample.Duration = sampleDuration
	rate := requestRateAtCapacity(p, newWorkload(p, sample, 20, 0).requests)
	return newWorkload(p, cfg, rate, cancels)
}

// requestsOf returns a workload with all lookups, but with the model requests of
// one caller only.
func (w *workload) requestsOf(caller int) *workload {
	kept := &workload{callers: w.callers, lookups: w.lookups}
	for _, r := range w.requests {
		if r.caller.index == caller {
			kept.requests = append(kept.requests, r)
		}
	}
	return kept
}

func simulate(p profile, cfg Config, load *workload) *metrics {
	sim := newSimulation(p, cfg, load)
	sim.simulate()
	return sim.metrics
}

func (cfg *Config) validate() (profile, error) {
	p, ok := lookupProfile(cfg.Profile)
	if !ok {
		return p, errors.Errorf("unknown profile %q; use huronbay or consortium", cfg.Profile)
	}
	if cfg.Fault == "" {
		cfg.Fault = FaultNone
	}
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if err := checkOneOf("policy", cfg.Policy, Policies()); err != nil {
		return p, err
	}
	if err := checkOneOf("fault", cfg.Fault, []string{FaultNone, FaultCrash, FaultStall, FaultCancel, FaultMixed}); err != nil {
		return p, err
	}
	if cfg.Load <= 0 || cfg.Load > 3 {
		return p, errors.Errorf("load %v is out of range; use a value above 0 and at most 3", cfg.Load)
	}
	if cfg.Duration < 10*time.Second || cfg.Anticipation > 1 {
		return p, errors.Errorf("duration %v or anticipation %v is out of range; use a duration of at least 10s and an anticipation of at most 1", cfg.Duration, cfg.Anticipation)
	}
	if source, ok := lookupProfile(cfg.SettingsProfile); ok {
		p.settings.anticipation = source.settings.anticipation
		p.settings.queueLimit = source.settings.queueLimit
		p.settings.predictionQuantile = source.settings.predictionQuantile
	}
	if cfg.Anticipation >= 0 {
		p.settings.anticipation = cfg.Anticipation
	}
	return p, nil
}

// Policies returns the policy names that Config.Policy accepts.
func Policies() []string { return []string{PolicyFescueslip, PolicyRandomFCFS, PolicyLeastLoaded} }

func checkOneOf(option, value string, allowed []string) error {
	for _, a := range allowed {
		if a == value {
			return nil
		}
	}
	return errors.Errorf("unknown %s %q; use one of %s", option, value, strings.Join(allowed, ", "))
}

func lookupProfile(name string) (profile, bool) {
	switch name {
	case "huronbay":
		return huronbay(), true
	case "consortium":
		return consortium(), true
	default:
		return profile{}, false
	}
}
