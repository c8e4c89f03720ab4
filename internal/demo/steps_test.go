package demo

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// requestStep is a stage of a model request, derived from the engines' executions.
type requestStep struct {
	name string
	// reached reports whether an execution of the request is at this stage.
	reached func(x engine.Execution) bool
	// onDecodeSide is true if the decode engine is working at this stage, false if
	// the prefill engine is.
	onDecodeSide bool
}

var requestSteps = []requestStep{
	{name: "prefill", reached: func(x engine.Execution) bool {
		return x.Kind == engine.ExecutionPrefill && x.Outcome == engine.OutcomeRunning
	}},
	{name: "import", onDecodeSide: true, reached: func(x engine.Execution) bool {
		return x.Kind == engine.ExecutionImport && x.Outcome == engine.OutcomeRunning
	}},
	{name: "first token", onDecodeSide: true, reached: hasDecoded(1)},
	{name: "tenth token", onDecodeSide: true, reached: hasDecoded(10)},
	{name: "last tokens", onDecodeSide: true, reached: hasDecoded(38)},
}

func hasDecoded(n int) func(engine.Execution) bool {
	return func(x engine.Execution) bool { return x.Kind == engine.ExecutionDecode && x.FirstIndex+x.Tokens >= n }
}

// awaitStep waits until an execution that did not start before since reaches the
// step. It returns the execution's engine, or "" after the timeout.
func (h *harness) awaitStep(step requestStep, since time.Time, timeout time.Duration) string {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, execution := range h.cluster.journal.AllExecutions() {
			if !execution.Started.Before(since) && step.reached(execution) {
				return execution.Engine
			}
		}
	}
	return ""
}

// faultScope selects which processes fail, given the engine that executes the
// request.
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

// Guards against a crash, a blackholed connection, a pause or a graceful shutdown
// at one step of a model request, once or twice in a row, that loses, corrupts or
// repeats the answer, keeps engine memory allocated, or executes a refused request.
func TestFaultsAtEachStepOfAModelRequest(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"crash", "silence", "pause", "down"} {
		for _, scope := range faultScopes {
			for _, step := range requestSteps {
				for faultCount := 1; faultCount <= 2; faultCount++ {
					if kind == "pause" && scope.name != "engine" || kind == "down" && scope.name != "entry" && scope.name != "sidecar" && scope.name != "entry and sidecar" {
						continue // only engines can be paused, and engines have no graceful shutdown
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%d", kind, scope.name, step.name, faultCount), func(t *testing.T) {
						t.Parallel()
						runWithHarness(t, nil, func(ctx context.Context, h *harness) { h.failAtStep(ctx, kind, scope, step, faultCount) })
					})
				}
			}
		}
	}
}

func (h *harness) failAtStep(ctx context.Context, kind string, scope faultScope, step requestStep, faultCount int) {
	since := time.Now()
	done := make(chan modelResult, 1)
	tokens := 40
	if strings.HasPrefix(scope.name, "entry") {
		// The request must outlast the fault, so that the release of memory and
		// the shutdown are not merely effects of its completion.
		tokens = 300
	}
	go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("the", 1500, tokens), tokens, 0) }()
	for i := range faultCount {
		engineName := h.awaitStep(step, since, 20*time.Second)
		if engineName == "" && i == 0 {
			h.t.Error("the step was not reached")
		}
		if engineName == "" {
			break // the request ended with the first fault on its entry
		}
		since = time.Now().Add(time.Nanosecond)
		for _, target := range scope.targets(engineName) {
			h.injectFault(target, kind, time.Second)
		}
	}
	result := <-done
	h.t.Logf("status %d, complete %t, error code %q, error %v after %s", result.status, result.complete, result.errorCode, result.err, result.elapsed)
	time.Sleep(recoveryTime)
}

// Guards against engine memory that is not released when a caller disconnects at
// any step of its request, alone or while the request's upstream is failing.
func TestCallerLeavesAtEachStep(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "slow", "stall_transfer", "silence", "crash"} {
		for _, step := range requestSteps {
			t.Run(fault+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				runWithHarness(t, nil, func(ctx context.Context, h *harness) {
					ctx, disconnect := context.WithCancel(ctx)
					defer disconnect()
					done := make(chan modelResult, 1)
					since := time.Now()
					go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("left", 1500, 40), 40, 0) }()
					engineName := h.awaitStep(step, since, 20*time.Second)
					if engineName == "" {
						t.Fatal("the step was not reached")
					}
					if fault != "" {
						h.injectFault(engineName, fault, 2*time.Second)
					}
					disconnect()
					<-done
					time.Sleep(recoveryTime)
					t.Logf("longest hold of engine memory after the caller disconnected: %s", h.worstDelays.afterCancel)
				})
			})
		}
	}
}

// Guards against a request that spends all its attempts on a permanently stalled
// transfer link although other upstreams could serve it.
func TestTransferStalledForGood(t *testing.T) {
	t.Parallel()
	for _, step := range []requestStep{requestSteps[0], requestSteps[1]} {
		t.Run(step.name+" side", func(t *testing.T) {
			t.Parallel()
			runWithHarness(t, nil, func(ctx context.Context, h *harness) {
				done := make(chan modelResult, 1)
				since := time.Now()
				go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("stalled", 1500, 40), 40, 0) }()
				engineName := h.awaitStep(step, since, 20*time.Second)
				h.injectFault("link-"+engineName, "stall_transfer", time.Minute)
				result := <-done
				t.Logf("complete answer %t after %s", result.complete, result.elapsed)
			})
		})
	}
}
