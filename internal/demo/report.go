package demo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// bookingResult is what a caller saw of one booking over all its sends.
type bookingResult struct {
	id      string
	keyed   bool
	results []plainResult
}

// Report is what the callers saw of a load, and the promises that broke.
type Report struct {
	mu        sync.Mutex
	Requests  int
	Finished  int
	Good      int
	Cancelled int
	Refusals  map[string]int
	Failures  map[string]int
	TTFT      []time.Duration
	TPOT      []time.Duration
	Lookups   []time.Duration
	LookupBad int
	Bookings  []bookingResult
	// PrefillTokens and WastedPrefillTokens are the engines' counts.
	PrefillTokens, WastedPrefillTokens int
	// Broken lists the promises that broke, with what was seen.
	Broken []string
}

func newReport() *Report {
	return &Report{Refusals: make(map[string]int), Failures: make(map[string]int)}
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// addModel judges one model call by what its caller saw.
func (r *Report) addModel(call modelCall, m modelResult, want string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	switch {
	case m.left && !m.done:
		r.Cancelled++
		return
	case m.err != nil || m.status == 0:
		r.Failures["connection lost"]++
		return
	case m.outcome == "not-run":
		r.Refusals[m.errorKind]++
		return
	case m.status != 200 || m.errorKind != "" || !m.done:
		r.Failures[cmp.Or(m.errorKind, "no end of stream")]++
		return
	}
	r.Finished++
	if m.text != want {
		r.broken("whole answer: request %s got %d bytes, want %d", m.requestID, len(m.text), len(want))
	}
	r.addTimes(call, m)
}

func (r *Report) addTimes(call modelCall, m modelResult) {
	if !call.stream {
		// The caller of a whole answer sees no first token; the mean counts.
		if m.total <= ttftTarget+time.Duration(m.tokens)*tpotTarget {
			r.Good++
		}
		return
	}
	r.TTFT = append(r.TTFT, m.ttft)
	var tpot time.Duration
	if m.tokens > 1 {
		tpot = (m.total - m.ttft) / time.Duration(m.tokens-1)
		r.TPOT = append(r.TPOT, tpot)
	}
	if m.ttft <= ttftTarget && tpot <= tpotTarget {
		r.Good++
	}
}

func (r *Report) addLookup(p plainResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.err != nil || p.status != 200 {
		r.LookupBad++
		return
	}
	r.Lookups = append(r.Lookups, p.took)
}

func (r *Report) addBooking(b bookingResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Bookings = append(r.Bookings, b)
}

// checkBookings compares what callers were told with what the service executed.
func (r *Report) checkBookings(executions map[string]int) {
	for _, b := range r.Bookings {
		count := executions[b.id]
		if count > 1 {
			r.broken("at most once: booking %s ran %d times", b.id, count)
		}
		if allNotRun(b.results) && count > 0 {
			r.broken("truthful not-run: booking %s ran although every answer said not-run", b.id)
		}
		if last := b.results[len(b.results)-1]; last.status/100 == 2 && count == 0 {
			r.broken("truthful answer: booking %s never ran although it was confirmed", b.id)
		}
	}
}

func allNotRun(results []plainResult) bool {
	return !slices.ContainsFunc(results, func(p plainResult) bool { return p.outcome != "not-run" })
}

// memoryDeadline is how long after the load engine memory may still be held:
// the bound for an entry that died.
const memoryDeadline = 3 * time.Second

// checkAfter checks the promises that show once the load has ended.
func (f *Fleet) checkAfter(r *Report) {
	r.checkBookings(f.orders.Executions())
	deadline := time.Now().Add(memoryDeadline)
	for f.heldTokens() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	for _, e := range f.engines {
		c := e.Counters()
		if c.HeldTokens > 0 {
			r.broken("no memory held: engine %s holds %d tokens after the load", e.Name(), c.HeldTokens)
		}
		r.PrefillTokens += c.PrefillTokens
		r.WastedPrefillTokens += c.WastedPrefillTokens
	}
}

func (f *Fleet) heldTokens() int {
	total := 0
	for _, e := range f.engines {
		total += e.Counters().HeldTokens
	}
	return total
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("requests", "%d (finished %d, caller left %d)", r.Requests, r.Finished, r.Cancelled)
	row("goodput", "%d of %d finished (%.1f%%)", r.Good, r.Finished, percent(r.Good, r.Finished))
	row("wasted prefill", "%d of %d tokens (%.1f%%)", r.WastedPrefillTokens, r.PrefillTokens, percent(r.WastedPrefillTokens, r.PrefillTokens))
	row("first token", "p50 %s, p95 %s", quantile(r.TTFT, 0.5), quantile(r.TTFT, 0.95))
	row("per token", "p50 %s, p95 %s", quantile(r.TPOT, 0.5), quantile(r.TPOT, 0.95))
	row("lookups", "%d (failed %d), p95 %s", len(r.Lookups), r.LookupBad, quantile(r.Lookups, 0.95))
	row("bookings", "%d", len(r.Bookings))
	row("refusals", "%s", counts(r.Refusals))
	row("failures", "%s", counts(r.Failures))
	row("broken promises", "%d", len(r.Broken))
	_ = t.Flush()
	for _, b := range r.Broken {
		_, _ = fmt.Fprintln(w, "  broken:", b)
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %d  ", k, m[k])
	}
	return text
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond / 10)
}
