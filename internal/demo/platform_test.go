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

// lookUpOrder asks for the status of an order through an entry.
func (h *harness) lookUpOrder(ctx context.Context, i int) {
	entry := i % h.cluster.options.Entries
	h.report.addLookup(plainCall{
		client: h.client, entry: entry, method: http.MethodGet, key: callerKey(i),
		url: fmt.Sprintf("http://%s/orders/status/%d", h.cluster.options.Addresses.Entry(entry), i),
	}.run(ctx))
}

// Guards against an outage of the key-value service that reaches the traffic
// which does not need it, and against a keyed call that is refused untruthfully.
func TestStoreDownForAnHour(t *testing.T) {
	t.Parallel()
	configure := func(o *Options) { o.PrefillEngines, o.DecodeEngines, o.BookingServers = 2, 2, 1 }
	runWithHarness(t, configure, func(ctx context.Context, h *harness) {
		h.paused.Store(true)
		h.injectFault("store", "down", time.Hour)
		for i := range 12 {
			time.Sleep(5 * time.Minute)
			h.paused.Store(false)
			if m := h.call(ctx, i, uniquePrompt(fmt.Sprint("hour", i), 400), 30, 0); !m.done {
				t.Errorf("model request %d: status %d, %s, %v", i, m.status, m.errorCode, m.err)
			}
			h.lookUpOrder(ctx, i)
			if r := h.book(ctx, fmt.Sprint("keyless", i), false, 1); i < 11 && r.attempts[0].status != http.StatusCreated {
				t.Errorf("keyless booking %d: %+v", i, r.attempts[0])
			}
			if r := h.book(ctx, fmt.Sprint("keyed", i), true, 1); i < 11 && (r.attempts[0].status != http.StatusServiceUnavailable || r.attempts[0].outcome != "not-run") {
				t.Errorf("keyed booking %d: %+v", i, r.attempts[0])
			}
			if i == 5 {
				// Diskless processes that start now have only their peers.
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
		if r := h.book(ctx, "after", true, 1); r.attempts[0].status != http.StatusCreated {
			t.Errorf("keyed booking after the outage: %+v", r.attempts[0])
		}
	})
}

// storeFault is a state of the key-value service.
type storeFault struct {
	name  string
	start func(c *Cluster)
	end   func(c *Cluster)
}

var storeFaults = []storeFault{
	{"healthy", func(*Cluster) {}, func(*Cluster) {}},
	{"slow", func(c *Cluster) { c.kv.Slow(2*time.Second, 0) }, func(c *Cluster) { c.kv.Slow(0, 0) }},
	{"losing acknowledgements", func(c *Cluster) { c.kv.LoseAllAcks(0) }, func(c *Cluster) { c.kv.LoseAcks(0) }},
	{"writing late", func(c *Cluster) { c.kv.LateWrites(40, 700*time.Millisecond) }, func(c *Cluster) { c.kv.LateWrites(0, 0) }},
	{"delivering writes twice", func(c *Cluster) { c.kv.DuplicateWrites(900 * time.Millisecond) }, func(c *Cluster) { c.kv.DuplicateWrites(0) }},
}

// Guards against tickets of racing operators and bookings that are lost, undone
// or run twice while the key-value service answers slowly, not at all or twice.
func TestRacingOperatorsAndBookings(t *testing.T) {
	t.Parallel()
	for _, s := range storeFaults {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			runWithHarness(t, nil, func(ctx context.Context, h *harness) {
				s.start(h.cluster)
				var work sync.WaitGroup
				for i := range 3 {
					work.Go(func() {
						r := rand.New(rand.NewPCG(uint64(i), 7))
						if err := h.runOperator(ctx, fmt.Sprintf("operator-%0*d", i+1, i), r, 6, time.Second); err != nil {
							t.Error(err)
						}
					})
				}
				for i := range 6 {
					// Two senders of the same key at once, through both entries.
					work.Go(func() { h.book(ctx, fmt.Sprint("raced", i/2), true, 5) })
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(8 * time.Second)
				h.injectFault("store", "slow", time.Millisecond) // marks the end of the fault for the watch
				s.end(h.cluster)
				work.Wait()
				time.Sleep(recoveryTime + ticketPropagationBound)
				t.Logf("%d tickets accepted; slowest in effect everywhere after %s", len(h.acceptedTickets), h.worstDelays.ticket)
			})
		})
	}
}

// Guards against new work for an upstream that is leaving while the platform's
// list is stuck, and against its stop cutting off what it runs.
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
				left := time.Now()
				h.injectFault("sidecar-"+upstream, "down", 20*time.Second)
				calls.Wait()
				for _, x := range h.cluster.journal.All() {
					if x.Engine == upstream && x.Started.After(left.Add(shutdownNoticeBound)) && x.Work != engine.WorkDecode {
						t.Errorf("%s began %s of %s %s after it began to leave", upstream, x.Work, x.RequestID, x.Started.Sub(left))
					}
				}
				if h.report.Completed != 60 {
					t.Errorf("%d of 60 finished; refusals %v, failures %v", h.report.Completed, h.report.Refusals, h.report.Failures)
				}
			})
		})
	}
}

// Guards against a connection that goes silent, in one direction or in both,
// and holds an answer back for good or keeps memory.
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
	for direction, silence := range directions {
		for link, address := range addresses {
			for _, s := range requestSteps {
				t.Run(direction+"/"+link+"/"+s.name, func(t *testing.T) {
					t.Parallel()
					runWithHarness(t, nil, func(ctx context.Context, h *harness) {
						quick := h.call(ctx, 0, h.promptWithAnswerLength("warm", 1500, 40), 40, 0)
						begun := time.Now()
						done := make(chan modelResult, 1)
						go func() { done <- h.call(ctx, 0, h.promptWithAnswerLength("quiet", 1500, 40), 40, 0) }()
						name := h.awaitStep(s, begun, 20*time.Second)
						if name == "" {
							t.Fatal("the step was not reached")
						}
						h.mu.Lock()
						h.lastFaultAt[name] = time.Now()
						h.mu.Unlock()
						silence(h.cluster.network.(*memnet.Network), address(name))
						m := <-done
						if lost := m.total - quick.total; lost > 2*memoryAfterFailureBound {
							t.Errorf("the answer took %s longer than without the fault", lost)
						}
						t.Logf("cost %s", m.total-quick.total)
						time.Sleep(recoveryTime)
					})
				})
			}
		}
	}
}
