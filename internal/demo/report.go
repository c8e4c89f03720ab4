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

// bookingResult holds the responses to all attempts of one booking.
type bookingResult struct {
	id         string
	caller     string
	idempotent bool
	attempts   []plainResult
}

// Report summarizes the responses that the callers of a load received and lists
// the violated guarantees.
type Report struct {
	mu              sync.Mutex
	Requests        int
	Completed       int
	WithinTargets   int
	Cancelled       int
	Refusals        map[string]int
	Failures        map[string]int
	TTFT            []time.Duration
	TPOT            []time.Duration
	LookupLatencies []time.Duration
	FailedLookups   int
	Bookings        []bookingResult
	// PrefillTokens and WastedPrefillTokens are the sums of the engines' counters.
	PrefillTokens, WastedPrefillTokens int
	// Unanswered lists the accepted requests that ended without a complete answer.
	Unanswered []unansweredRequest
	refusedIDs []string // ids of the requests refused with the outcome not-run
	outcomes   []outcomeLookup
	// Violations describes the violated guarantees, with the observed values.
	Violations []string
}

func newReport() *Report {
	return &Report{Refusals: make(map[string]int), Failures: make(map[string]int)}
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// unansweredRequest is an accepted request that ended without a complete answer.
type unansweredRequest struct {
	entry      int
	requestID  string
	kind       string
	start, end time.Time
}

// addModel classifies a model call by the response that its caller received.
// want is the complete correct answer.
func (r *Report) addModel(call modelCall, m modelResult, want string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	r.checkAnswer(m, want)
	switch {
	case m.cancelled && !m.complete:
		r.Cancelled++
	case !m.connected:
		r.Failures["entry not reached"]++
	case m.outcome == "not-run":
		r.Refusals[m.errorCode]++
		r.refusedIDs = append(r.refusedIDs, m.requestID)
	case m.err != nil || m.status == 0:
		r.addUnanswered(call, m, "connection lost")
	case m.status != 200 || m.errorCode != "" || !m.complete:
		r.addUnanswered(call, m, cmp.Or(m.errorCode, "no end of stream"))
	default:
		r.Completed++
		r.addLatencies(call, m)
	}
}

func (r *Report) addUnanswered(call modelCall, m modelResult, kind string) {
	r.Failures[kind]++
	r.Unanswered = append(r.Unanswered, unansweredRequest{entry: call.entry, requestID: m.requestID, kind: kind, start: m.start, end: m.end})
}

// checkConnectionLost records a plain call whose connection failed after it was
// established.
func (r *Report) checkConnectionLost(p plainResult) {
	if p.err != nil && p.connected {
		r.Unanswered = append(r.Unanswered, unansweredRequest{entry: p.entry, kind: "plain call cut off: " + p.err.Error(), start: p.start, end: p.start.Add(p.elapsed)})
	}
}

// checkAnswer compares the received text with the only correct answer: a partial
// answer must be a prefix of it, a finished one must equal it.
func (r *Report) checkAnswer(m modelResult, want string) {
	if m.malformed != "" {
		r.addViolation("one end: request %s got %s", m.requestID, m.malformed)
	}
	if !strings.HasPrefix(want, m.text) {
		r.addViolation("own answer, each part once: request %s got %q, want %q", m.requestID, m.text, want)
		return
	}
	if m.complete && m.errorCode == "" && len(m.text) < len(want) {
		r.addViolation("whole answer: request %s got %d of %d bytes", m.requestID, len(m.text), len(want))
	}
	if m.complete && m.errorCode != "" {
		r.addViolation("whole answer: request %s got the error %s and [DONE]", m.requestID, m.errorCode)
	}
}

// checkRefusals checks that no engine executed a request that was refused with the
// outcome not-run.
func (r *Report) checkRefusals(j *engine.Journal) {
	for _, id := range r.refusedIDs {
		if id == "" {
			r.addViolation("truthful not-run: a refusal has no request id")
			continue
		}
		for _, x := range j.Executions(id) {
			r.addViolation("truthful not-run: request %s was refused as not run, but %s ran its %s", id, x.Engine, x.Kind)
		}
	}
}

func (r *Report) addLatencies(call modelCall, m modelResult) {
	if !call.stream {
		// Without streaming the first token is not observable, so the total time
		// is compared with the sum of both targets.
		if m.elapsed <= ttftTarget+time.Duration(m.tokens)*tpotTarget {
			r.WithinTargets++
		}
		return
	}
	r.TTFT = append(r.TTFT, m.ttft)
	var tpot time.Duration
	if m.tokens > 1 {
		tpot = (m.elapsed - m.ttft) / time.Duration(m.tokens-1)
		r.TPOT = append(r.TPOT, tpot)
	}
	if m.ttft <= ttftTarget && tpot <= tpotTarget {
		r.WithinTargets++
	}
}

func (r *Report) addLookup(p plainResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkConnectionLost(p)
	if p.err != nil || p.status != 200 {
		r.FailedLookups++
		return
	}
	r.LookupLatencies = append(r.LookupLatencies, p.elapsed)
}

func (r *Report) addBooking(b bookingResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range b.attempts {
		r.checkConnectionLost(p)
	}
	r.Bookings = append(r.Bookings, b)
}

// outcomeLookup is the response of GET /v1/outcomes/{key} for a booking, with the
// number of its executions by the service before and after the lookup.
type outcomeLookup struct {
	id                                string
	status                            int
	executionsBefore, executionsAfter int
	err                               error

	State   string `json:"state"`
	Outcome string `json:"outcome"`
}

func (r *Report) addOutcome(lookup outcomeLookup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, lookup)
}

// checkOutcomes compares the looked-up outcomes with the service's execution
// counts at the time of the lookup.
func (r *Report) checkOutcomes() {
	for _, lookup := range r.outcomes {
		switch {
		case lookup.err != nil:
			r.addViolation("truthful outcome: lookup of %s: %v", lookup.id, lookup.err)
		case lookup.State == "done" && lookup.executionsAfter == 0:
			r.addViolation("truthful outcome: lookup of %s said done, but it never ran", lookup.id)
		case lookup.State == "not-run" && lookup.executionsBefore > 0:
			r.addViolation("truthful outcome: lookup of %s said not-run after it had run %d times", lookup.id, lookup.executionsBefore)
		}
	}
}

// checkBookings compares the responses to bookings with the service's execution
// counts.
func (r *Report) checkBookings(executions map[string]int) {
	for _, b := range r.Bookings {
		count := executions[b.id]
		if count > 1 {
			r.addViolation("at most once: booking %s ran %d times", b.id, count)
		}
		if allRefused(b.attempts) && count > 0 {
			r.addViolation("truthful not-run: booking %s ran although every answer said not-run", b.id)
		}
		for i, p := range b.attempts {
			if p.status/100 == 2 && count == 0 {
				r.addViolation("truthful answer: booking %s never ran although answer %d confirmed it", b.id, i+1)
			}
		}
	}
}

// allRefused reports whether every result has the outcome not-run.
func allRefused(results []plainResult) bool {
	return !slices.ContainsFunc(results, func(p plainResult) bool { return p.outcome != "not-run" })
}

// memoryReleaseTimeout is how long engines may hold request memory after the load
// has ended. It equals the limit that applies after the death of an entry.
const memoryReleaseTimeout = 3 * time.Second

// checkFinalState checks the guarantees that can be verified only after the load:
// booking executions, outcomes, refusals and the release of engine memory.
func (c *Cluster) checkFinalState(r *Report) {
	r.checkBookings(c.orders.Executions())
	r.checkOutcomes()
	r.checkRefusals(c.journal)
	deadline := time.Now().Add(memoryReleaseTimeout)
	for c.heldTokens() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	for _, e := range c.engines {
		counters := e.Counters()
		if counters.HeldTokens > 0 {
			r.addViolation("no memory held: engine %s holds %d tokens after the load", e.Name(), counters.HeldTokens)
		}
		r.PrefillTokens += counters.PrefillTokens
		r.WastedPrefillTokens += counters.WastedPrefillTokens
	}
}

// heldTokens returns the memory, in tokens, that all engines hold for requests.
func (c *Cluster) heldTokens() int {
	total := 0
	for _, e := range c.engines {
		total += e.Counters().HeldTokens
	}
	return total
}

// Print writes the report as a table, followed by the violations.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("requests", "%d (finished %d, caller left %d)", r.Requests, r.Completed, r.Cancelled)
	row("goodput", "%d of %d finished (%.1f%%)", r.WithinTargets, r.Completed, percent(r.WithinTargets, r.Completed))
	row("wasted prefill", "%d of %d tokens (%.1f%%)", r.WastedPrefillTokens, r.PrefillTokens, percent(r.WastedPrefillTokens, r.PrefillTokens))
	row("first token", "p50 %s, p95 %s", quantile(r.TTFT, 0.5), quantile(r.TTFT, 0.95))
	row("per token", "p50 %s, p95 %s", quantile(r.TPOT, 0.5), quantile(r.TPOT, 0.95))
	row("lookups", "%d (failed %d), p95 %s", len(r.LookupLatencies), r.FailedLookups, quantile(r.LookupLatencies, 0.95))
	row("bookings", "%d", len(r.Bookings))
	row("refusals", "%s", formatCounts(r.Refusals))
	row("failures", "%s", formatCounts(r.Failures))
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

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %d  ", k, m[k])
	}
	return text
}

// quantile returns the q-quantile of the values, rounded to 0.1 ms, or 0 if there are
// none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond / 10)
}
