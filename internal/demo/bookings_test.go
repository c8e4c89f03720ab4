package demo

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// book sends a booking, each attempt through the next entry. With an idempotency
// key it stops after a success, without one also after any attempt that may have
// executed. It makes at most maxAttempts attempts.
func (h *harness) book(ctx context.Context, id string, idempotent bool, maxAttempts int) bookingResult {
	result := bookingResult{id: id, idempotent: idempotent, caller: callerKey(0)}
	generator := &loadGenerator{cluster: h.cluster, client: h.client}
	for attempt := range maxAttempts {
		call := plainCall{client: h.client, entry: attempt % h.cluster.options.Entries, method: http.MethodPost, url: generator.entryURL(attempt) + "/orders/book", key: callerKey(0), body: fmt.Sprintf(`{"id":%q}`, id)}
		if idempotent {
			call.idempotencyKey = id
		}
		callCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
		attemptResult := call.run(callCtx)
		cancel()
		result.attempts = append(result.attempts, attemptResult)
		if idempotent {
			h.report.addOutcome(generator.lookUpOutcome(ctx, attempt+1, call.key, id))
		}
		if attemptResult.status/100 == 2 || !idempotent && attemptResult.outcome != "not-run" {
			break
		}
		time.Sleep(time.Second)
	}
	h.report.addBooking(result)
	return result
}

// bookingSteps are the moments at which faults are injected, as times after the
// booking was sent. The ledger's write takes a few milliseconds and the service's
// execution 20 ms.
var bookingSteps = []struct {
	name  string
	after time.Duration
}{
	{"as it arrives", time.Millisecond},
	{"while the intent is written", 4 * time.Millisecond},
	{"as it reaches the service", 10 * time.Millisecond},
	{"while the service works", 20 * time.Millisecond},
	{"as the service answers", 30 * time.Millisecond},
	{"while the outcome is settled", 45 * time.Millisecond},
}

// bookingFaults lists the faults that are injected together, as pairs of target
// and kind.
var bookingFaults = []struct {
	name    string
	targets [][2]string
}{
	{"entry dies", [][2]string{{"entry-1", "crash"}}},
	{"entry goes silent", [][2]string{{"entry-1", "silence"}}},
	{"entry stops", [][2]string{{"entry-1", "down"}}},
	{"sidecars die", [][2]string{{"sidecar-orders-1", "crash"}, {"sidecar-orders-2", "crash"}}},
	{"sidecars go silent", [][2]string{{"sidecar-orders-1", "silence"}, {"sidecar-orders-2", "silence"}}},
	{"sidecars stop", [][2]string{{"sidecar-orders-1", "down"}, {"sidecar-orders-2", "down"}}},
	{"services die", [][2]string{{"orders-1", "crash"}, {"orders-2", "crash"}}},
	{"services die before they execute", [][2]string{{"orders-1", "crash_before"}, {"orders-2", "crash_before"}}},
	{"services die after they executed", [][2]string{{"orders-1", "crash_after"}, {"orders-2", "crash_after"}}},
	{"services go silent", [][2]string{{"orders-1", "silence"}, {"orders-2", "silence"}}},
	{"store down", [][2]string{{"store", "down"}}},
	{"store slow", [][2]string{{"store", "slow"}}},
	{"store loses acknowledgements", [][2]string{{"store", "lost_ack"}}},
	{"store writes late", [][2]string{{"store", "late_write"}}},
	{"store down and entry dies", [][2]string{{"store", "down"}, {"entry-1", "crash"}}},
	{"entry and services die", [][2]string{{"entry-1", "crash"}, {"orders-1", "crash_after"}, {"orders-2", "crash_after"}}},
	{"lost acknowledgement and entry dies", [][2]string{{"store", "lost_ack"}, {"entry-1", "crash"}}},
}

// Guards against a booking that runs twice, is confirmed without having run, or
// is reported as not-run after it ran. Each case injects one fault, or several at
// once, at a given step of the booking, and again for the three bookings that
// follow.
func TestFaultsAtEachStepOfABooking(t *testing.T) {
	t.Parallel()
	for _, faults := range bookingFaults {
		for _, step := range bookingSteps {
			t.Run(faults.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				runWithHarness(t, nil, func(ctx context.Context, h *harness) {
					for i := range 4 {
						time.AfterFunc(step.after, func() {
							for _, target := range faults.targets {
								h.injectFault(target[0], target[1], time.Second)
							}
						})
						booking := h.book(ctx, fmt.Sprint("b", i), i < 2, 6)
						last := booking.attempts[len(booking.attempts)-1]
						t.Logf("%d attempts; last one: status %d, outcome %q, error code %q", len(booking.attempts), last.status, last.outcome, last.errorCode)
						time.Sleep(4 * time.Second)
					}
					time.Sleep(recoveryTime)
				})
			})
		}
	}
}
