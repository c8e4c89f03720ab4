package entry

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/quarantine"
)

// Guards against a panic when the prefill of an earlier attempt reports its
// queueing time before the next attempt has a reservation.
func TestQueuedPrefillWithoutReservation(t *testing.T) {
	r := &runner{req: &Request{}, avoid: map[string]bool{}}
	r.prefill = &prefillConn{target: target{upstream: "p"}}
	if err := r.handlePrefillQueued(r.prefill, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if r.prefillMoves != 0 {
		t.Error("the prefill was moved")
	}
}

// Guards against a prefill of a failed attempt that goes on while another copy of the request, a
// suspect, runs elsewhere: both may crash an engine then, after one that has crashed already.
func TestKeptPrefillIsCancelledWhenSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{duplicates: newDuplicateTracker(), quarantine: quarantine.NewReplica(nil, log.New(io.Discard))}
		e.quarantine.OnChange(func() { e.duplicates.notifyCrashed(e.quarantine) })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := &runner{entry: e, req: &Request{}, ctx: ctx, queue: newEventQueue(), avoid: map[string]bool{}}
		e.duplicates.add(r)
		r.prefill = &prefillConn{target: target{upstream: "p"}, cancel: func() {}}
		r.runsUnsuspected.Store(r.keepsUnsuspectedPrefill())
		time.AfterFunc(time.Second, func() { e.quarantine.ReportCrash(r.req.Fingerprint, "d") })
		time.AfterFunc(time.Second-time.Millisecond, func() {
			if e.duplicates.allSuspected(r.req.Fingerprint) {
				t.Error("the prefill that runs is not counted")
			}
		})
		if err := r.backOff(2 * time.Second); err != nil {
			t.Fatal(err)
		}
		if r.prefill != nil || !r.req.Suspect || !e.duplicates.allSuspected(r.req.Fingerprint) {
			t.Error("the prefill goes on after the crash became known")
		}
	})
}
