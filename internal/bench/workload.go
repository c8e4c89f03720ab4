package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/choose"
)

const (
	normalCallers     = 10
	floodFactor       = 10.0 // demand of the flooding caller, as a multiple of its fair share; limited to the load
	quietFactor       = 0.4  // demand of the quiet caller, as a multiple of its fair share
	prefixesPerCaller = 4    // prompt prefixes of each caller that several of its requests share
	unsharedFraction  = 0.1  // fraction of the requests without a shared prefix
	minPrefixTokens   = 256
	maxPrefixTokens   = 16_000
	minSuffixTokens   = 20
	maxSuffixTokens   = 1500
	maxUnsharedTokens = 24_000
	cancelFraction    = 0.02
	// Arrivals alternate between bursts and calm periods. The factors on the rate and
	// the mean lengths of the periods give a mean factor of 1.
	burstRate, calmRate = 2.0, 0.5
	burstMean, calmMean = 3 * time.Second, 6 * time.Second
	lookupsPerSecond    = 40
	// outputTokenCost is the cost of an output token in units of a prompt token. It
	// is about the ratio of the capacities of the prefill and decode engines.
	outputTokenCost = 40
)

// callerSpec describes a caller and the requests that it sends.
type callerSpec struct {
	name      string
	index     int
	share     float64 // weight in the fair division of the capacity
	demand    float64 // as a fraction of the capacity
	minOutput float64
	maxOutput float64
	prefixes  []int // lengths of the shared prefixes in tokens
}

// request is a model request together with its progress.
type request struct {
	id           int
	caller       *callerSpec
	arrival      time.Duration
	promptTokens int
	sharedTokens int // length of the prompt prefix that other requests of the caller have too; 0 if none
	hashes       []uint64
	outputTokens int
	cancelAfter  time.Duration // 0 if the caller does not cancel
	progress
}

// tokenCost returns the cost of the request with the given output length, in units
// of a prompt token.
func (r *request) tokenCost(output int) float64 {
	return float64(r.promptTokens) + outputTokenCost*float64(output)
}

type workload struct {
	callers  []*callerSpec
	requests []*request
	lookups  []time.Duration
}

// Indices of the callers whose demand is not proportional to the load.
const (
	quietCaller = 0
	floodCaller = 1
)

func logUniform(rnd *rand.Rand, low, high float64) float64 {
	return low * math.Exp(rnd.Float64()*math.Log(high/low))
}

// newCallers draws the callers of a workload: a quiet one, a flooding one and
// normalCallers others, which share the remaining load.
func newCallers(p profile, load float64, rnd *rand.Rand) []*callerSpec {
	shares := []float64{3, 1}
	for i := range normalCallers {
		shares = append(shares, []float64{2, 4, 5}[i%3])
	}
	total := 0.0
	for _, s := range shares {
		total += s
	}
	flood := floodFactor * shares[floodCaller] / total
	quiet := quietFactor * shares[quietCaller] / total
	rest := max(0.05, load-flood-quiet)
	callers := make([]*callerSpec, len(shares))
	weights := 0.0
	for i, s := range shares {
		c := &callerSpec{name: "caller-" + string(rune('a'+i)), index: i, share: s}
		c.demand = s * []float64{0.6, 1.4}[i%2]
		c.minOutput = logUniform(rnd, 16, 48)
		c.maxOutput = logUniform(rnd, 150, 400)
		for range prefixesPerCaller {
			c.prefixes = append(c.prefixes, int(logUniform(rnd, minPrefixTokens, maxPrefixTokens)))
		}
		if i > floodCaller {
			weights += c.demand
		}
		callers[i] = c
	}
	for _, c := range callers {
		c.demand *= rest / weights
	}
	callers[floodCaller].demand = min(flood, load)
	callers[quietCaller].demand = quiet
	return callers
}

// newWorkload draws all requests and lookups of a run. The rate is the capacity in
// requests per second.
func newWorkload(p profile, cfg Config, rate float64, cancels float64) *workload {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	w := &workload{callers: newCallers(p, cfg.Load, rnd)}
	for _, c := range w.callers {
		w.addArrivals(p, c, cfg.Duration, c.demand*rate, cancels, rand.New(rand.NewPCG(cfg.Seed, uint64(100+c.index))))
	}
	slices.SortStableFunc(w.requests, func(a, b *request) int { return int(a.arrival - b.arrival) })
	for i, r := range w.requests {
		r.id = i
	}
	lookupRand := rand.New(rand.NewPCG(cfg.Seed, 2))
	for t := time.Duration(0); t < cfg.Duration; t += exponential(lookupRand, time.Second/lookupsPerSecond) {
		w.lookups = append(w.lookups, t)
	}
	return w
}

func exponential(rnd *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rnd.ExpFloat64() * float64(mean))
}

// addArrivals draws the requests of a caller from a two-state Markov-modulated
// Poisson process.
func (w *workload) addArrivals(p profile, c *callerSpec, duration time.Duration, rate, cancels float64, rnd *rand.Rand) {
	burst := rnd.Float64() < 1.0/3
	change := time.Duration(0)
	currentRate := func() float64 {
		if burst {
			return rate * burstRate
		}
		return rate * calmRate
	}
	for t := time.Duration(0); t < duration; {
		if change <= t {
			burst = !burst
			change = t + exponential(rnd, map[bool]time.Duration{true: burstMean, false: calmMean}[burst])
		}
		next := t + exponential(rnd, time.Duration(float64(time.Second)/currentRate()))
		if next > change {
			t = change
			continue
		}
		t = next
		if t < duration {
			w.requests = append(w.requests, drawRequest(p, c, t, cancels, rnd))
		}
	}
}

func drawRequest(p profile, c *callerSpec, at time.Duration, cancels float64, rnd *rand.Rand) *request {
	r := &request{caller: c, arrival: at}
	suffix := int(logUniform(rnd, minSuffixTokens, maxSuffixTokens))
	unique := rnd.Uint64()
	if rnd.Float64() < unsharedFraction {
		r.promptTokens = int(logUniform(rnd, minSuffixTokens, maxUnsharedTokens))
		r.hashes = blockHashes(unique, r.promptTokens, 0, unique)
	} else {
		// The popularity of the caller's prefixes is similar to a Zipf distribution.
		k := min(len(c.prefixes)-1, int(logUniform(rnd, 1, float64(len(c.prefixes)+1)))-1)
		r.sharedTokens = c.prefixes[k]
		r.promptTokens = r.sharedTokens + suffix
		r.hashes = blockHashes(uint64(c.index*100+k+1), r.promptTokens, r.sharedTokens, unique)
	}
	r.outputTokens = max(1, int(logUniform(rnd, c.minOutput, c.maxOutput)))
	if rnd.Float64() < cancels {
		r.cancelAfter = 1 + time.Duration(rnd.Float64()*float64(3*time.Second))
	}
	return r
}

// blockHashes returns the hash of each full block. Hashes of blocks within the shared
// tokens depend on the prefix only; the others depend on the request too.
func blockHashes(prefix uint64, tokens, shared int, unique uint64) []uint64 {
	hashes := make([]uint64, tokens/choose.BlockTokens)
	for i := range hashes {
		hashes[i] = prefix*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9
		if (i+1)*choose.BlockTokens > shared {
			hashes[i] ^= unique
		}
	}
	return hashes
}
