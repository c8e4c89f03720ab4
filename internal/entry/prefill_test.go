package entry

import (
	"testing"
	"time"
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
