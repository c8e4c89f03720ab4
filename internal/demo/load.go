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

// Load describes a mixed load.
type Load struct {
	Duration time.Duration
	// ModelRate, LookupRate and BookingRate are calls per second.
	ModelRate, LookupRate, BookingRate float64
	// CancelShare is the part of model requests whose caller leaves early.
	CancelFraction float64
	// Resend is how often a booking whose outcome is not known is sent again.
	MaxResends int
	// MaxPrompt and MaxOutput bound the requests, in tokens.
	MaxPromptTokens, MaxOutputTokens int
	Seed                             uint64
	// Prompt makes the prompt of request i; nil selects random ones.
	Prompt func(i int) string

	// began and ended tell tests of each model call.
	onModelCallStart func(call modelCall)
	onModelCallEnd   func(call modelCall, result modelResult)
	// settled returns when the faults of a test are over; the bounds on what
	// remains after the load count from then.
	awaitFaultsEnd func()
}

// DefaultLoad is the load of demo -for.
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

// Targets against which a model request counts as good.
const (
	ttftTarget = time.Second
	tpotTarget = 46 * time.Millisecond
)

// loadGenerator sends a load and collects what the callers saw.
type loadGenerator struct {
	cluster *Cluster
	load    Load
	client  *http.Client
	report  *Report

	mu    sync.Mutex
	rng   *rand.Rand
	calls sync.WaitGroup
}

// Run sends the load, waits until it has ended and checks the promises.
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

// generateArrivals starts calls at random times with the given mean rate.
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

// makePrompt returns the prompt of request i: one of a few shared prefixes and text
// of its own.
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

// expectedAnswer returns the whole answer of a call.
func (g *loadGenerator) expectedAnswer(call modelCall) string {
	text, _ := g.cluster.options.Params.Answer(call.enginePrompt(), call.maxTokens)
	return text
}

func (g *loadGenerator) sendLookup(ctx context.Context, i int) {
	url := fmt.Sprintf("%s/orders/status/lookup-%d", g.entryURL(i), i)
	result := plainCall{client: g.client, entry: i % g.cluster.options.Entries, method: http.MethodGet, url: url, key: callerKey(i)}.run(ctx)
	g.report.addLookup(result)
}

// sendBooking books one order and sends it again while its outcome is not known,
// through another entry each time, as a caller with an idempotency key may.
func (g *loadGenerator) sendBooking(ctx context.Context, i int) {
	id := fmt.Sprintf("booking-%d-%d", g.load.Seed, i)
	keyed := i%4 != 0
	booking := bookingResult{id: id, idempotent: keyed, caller: callerKey(i)}
	for attempt := range 1 + g.load.MaxResends {
		call := plainCall{
			client: g.client,
			method: http.MethodPost,
			url:    g.entryURL(i+attempt) + "/orders/book",
			entry:  (i + attempt) % g.cluster.options.Entries,
			key:    callerKey(i),
			body:   fmt.Sprintf(`{"id":%q}`, id),
		}
		if keyed {
			call.idempotencyKey = id
		}
		result := call.run(ctx)
		booking.attempts = append(booking.attempts, result)
		if keyed && attempt%2 == 0 {
			g.report.addOutcome(g.lookUpOutcome(ctx, i+attempt+1, call.key, id))
		}
		if result.status/100 == 2 || (!keyed && result.outcome != "not-run") {
			break
		}
		time.Sleep(time.Duration(200*(attempt+1)) * time.Millisecond)
	}
	g.report.addBooking(booking)
}

// lookUpOutcome asks an entry what became of a key.
func (g *loadGenerator) lookUpOutcome(ctx context.Context, entry int, key, id string) outcomeLookup {
	lookup := outcomeLookup{id: id, executionsBefore: g.cluster.orders.Count(id)}
	result := plainCall{client: g.client, method: http.MethodGet, url: g.entryURL(entry) + "/v1/outcomes/" + id, key: key}.run(ctx)
	lookup.status, lookup.executionsAfter = result.status, g.cluster.orders.Count(id)
	if result.err == nil && result.status == http.StatusOK {
		lookup.err = json.Unmarshal([]byte(result.body), &lookup)
	}
	return lookup
}

// lookUpAllOutcomes asks every entry for every key once the load has ended.
func (g *loadGenerator) lookUpAllOutcomes(ctx context.Context) {
	for _, b := range g.report.Bookings {
		if !b.idempotent {
			continue
		}
		for entry := range g.cluster.options.Entries {
			g.report.addOutcome(g.lookUpOutcome(ctx, entry, b.caller, b.id))
		}
	}
}
