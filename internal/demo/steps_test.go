package demo

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// step is a moment in the life of a model request, as its engines see it.
type step struct {
	name string
	// at reports whether the executions of the request have come so far.
	at func(x engine.Execution) bool
	// decoding tells that the decode side is at work, otherwise the prefill side.
	decoding bool
}

var steps = []step{
	{name: "prefill", at: func(x engine.Execution) bool {
		return x.Kind == engine.ExecutionPrefill && x.Outcome == engine.OutcomeRunning
	}},
	{name: "import", decoding: true, at: func(x engine.Execution) bool {
		return x.Kind == engine.ExecutionImport && x.Outcome == engine.OutcomeRunning
	}},
	{name: "first token", decoding: true, at: decoded(1)},
	{name: "tenth token", decoding: true, at: decoded(10)},
	{name: "last tokens", decoding: true, at: decoded(38)},
}

func decoded(n int) func(engine.Execution) bool {
	return func(x engine.Execution) bool { return x.Kind == engine.ExecutionDecode && x.FirstIndex+x.Tokens >= n }
}

// await waits until an execution that began after since is at a step, and
// returns its engine, or "" when none was within the time.
func (b *bench) await(s step, since time.Time, within time.Duration) string {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, x := range b.fleet.journal.AllExecutions() {
			if !x.Started.Before(since) && s.at(x) {
				return x.Engine
			}
		}
	}
	return ""
}

// victim is what fails, with the targets that a request's engine stands for.
type victim struct {
	name    string
	targets func(engine string) []string
}

var victims = []victim{
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
		for _, v := range victims {
			for _, s := range steps {
				for times := 1; times <= 2; times++ {
					if kind == "pause" && v.name != "engine" || kind == "down" && v.name != "entry" && v.name != "sidecar" && v.name != "entry and sidecar" {
						continue // processes cannot be paused; engines have no graceful stop
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%d", kind, v.name, s.name, times), func(t *testing.T) {
						t.Parallel()
						inFleet(t, nil, func(ctx context.Context, b *bench) { b.failAtStep(ctx, kind, v, s, times) })
					})
				}
			}
		}
	}
}

func (b *bench) failAtStep(ctx context.Context, kind string, v victim, s step, times int) {
	begun := time.Now()
	done := make(chan modelResult, 1)
	tokens := 40
	if strings.HasPrefix(v.name, "entry") {
		// Long enough that neither memory nor a stop ends with the request.
		tokens = 300
	}
	go func() { done <- b.call(ctx, 0, b.long("the", 1500, tokens), tokens, 0) }()
	for i := range times {
		name := b.await(s, begun, 20*time.Second)
		if name == "" && i == 0 {
			b.t.Error("the step was not reached")
		}
		if name == "" {
			break // the request has ended with its entry
		}
		begun = time.Now().Add(time.Nanosecond)
		for _, target := range v.targets(name) {
			b.fault(target, kind, time.Second)
		}
	}
	m := <-done
	b.t.Logf("status %d, done %t, error %q %v after %s", m.status, m.done, m.errorKind, m.err, m.total)
	time.Sleep(settleTime)
}

// Guards against engine memory that stays held when a caller leaves at any
// moment, alone or while the request's upstream fails.
func TestCallerLeavesAtEachStep(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "slow", "stall_transfer", "silence", "crash"} {
		for _, s := range steps {
			t.Run(fault+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				inFleet(t, nil, func(ctx context.Context, b *bench) {
					ctx, leave := context.WithCancel(ctx)
					defer leave()
					done := make(chan modelResult, 1)
					begun := time.Now()
					go func() { done <- b.call(ctx, 0, b.long("left", 1500, 40), 40, 0) }()
					name := b.await(s, begun, 20*time.Second)
					if name == "" {
						t.Fatal("the step was not reached")
					}
					if fault != "" {
						b.fault(name, fault, 2*time.Second)
					}
					leave()
					<-done
					time.Sleep(settleTime)
					t.Logf("memory free %s after the caller left", b.worst.left)
				})
			})
		}
	}
}

// Guards against a request that uses up its attempts on a link that stays
// stalled although other upstreams could serve it.
func TestTransferStalledForGood(t *testing.T) {
	t.Parallel()
	for _, side := range []step{steps[0], steps[1]} {
		t.Run(side.name+" side", func(t *testing.T) {
			t.Parallel()
			inFleet(t, nil, func(ctx context.Context, b *bench) {
				done := make(chan modelResult, 1)
				begun := time.Now()
				go func() { done <- b.call(ctx, 0, b.long("stalled", 1500, 40), 40, 0) }()
				name := b.await(side, begun, 20*time.Second)
				b.fault("link-"+name, "stall_transfer", time.Minute)
				m := <-done
				t.Logf("answered %t after %s", m.done, m.total)
			})
		})
	}
}
