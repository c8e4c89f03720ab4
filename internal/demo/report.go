package demo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// bookingResult is what a caller saw of one booking over all its sends.
type bookingResult struct {
	id      string
	caller  string
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
	// Unanswered are the accepted requests that ended without an answer.
	Unanswered []unanswered
	refused    []string // ids of the requests that were refused as not run
	outcomes   []outcomeLookup
	// Broken lists the promises that broke, with what was seen.
	Violations []string
}

func newReport() *Report {
	return &Report{Refusals: make(map[string]int), Failures: make(map[string]int)}
}

func (r *Report) broken(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// unanswered is an accepted request that ended without its answer.
type unanswered struct {
	entry        int
	requestID    string
	kind         string
	begun, ended time.Time
}

// addModel judges one model call by what its caller saw.
func (r *Report) addModel(call modelCall, m modelResult, want string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	r.checkText(m, want)
	switch {
	case m.left && !m.done:
		r.Cancelled++
	case !m.connected:
		r.Failures["entry not reached"]++
	case m.outcome == "not-run":
		r.Refusals[m.errorKind]++
		r.refused = append(r.refused, m.requestID)
	case m.err != nil || m.status == 0:
		r.addUnanswered(call, m, "connection lost")
	case m.status != 200 || m.errorKind != "" || !m.done:
		r.addUnanswered(call, m, cmp.Or(m.errorKind, "no end of stream"))
	default:
		r.Finished++
		r.addTimes(call, m)
	}
}

func (r *Report) addUnanswered(call modelCall, m modelResult, kind string) {
	r.Failures[kind]++
	r.Unanswered = append(r.Unanswered, unanswered{entry: call.entry, requestID: m.requestID, kind: kind, begun: m.begun, ended: m.ended})
}

// checkCut notes a plain call whose connection broke after the entry took it.
func (r *Report) checkCut(p plainResult) {
	if p.err != nil && p.connected {
		r.Unanswered = append(r.Unanswered, unanswered{entry: p.entry, kind: "plain call cut off", begun: p.begun, ended: p.begun.Add(p.took)})
	}
}

// checkText compares what the caller was given with the only right answer: a
// part of an answer must be its beginning.
func (r *Report) checkText(m modelResult, want string) {
	if m.malformed != "" {
		r.broken("one end: request %s got %s", m.requestID, m.malformed)
	}
	if !strings.HasPrefix(want, m.text) {
		r.broken("own answer, each part once: request %s got %q, want %q", m.requestID, m.text, want)
		return
	}
	if m.done && m.errorKind == "" && len(m.text) < len(want) {
		r.broken("whole answer: request %s got %d of %d bytes", m.requestID, len(m.text), len(want))
	}
	if m.done && m.errorKind != "" {
		r.broken("whole answer: request %s got the error %s and [DONE]", m.requestID, m.errorKind)
	}
}

// checkRefused looks for work of requests whose caller was told that nothing ran.
func (r *Report) checkRefused(j *engine.Journal) {
	for _, id := range r.refused {
		if id == "" {
			r.broken("truthful not-run: a refusal has no request id")
			continue
		}
		for _, x := range j.Executions(id) {
			r.broken("truthful not-run: request %s was refused as not run, but %s ran its %s", id, x.Engine, x.Kind)
		}
	}
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
	r.checkCut(p)
	if p.err != nil || p.status != 200 {
		r.LookupBad++
		return
	}
	r.Lookups = append(r.Lookups, p.took)
}

func (r *Report) addBooking(b bookingResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range b.results {
		r.checkCut(p)
	}
	r.Bookings = append(r.Bookings, b)
}

// outcomeLookup is what GET /v1/outcomes/{key} said about a booking, and how
// often the service had executed it before and after.
type outcomeLookup struct {
	id            string
	status        int
	before, after int
	err           error

	State   string `json:"state"`
	Outcome string `json:"outcome"`
}

func (r *Report) addOutcome(l outcomeLookup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, l)
}

// checkOutcomes compares what lookups said with what the service had executed then.
func (r *Report) checkOutcomes() {
	for _, l := range r.outcomes {
		switch {
		case l.err != nil:
			r.broken("truthful outcome: lookup of %s: %v", l.id, l.err)
		case l.State == "done" && l.after == 0:
			r.broken("truthful outcome: lookup of %s said done, but it never ran", l.id)
		case l.State == "not-run" && l.before > 0:
			r.broken("truthful outcome: lookup of %s said not-run after it had run %d times", l.id, l.before)
		}
	}
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
		for i, p := range b.results {
			if p.status/100 == 2 && count == 0 {
				r.broken("truthful answer: booking %s never ran although answer %d confirmed it", b.id, i+1)
			}
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
	r.checkOutcomes()
	r.checkRefused(f.journal)
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
	row("broken promises", "%d", len(r.Violations))
	_ = t.Flush()
	for _, b := range r.Violations {
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
