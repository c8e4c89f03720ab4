package waitqueue

import (
	"testing"
	"time"
)

// TestAdmissionDelay checks the order in which gateways may take free capacity.
// It guards against late requests that precede those on time, and against
// delays for requests that do not compete.
func TestAdmissionDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	head := func(r Request) Head { return NewHead("s", &r, now) }
	urgent := head(Request{Slack: 50 * ms, TimeToAbandonment: time.Second})
	lessUrgent := head(Request{Slack: 600 * ms, TimeToAbandonment: time.Second})
	late := head(Request{Slack: -1, TimeToAbandonment: 400 * ms})
	lowPriority := head(Request{Slack: 20 * ms, Priority: 2})
	otherService := NewHead("other", &Request{Slack: ms}, now)
	cases := []struct {
		name   string
		own    Head
		others []Head
		ahead  int
	}{
		{"alone", lessUrgent, nil, 0},
		{"most urgent", urgent, []Head{lessUrgent, late, lowPriority}, 0},
		{"one more urgent", lessUrgent, []Head{urgent, late}, 1},
		{"late after all on time", late, []Head{urgent, lessUrgent, lowPriority}, 3},
		{"another service does not count", lessUrgent, []Head{otherService}, 0},
		{"less urgent route", lowPriority, []Head{lessUrgent, urgent, late}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, want := AdmissionDelay(c.own, c.others), time.Duration(c.ahead)*admissionStep; got != want {
				t.Errorf("admission delay %v, want %v", got, want)
			}
		})
	}
}

// TestAdmissionOrderIsConsistent guards against gateways that both take
// capacity first because they compare the same requests at different times.
func TestAdmissionOrderIsConsistent(t *testing.T) {
	now := time.Unix(1000, 0)
	const later = 40 * ms
	a, b := Request{Slack: 300 * ms}, Request{Slack: 310 * ms}
	aLater := Request{Slack: a.Slack - later}
	if AdmissionDelay(NewHead("s", &b, now), []Head{NewHead("s", &aLater, now.Add(later))}) == 0 {
		t.Error("the less urgent request is admitted without delay when the other one was observed later")
	}
}
