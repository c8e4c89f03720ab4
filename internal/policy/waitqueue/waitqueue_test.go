package waitqueue

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards the order of a burst: those that can be in time first, the most urgent
// of them before the others; returned ones before they are lost; late ones last.
func TestOrder(t *testing.T) {
	cases := []struct {
		name          string
		first, second Request
	}{
		{"in time before late", Request{Slack: 500 * ms, TimeToAbandonment: 3000 * ms}, Request{Slack: -1 * ms, TimeToAbandonment: 100 * ms}},
		{"less slack first", Request{Slack: 50 * ms}, Request{Slack: 300 * ms}},
		{"small before large at equal slack", Request{Slack: 300 * ms, Tokens: 4000}, Request{Slack: 300 * ms, Tokens: 12000}},
		{"more urgent route first", Request{Slack: 500 * ms, Priority: 0}, Request{Slack: 50 * ms, Priority: 2}},
		{"late: less patience first", Request{Slack: -1, TimeToAbandonment: 500 * ms}, Request{Slack: -1, TimeToAbandonment: 2000 * ms}},
		{"late: returned first", Request{Slack: -1, TimeToAbandonment: 2500 * ms, PreviouslyRefused: true}, Request{Slack: -1, TimeToAbandonment: 2000 * ms}},
		{"a last chance counts as in time", Request{Slack: -1, TimeToAbandonment: 300 * ms, PreviouslyRefused: true}, Request{Slack: 800 * ms, TimeToAbandonment: 3000 * ms}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := []*Request{&c.second, &c.first}
			slices.SortStableFunc(list, Compare)
			if list[0] != &c.first {
				t.Errorf("%+v goes before %+v", c.second, c.first)
			}
		})
	}
}

// Guards the memory that late requests leave to those that can be in time.
func TestFill(t *testing.T) {
	f := NewFillLimits(8000, 100_000)
	inTime, late := &Request{Slack: ms}, &Request{Slack: -ms, TimeToAbandonment: 2 * time.Second}
	if f.For(late, true) != 0 {
		t.Error("a late request takes memory while others can be in time")
	}
	if l := f.For(late, false); l <= 0 || l >= f.For(inTime, true) {
		t.Errorf("late requests may fill %.2f, those in time %.2f", l, f.For(inTime, true))
	}
}

// Guards the margin of small engines: the fewer requests share the memory, the
// less the forecast's errors cancel out.
func TestFillOfSmallEngines(t *testing.T) {
	large, small := NewFillLimits(8000, 100_000).OnTime, NewFillLimits(8000, 60_000).OnTime
	if small >= large || large < 0.8 || small < 0.75 {
		t.Errorf("large engines are filled to %.2f, small ones to %.2f", large, small)
	}
}
