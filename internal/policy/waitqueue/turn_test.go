package waitqueue

import (
	"testing"
	"time"
)

// Guards the order in which gateways may take a place that becomes free: the
// most urgent request first, in time before late, and nobody waits for itself.
func TestTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	head := func(r Request) Head { return NewHead("s", &r, now) }
	urgent := head(Request{Slack: 50 * ms, TimeToAbandonment: time.Second})
	calm := head(Request{Slack: 600 * ms, TimeToAbandonment: time.Second})
	late := head(Request{Slack: -1, TimeToAbandonment: 400 * ms})
	batch := head(Request{Slack: 20 * ms, Priority: 2})
	elsewhere := NewHead("other", &Request{Slack: ms}, now)
	cases := []struct {
		name   string
		own    Head
		others []Head
		ahead  int
	}{
		{"alone", calm, nil, 0},
		{"most urgent", urgent, []Head{calm, late, batch}, 0},
		{"one more urgent", calm, []Head{urgent, late}, 1},
		{"late after all in time", late, []Head{urgent, calm, batch}, 3},
		{"another service does not count", calm, []Head{elsewhere}, 0},
		{"less urgent route", batch, []Head{calm, urgent, late}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, want := AdmissionDelay(c.own, c.others), time.Duration(c.ahead)*turnTime; got != want {
				t.Errorf("turn after %v; want %v", got, want)
			}
		})
	}
}

// Guards the agreement of gateways that look at different moments: the same
// requests have the same order for both.
func TestTurnsAgree(t *testing.T) {
	now := time.Unix(1000, 0)
	const later = 40 * ms
	a, b := Request{Slack: 300 * ms}, Request{Slack: 310 * ms}
	aLater := Request{Slack: a.Slack - later}
	if AdmissionDelay(NewHead("s", &b, now), []Head{NewHead("s", &aLater, now.Add(later))}) == 0 {
		t.Error("the less urgent request goes first when the other one is seen later")
	}
}
