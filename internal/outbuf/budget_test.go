package outbuf

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a reservation that is refused only because another one, which is refused
// too, has been counted for a moment, and against a count above its limit in that moment.
func TestRefusedReservationIsNeverCounted(t *testing.T) {
	const limit, tooMuch, attempts = 1000, 2000, 500_000
	b := NewBudget(limit)
	var refusing sync.WaitGroup
	var done atomic.Bool
	started := make(chan struct{})
	for range 4 {
		refusing.Go(func() {
			started <- struct{}{}
			for !done.Load() {
				if b.TryReserve(Responses, tooMuch) {
					t.Error("more than the budget was reserved")
					return
				}
			}
		})
	}
	for range 4 {
		<-started
	}
	refused, exceeded := 0, 0
	for range attempts {
		if b.TryReserve(Responses, 1) {
			b.Release(Responses, 1)
		} else {
			refused++
		}
		if b.Used(Responses) > limit || b.Total() > limit {
			exceeded++
		}
	}
	done.Store(true)
	refusing.Wait()
	if refused > 0 || exceeded > 0 {
		t.Errorf("of %d reservations of 1 byte in an empty budget, %d were refused; %d times more than the limit was counted", attempts, refused, exceeded)
	}
}
