package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// lookUpOrder queries the status of an order through an entry.
func (h *harness) lookUpOrder(ctx context.Context, i int) {
	entry := i % h.cluster.options.Entries
	h.report.addLookup(plainCall{
		client: h.client, entry: entry, method: http.MethodGet, key: callerKey(i),
		url: fmt.Sprintf("http://%s/orders/status/%d", h.cluster.options.Addresses.Entry(entry), i),
	}.run(ctx))
}

// Guards against an outage of the key-value service that affects traffic which does
// not depend on the service, and against bookings with an idempotency key that are
// refused with an outcome other than not-run.
func TestStoreDownForAnHour(t *testing.T) {
	t.Parallel()
	configure := func(o *Options) { o.PrefillEngines, o.DecodeEngines, o.BookingServers = 2, 2, 1 }
	runWithHarness(t, configure, func(ctx context.Context, h *harness) {
		h.paused.Store(true)
		h.injectFault("store", "down", time.Hour)
		// The last round, 11, starts after the full hour, when the service is available
		// again. Its bookings are therefore not checked.
		for i := range 12 {
			time.Sleep(5 * time.Minute)
			h.paused.Store(false)
			if result := h.call(ctx, i, uniquePrompt(fmt.Sprint("hour", i), 400), 30, 0); !result.complete {
				t.Errorf("model request %d failed: status %d, error code %q, error %v", i, result.status, result.errorCode, result.err)
			}
			h.lookUpOrder(ctx, i)
			if booking := h.book(ctx, fmt.Sprint("keyless", i), false, 1); i < 11 && booking.attempts[0].status != http.StatusCreated {
				t.Errorf("booking %d without idempotency key failed: %+v", i, booking.attempts[0])
			}
			if booking := h.book(ctx, fmt.Sprint("keyed", i), true, 1); i < 11 && (booking.attempts[0].status != http.StatusServiceUnavailable || booking.attempts[0].outcome != "not-run") {
				t.Errorf("booking %d with idempotency key: got %+v, want status 503 and outcome not-run", i, booking.attempts[0])
			}
			if i == 5 {
				// Processes that start now have no local disk and no store, so they
				// can get their configuration from peers only.
				h.injectFault("entry-2", "crash", time.Second)
				h.injectFault("sidecar-decode-1", "crash", time.Second)
				time.Sleep(10 * time.Second)
			}
			h.paused.Store(true)
		}
		h.paused.Store(false)
		time.Sleep(recoveryTime)
		if h.report.FailedLookups > 0 {
			t.Errorf("%d lookups failed", h.report.FailedLookups)
		}
		if booking := h.book(ctx, "after", true, 1); booking.attempts[0].status != http.StatusCreated {
			t.Errorf("booking with idempotency key failed after the outage: %+v", booking.attempts[0])
		}
	})
}

// storeFault starts and ends a fault of the key-value service.
type storeFault struct {
	name  string
	start func(c *Cluster)
	end   func(c *Cluster)
}

var storeFaults = []storeFault{
	{"healthy", func(*Cluster) {}, func(*Cluster) {}},
	{"slow", func(c *Cluster) { c.kv.Slow(2*time.Second, 0) }, func(c *Cluster) { c.kv.Slow(0, 0) }},
	{"losing acknowledgements", func(c *Cluster) { c.kv.LoseAllAcks(0) }, func(c *Cluster) { c.kv.LoseAcks(0) }},
	{"writing late", func(c *Cluster) { c.kv.DelayWrites(40, 700*time.Millisecond) }, func(c *Cluster) { c.kv.DelayWrites(0, 0) }},
	{"delivering writes twice", func(c *Cluster) { c.kv.DuplicateWrites(900 * time.Millisecond) }, func(c *Cluster) { c.kv.DuplicateWrites(0) }},
}

// Guards against concurrent tickets and bookings that are lost, reverted or executed
// twice while the key-value service is slow, loses acknowledgements, or delays or
// duplicates writes.
func TestRacingOperatorsAndBookings(t *testing.T) {
	t.Parallel()
	for _, fault := range storeFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runWithHarness(t, nil, func(ctx context.Context, h *harness) {
				fault.start(h.cluster)
				var background sync.WaitGroup
				for i := range 3 {
					background.Go(func() {
						r := rand.New(rand.NewPCG(uint64(i), 7))
						if err := h.runOperator(ctx, fmt.Sprintf("operator-%0*d", i+1, i), r, 6, time.Second); err != nil {
							t.Error(err)
						}
					})
				}
				for i := range 6 {
					// Two concurrent bookings with the same key; their attempts
					// alternate between the entries.
					background.Go(func() { h.book(ctx, fmt.Sprint("raced", i/2), true, 5) })
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(8 * time.Second)
				h.injectFault("store", "slow", time.Millisecond) // tells the monitor when the fault ended
				fault.end(h.cluster)
				background.Wait()
				time.Sleep(recoveryTime + ticketPropagationBound)
				t.Logf("%d tickets accepted; longest propagation to all processes: %s", len(h.acceptedTickets), h.worstDelays.ticket)
			})
		})
	}
}

// Guards against new work being sent to an upstream that is shutting down while the
// platform's instance list is not updated, and against a graceful shutdown that
// interrupts running requests.
func TestLeavingWhileTheListIsStuck(t *testing.T) {
	t.Parallel()
	for _, upstream := range []string{"prefill-1", "decode-1", "decode-2"} {
		t.Run(upstream, func(t *testing.T) {
			t.Parallel()
			runWithHarness(t, nil, func(ctx context.Context, h *harness) {
				h.injectFault("list", "pause", 40*time.Second)
				var calls sync.WaitGroup
				for i := range 60 {
					calls.Go(func() {
						time.Sleep(time.Duration(i) * 200 * time.Millisecond)
						h.call(ctx, i, h.promptWithAnswerLength(fmt.Sprint("list", i), 600, 200), 200, 0)
					})
				}
				time.Sleep(3 * time.Second)
				shutdownStart := time.Now()
				h.injectFault("sidecar-"+upstream, "down", 20*time.Second)
				calls.Wait()
				for _, execution := range h.cluster.journal.AllExecutions() {
					if execution.Engine == upstream && execution.Started.After(shutdownStart.Add(shutdownNoticeBound)) && execution.Kind != engine.ExecutionDecode {
						t.Errorf("%s started the %s of request %s %s after its shutdown began", upstream, execution.Kind, execution.RequestID, execution.Started.Sub(shutdownStart))
					}
				}
				if h.report.Completed != 60 {
					t.Errorf("%d of 60 requests completed; refusals %v, failures %v", h.report.Completed, h.report.Refusals, h.report.Failures)
				}
			})
		})
	}
}

// Guards against a connection that drops all data, in one direction or in both, and
// thereby blocks an answer forever or keeps engine memory allocated.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	directions := map[string]func(n *memnet.Network, addr string){
		"replies": func(n *memnet.Network, addr string) { n.BlackholeReplies(addr) },
		"both":    func(n *memnet.Network, addr string) { n.Blackhole(addr, false) },
	}
	addresses := map[string]func(engine string) string{
		"entry to sidecar":  func(e string) string { return "sidecar-" + e + ":80" },
		"sidecar to engine": func(e string) string { return "engine-" + e + ":80" },
	}
	for direction, blackhole := range directions {
		for link, address := range addresses {
			for _, step := range requestSteps {
				t.Run(direction+"/"+link+"/"+step.name, func(t *testing.T) {
					t.Parallel()
					runWithHarness(t, nil, func(ctx context.Context, h *harness) {
						baseline := h.call(ctx, 0, h.promptWithAnswerLength("warm", 1500, 40), 40, 0)
						since := time.Now()
						done := make(chan modelResult, 1)
						go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("quiet", 1500, 40), 40, 0) }()
						engineName := h.awaitStep(step, since, 20*time.Second)
						if engineName == "" {
							t.Fatal("the step was not reached")
						}
						h.mu.Lock()
						h.lastFaultAt[engineName] = time.Now()
						h.mu.Unlock()
						blackhole(h.cluster.network.(*memnet.Network), address(engineName))
						result := <-done
						if delay := result.elapsed - baseline.elapsed; delay > 2*memoryAfterFailureBound {
							t.Errorf("the answer took %s longer than without the fault", delay)
						}
						t.Logf("the fault delayed the answer by %s", result.elapsed-baseline.elapsed)
						time.Sleep(recoveryTime)
					})
				})
			}
		}
	}
}
