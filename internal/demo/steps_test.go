package demo

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// requestStep is a moment in the life of a model request, as its engines see it.
type requestStep struct {
	name string
	// at reports whether the executions of the request have come so far.
	reached func(x engine.Execution) bool
	// decoding tells that the decode side is at work, otherwise the prefill side.
	onDecodeSide bool
}

var requestSteps = []requestStep{
	{name: "prefill", reached: func(x engine.Execution) bool { return x.Work == engine.WorkPrefill && x.Outcome == engine.Running }},
	{name: "import", onDecodeSide: true, reached: func(x engine.Execution) bool { return x.Work == engine.WorkImport && x.Outcome == engine.Running }},
	{name: "first token", onDecodeSide: true, reached: hasDecoded(1)},
	{name: "tenth token", onDecodeSide: true, reached: hasDecoded(10)},
	{name: "last tokens", onDecodeSide: true, reached: hasDecoded(38)},
}

func hasDecoded(n int) func(engine.Execution) bool {
	return func(x engine.Execution) bool { return x.Work == engine.WorkDecode && x.FirstIndex+x.Tokens >= n }
}

// awaitStep waits until an execution that began after since is at a step, and
// returns its engine, or "" when none was within the time.
func (h *harness) awaitStep(s requestStep, since time.Time, within time.Duration) string {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, x := range h.cluster.journal.All() {
			if !x.Started.Before(since) && s.reached(x) {
				return x.Engine
			}
		}
	}
	return ""
}

// faultScope is what fails, with the targets that a request's engine stands for.
type faultScope struct {
	name    string
	targets func(engine string) []string
}

var faultScopes = []faultScope{
	{name: "engine", targets: func(e string) []string { return []string{e} }},
	{name: "sidecar", targets: func(e string) []string { return []string{"sidecar-" + e} }},
	{name: "engine and sidecar", targets: func(e string) []string { return []string{e, "sidecar-" + e} }},
	{name: "entry", targets: func(string) []string { return []string{"entry-1"} }},
	{name: "entry and sidecar", targets: func(e string) []string { return []string{"entry-1", "sidecar-" + e} }},
	{name: "entry and engine", targets: func(e string) []string { return []string{"entry-1", e} }},
}

// Guards against a death, a silence, a pause or a graceful stop at one step of a
// model request, once and twice in a row, that loses, garbles or repeats the
// answer, keeps engine memory, or runs what was refused.
func TestFaultsAtEachStepOfAModelRequest(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"crash", "silence", "pause", "down"} {
		for _, v := range faultScopes {
			for _, s := range requestSteps {
				for times := 1; times <= 2; times++ {
					if kind == "pause" && v.name != "engine" || kind == "down" && v.name != "entry" && v.name != "sidecar" && v.name != "entry and sidecar" {
						continue // processes cannot be paused; engines have no graceful stop
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%d", kind, v.name, s.name, times), func(t *testing.T) {
						t.Parallel()
						runWithHarness(t, nil, func(ctx context.Context, h *harness) { h.failAtStep(ctx, kind, v, s, times) })
					})
				}
			}
		}
	}
}

func (h *harness) failAtStep(ctx context.Context, kind string, v faultScope, s requestStep, times int) {
	begun := time.Now()
	done := make(chan modelResult, 1)
	tokens := 40
	if strings.HasPrefix(v.name, "entry") {
		// Long enough that neither memory nor a stop ends with the request.
		tokens = 300
	}
	go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("the", 1500, tokens), tokens, 0) }()
	for i := range times {
		name := h.awaitStep(s, begun, 20*time.Second)
		if name == "" && i == 0 {
			h.t.Error("the step was not reached")
		}
		if name == "" {
			break // the request has ended with its entry
		}
		begun = time.Now().Add(time.Nanosecond)
		for _, target := range v.targets(name) {
			h.injectFault(target, kind, time.Second)
		}
	}
	m := <-done
	h.t.Logf("status %d, done %t, error %q %v after %s", m.status, m.done, m.errorCode, m.err, m.total)
	time.Sleep(recoveryTime)
}

// Guards against engine memory that stays held when a caller leaves at any
// moment, alone or while the request's upstream fails.
func TestCallerLeavesAtEachStep(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "slow", "stall_transfer", "silence", "crash"} {
		for _, s := range requestSteps {
			t.Run(fault+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				runWithHarness(t, nil, func(ctx context.Context, h *harness) {
					ctx, leave := context.WithCancel(ctx)
					defer leave()
					done := make(chan modelResult, 1)
					begun := time.Now()
					go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("left", 1500, 40), 40, 0) }()
					name := h.awaitStep(s, begun, 20*time.Second)
					if name == "" {
						t.Fatal("the step was not reached")
					}
					if fault != "" {
						h.injectFault(name, fault, 2*time.Second)
					}
					leave()
					<-done
					time.Sleep(recoveryTime)
					t.Logf("memory free %s after the caller left", h.worstDelays.afterCancel)
				})
			})
		}
	}
}

// Guards against a request that uses up its attempts on a link that stays
// stalled although other upstreams could serve it.
func TestTransferStalledForGood(t *testing.T) {
	t.Parallel()
	for _, side := range []requestStep{requestSteps[0], requestSteps[1]} {
		t.Run(side.name+" side", func(t *testing.T) {
			t.Parallel()
			runWithHarness(t, nil, func(ctx context.Context, h *harness) {
				done := make(chan modelResult, 1)
				begun := time.Now()
				go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("stalled", 1500, 40), 40, 0) }()
				name := h.awaitStep(side, begun, 20*time.Second)
				h.injectFault("link-"+name, "stall_transfer", time.Minute)
				m := <-done
				t.Logf("answered %t after %s", m.done, m.total)
			})
		})
	}
}
