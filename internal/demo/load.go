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
	CancelShare float64
	// Resend is how often a booking whose outcome is not known is sent again.
	Resend int
	// MaxPrompt and MaxOutput bound the requests, in tokens.
	MaxPrompt, MaxOutput int
	Seed                 uint64
	// Prompt makes the prompt of request i; nil selects random ones.
	Prompt func(i int) string

	// began and ended tell tests of each model call.
	began func(call modelCall)
	ended func(call modelCall, result modelResult)
	// settled returns when the faults of a test are over; the bounds on what
	// remains after the load count from then.
	settled func()
}

// DefaultLoad is the load of demo -for.
func DefaultLoad(d time.Duration) Load {
	return Load{
		Duration:    d,
		ModelRate:   6,
		LookupRate:  20,
		BookingRate: 5,
		CancelShare: 0.05,
		Resend:      5,
		MaxPrompt:   6000,
		MaxOutput:   200,
		Seed:        1,
	}
}

// Targets against which a model request counts as good.
const (
	ttftTarget = time.Second
	tpotTarget = 46 * time.Millisecond
)

// driver sends a load and collects what the callers saw.
type driver struct {
	fleet  *Fleet
	load   Load
	client *http.Client
	report *Report

	mu     sync.Mutex
	random *rand.Rand
	wait   sync.WaitGroup
}

// Run sends the load, waits until it has ended and checks the promises.
func (f *Fleet) Run(ctx context.Context, load Load) *Report {
	d := &driver{
		fleet:  f,
		load:   load,
		client: &http.Client{Transport: &http.Transport{DialContext: f.network.Dial, MaxIdleConnsPerHost: 64}},
		report: newReport(),
		random: rand.New(rand.NewPCG(load.Seed, load.Seed)),
	}
	defer d.client.CloseIdleConnections()
	var arrivals sync.WaitGroup
	arrivals.Go(func() { d.arrive(ctx, load.ModelRate, d.model) })
	arrivals.Go(func() { d.arrive(ctx, load.LookupRate, d.lookup) })
	arrivals.Go(func() { d.arrive(ctx, load.BookingRate, d.booking) })
	arrivals.Wait()
	d.wait.Wait()
	if load.settled != nil {
		load.settled()
	}
	d.lookUpBookings(ctx)
	f.checkAfter(d.report)
	return d.report
}

// arrive starts calls at random times with the given mean rate.
func (d *driver) arrive(ctx context.Context, rate float64, call func(context.Context, int)) {
	if rate <= 0 {
		return
	}
	end := time.Now().Add(d.load.Duration)
	for i := 0; ; i++ {
		time.Sleep(time.Duration(d.float(func(r *rand.Rand) float64 { return r.ExpFloat64() }) / rate * float64(time.Second)))
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
		d.wait.Go(func() { call(ctx, i) })
	}
}

func (d *driver) float(draw func(*rand.Rand) float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return draw(d.random)
}

func (d *driver) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *driver) entryURL(i int) string {
	return "http://" + d.fleet.options.Addresses.Entry(i%d.fleet.options.Entries)
}

func caller(i int) string { return callerKeys[i%len(callerKeys)] }

// prompt returns the prompt of request i: one of a few shared prefixes and text
// of its own.
func (d *driver) prompt(i int) string {
	if d.load.Prompt != nil {
		return d.load.Prompt(i)
	}
	var b strings.Builder
	words := 20 + d.intN(max(1, d.load.MaxPrompt-20))
	prefix := d.intN(4)
	for w := range words {
		if w < words/2 {
			fmt.Fprintf(&b, "p%d-%d ", prefix, w)
		} else {
			fmt.Fprintf(&b, "r%d-%d ", i, w)
		}
	}
	return strings.TrimSpace(b.String())
}

func (d *driver) model(ctx context.Context, i int) {
	call := modelCall{
		client:    d.client,
		url:       d.entryURL(i),
		key:       caller(i),
		chat:      i%2 == 0,
		stream:    i%3 != 0,
		prompt:    d.prompt(i),
		maxTokens: 1 + d.intN(d.load.MaxOutput),
	}
	if d.float(func(r *rand.Rand) float64 { return r.Float64() }) < d.load.CancelShare {
		call.leaveAfter = time.Duration(1+d.intN(1500)) * time.Millisecond
	}
	call.entry = i % d.fleet.options.Entries
	if d.load.began != nil {
		d.load.began(call)
	}
	result := call.run(ctx)
	if d.load.ended != nil {
		d.load.ended(call, result)
	}
	d.report.addModel(call, result, d.expected(call))
}

// expected returns the whole answer of a call.
func (d *driver) expected(call modelCall) string {
	text, _ := d.fleet.options.Params.Output(call.enginePrompt(), call.maxTokens)
	return text
}

func (d *driver) lookup(ctx context.Context, i int) {
	url := fmt.Sprintf("%s/orders/status/lookup-%d", d.entryURL(i), i)
	result := plainCall{client: d.client, entry: i % d.fleet.options.Entries, method: http.MethodGet, url: url, key: caller(i)}.run(ctx)
	d.report.addLookup(result)
}

// booking books one order and sends it again while its outcome is not known,
// through another entry each time, as a caller with an idempotency key may.
func (d *driver) booking(ctx context.Context, i int) {
	id := fmt.Sprintf("booking-%d-%d", d.load.Seed, i)
	keyed := i%4 != 0
	b := bookingResult{id: id, keyed: keyed, caller: caller(i)}
	for try := range 1 + d.load.Resend {
		call := plainCall{
			client: d.client,
			method: http.MethodPost,
			url:    d.entryURL(i+try) + "/orders/book",
			entry:  (i + try) % d.fleet.options.Entries,
			key:    caller(i),
			body:   fmt.Sprintf(`{"id":%q}`, id),
		}
		if keyed {
			call.idempotencyKey = id
		}
		r := call.run(ctx)
		b.results = append(b.results, r)
		if keyed && try%2 == 0 {
			d.report.addOutcome(d.lookUpOutcome(ctx, i+try+1, call.key, id))
		}
		if r.status/100 == 2 || (!keyed && r.outcome != "not-run") {
			break
		}
		time.Sleep(time.Duration(200*(try+1)) * time.Millisecond)
	}
	d.report.addBooking(b)
}

// lookUpOutcome asks an entry what became of a key.
func (d *driver) lookUpOutcome(ctx context.Context, entry int, key, id string) outcomeLookup {
	l := outcomeLookup{id: id, before: d.fleet.orders.Count(id)}
	r := plainCall{client: d.client, method: http.MethodGet, url: d.entryURL(entry) + "/v1/outcomes/" + id, key: key}.run(ctx)
	l.status, l.after = r.status, d.fleet.orders.Count(id)
	if r.err == nil && r.status == http.StatusOK {
		l.err = json.Unmarshal([]byte(r.body), &l)
	}
	return l
}

// lookUpBookings asks every entry for every key once the load has ended.
func (d *driver) lookUpBookings(ctx context.Context) {
	for _, b := range d.report.Bookings {
		if !b.keyed {
			continue
		}
		for entry := range d.fleet.options.Entries {
			d.report.addOutcome(d.lookUpOutcome(ctx, entry, b.caller, b.id))
		}
	}
}
