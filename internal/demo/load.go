package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Load describes a mixed workload of model requests, lookups and bookings.
type Load struct {
	Duration time.Duration
	// ModelRate, LookupRate and BookingRate are mean arrival rates in calls per second.
	ModelRate, LookupRate, BookingRate float64
	// CancelFraction is the fraction of model requests that their caller cancels
	// after a random delay.
	CancelFraction float64
	// MaxResends is the maximum number of times that a booking without a
	// successful response is sent again.
	MaxResends int
	// MaxPromptTokens and MaxOutputTokens are the upper limits of the random
	// request sizes.
	MaxPromptTokens, MaxOutputTokens int
	Seed                             uint64
	// Prompt returns the prompt of request i. If it is nil, prompts are random.
	Prompt func(i int) string

	// onModelCallStart and onModelCallEnd, if set, are called around each model
	// call. Tests use them to follow the calls.
	onModelCallStart func(call modelCall)
	onModelCallEnd   func(call modelCall, result modelResult)
	// awaitFaultsEnd, if set, blocks until the injected faults have ended. The
	// time limits of the final checks start when it returns.
	awaitFaultsEnd func()
}

// DefaultLoad returns the load that the demo command generates with -for.
func DefaultLoad(d time.Duration) Load {
	return Load{
		Duration:        d,
		ModelRate:       6,
		LookupRate:      20,
		BookingRate:     5,
		CancelFraction:  0.05,
		MaxResends:      5,
		MaxPromptTokens: 6000,
		MaxOutputTokens: 200,
		Seed:            1,
	}
}

// Latency targets that a completed model request must meet to count as goodput.
const (
	ttftTarget = time.Second
	tpotTarget = 46 * time.Millisecond
)

// loadGenerator sends the calls of a load and records their results.
type loadGenerator struct {
	cluster *Cluster
	load    Load
	client  *http.Client
	report  *Report

	mu    sync.Mutex
	rng   *rand.Rand
	calls sync.WaitGroup
}

// Run sends the load, waits until all calls have ended and checks the system's
// guarantees. The report lists the violations.
func (c *Cluster) Run(ctx context.Context, load Load) *Report {
	generator := &loadGenerator{
		cluster: c,
		load:    load,
		client:  &http.Client{Transport: &http.Transport{DialContext: c.network.Dial, MaxIdleConnsPerHost: 64}},
		report:  newReport(),
		rng:     rand.New(rand.NewPCG(load.Seed, load.Seed)),
	}
	defer generator.client.CloseIdleConnections()
	var arrivals sync.WaitGroup
	arrivals.Go(func() { generator.generateArrivals(ctx, load.ModelRate, generator.sendModelCall) })
	arrivals.Go(func() { generator.generateArrivals(ctx, load.LookupRate, generator.sendLookup) })
	arrivals.Go(func() { generator.generateArrivals(ctx, load.BookingRate, generator.sendBooking) })
	arrivals.Wait()
	generator.calls.Wait()
	if load.awaitFaultsEnd != nil {
		load.awaitFaultsEnd()
	}
	generator.lookUpAllOutcomes(ctx)
	c.checkFinalState(generator.report)
	return generator.report
}

// generateArrivals starts calls as a Poisson process with the given mean rate per
// second until the load's duration has passed.
func (g *loadGenerator) generateArrivals(ctx context.Context, rate float64, call func(context.Context, int)) {
	if rate <= 0 {
		return
	}
	end := time.Now().Add(g.load.Duration)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(g.randFloat(func(r *rand.Rand) float64 { return r.ExpFloat64() }) / rate * float64(time.Second)))
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
		g.calls.Go(func() { call(ctx, i) })
	}
}

func (g *loadGenerator) randFloat(draw func(*rand.Rand) float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return draw(g.rng)
}

func (g *loadGenerator) randIntN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.IntN(n)
}

func (g *loadGenerator) entryURL(i int) string {
	return "http://" + g.cluster.options.Addresses.Entry(i%g.cluster.options.Entries)
}

func callerKey(i int) string { return callerKeys[i%len(callerKeys)] }

// makePrompt returns the prompt of request i. If the load does not supply one, the
// prompt starts with one of four prefixes that requests share and continues with
// words unique to the request.
func (g *loadGenerator) makePrompt(i int) string {
	if g.load.Prompt != nil {
		return g.load.Prompt(i)
	}
	var b strings.Builder
	length := 20 + g.randIntN(max(1, g.load.MaxPromptTokens-20))
	prefix := g.randIntN(4)
	for w := range length {
		if w < length/2 {
			fmt.Fprintf(&b, "p%d-%d ", prefix, w)
		} else {
			fmt.Fprintf(&b, "r%d-%d ", i, w)
		}
	}
	return strings.TrimSpace(b.String())
}

func (g *loadGenerator) sendModelCall(ctx context.Context, i int) {
	call := modelCall{
		client:    g.client,
		url:       g.entryURL(i),
		key:       callerKey(i),
		chat:      i%2 == 0,
		stream:    i%3 != 0,
		prompt:    g.makePrompt(i),
		maxTokens: 1 + g.randIntN(g.load.MaxOutputTokens),
	}
	if g.randFloat(func(r *rand.Rand) float64 { return r.Float64() }) < g.load.CancelFraction {
		call.cancelAfter = time.Duration(1+g.randIntN(1500)) * time.Millisecond
	}
	call.entry = i % g.cluster.options.Entries
	if g.load.onModelCallStart != nil {
		g.load.onModelCallStart(call)
	}
	result := call.run(ctx)
	if g.load.onModelCallEnd != nil {
		g.load.onModelCallEnd(call, result)
	}
	g.report.addModel(call, result, g.expectedAnswer(call))
}

// expectedAnswer returns the complete answer that the engines must generate for
// a call.
func (g *loadGenerator) expectedAnswer(call modelCall) string {
	text, _ := g.cluster.options.Params.Output(call.enginePrompt(), call.maxTokens)
	return text
}

func (g *loadGenerator) sendLookup(ctx context.Context, i int) {
	url := fmt.Sprintf("%s/orders/status/lookup-%d", g.entryURL(i), i)
	result := plainCall{client: g.client, entry: i % g.cluster.options.Entries, method: http.MethodGet, url: url, key: callerKey(i)}.run(ctx)
	g.report.addLookup(result)
}

// sendBooking books one order. With an idempotency key it resends the booking,
// through another entry each time, until it succeeds. Without a key it resends
// only after a response that says not-run, because any other failed attempt may
// have executed.
func (g *loadGenerator) sendBooking(ctx context.Context, i int) {
	id := fmt.Sprintf("booking-%d-%d", g.load.Seed, i)
	idempotent := i%4 != 0
	booking := bookingResult{id: id, idempotent: idempotent, caller: callerKey(i)}
	for attempt := range 1 + g.load.MaxResends {
		call := plainCall{
			client: g.client,
			method: http.MethodPost,
			url:    g.entryURL(i+attempt) + "/orders/book",
			entry:  (i + attempt) % g.cluster.options.Entries,
			key:    callerKey(i),
			body:   fmt.Sprintf(`{"id":%q}`, id),
		}
		if idempotent {
			call.idempotencyKey = id
		}
		result := call.run(ctx)
		booking.attempts = append(booking.attempts, result)
		if idempotent && attempt%2 == 0 {
			g.report.addOutcome(g.lookUpOutcome(ctx, i+attempt+1, call.key, id))
		}
		if result.status/100 == 2 || (!idempotent && result.outcome != "not-run") {
			break
		}
		time.Sleep(time.Duration(200*(attempt+1)) * time.Millisecond)
	}
	g.report.addBooking(booking)
}

// lookUpOutcome queries an entry for the outcome of an idempotency key.
func (g *loadGenerator) lookUpOutcome(ctx context.Context, entry int, key, id string) outcomeLookup {
	lookup := outcomeLookup{id: id, executionsBefore: g.cluster.orders.Count(id)}
	result := plainCall{client: g.client, method: http.MethodGet, url: g.entryURL(entry) + "/v1/outcomes/" + id, key: key}.run(ctx)
	lookup.status, lookup.executionsAfter = result.status, g.cluster.orders.Count(id)
	if result.err == nil && result.status == http.StatusOK {
		lookup.err = json.Unmarshal([]byte(result.body), &lookup)
	}
	return lookup
}

// lookUpAllOutcomes queries every entry for the outcome of every idempotency
// key. It runs after the load.
func (g *loadGenerator) lookUpAllOutcomes(ctx context.Context) {
	for _, booking := range g.report.Bookings {
		if !booking.idempotent {
			continue
		}
		for entry := range g.cluster.options.Entries {
			g.report.addOutcome(g.lookUpOutcome(ctx, entry, booking.caller, booking.id))
		}
	}
}
