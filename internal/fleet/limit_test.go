package fleet

import (
	"testing"
	"time"
)

// Guards against a limit that single answers end, that outlives the answer that ended
// it, or that an old report of another process brings back.
func TestLimitEnds(t *testing.T) {
	var u Upstream
	now := time.Unix(1000, 0)
	if !u.RecordLimit(3, true, now) || u.RecordLimit(3, true, now.Add(time.Millisecond)) {
		t.Error("want one change when the limit is named")
	}
	if u.RecordLimit(0, false, now.Add(limitReleaseDelay/2)) {
		t.Error("the limit ended with an answer that may be older")
	}
	ended := now.Add(2 * limitReleaseDelay)
	if !u.RecordLimit(0, false, ended) || !u.TakeLimit(1, 4, ended) || !u.TakeLimit(1, 4, ended) {
		t.Error("the limit is still in force")
	}
	if u.RecordReportedLimit(3, ended.Add(-time.Millisecond)) {
		t.Error("an old report brought the limit back")
	}
	if !u.RecordReportedLimit(3, ended.Add(time.Millisecond)) {
		t.Error("a newer report was ignored")
	}
}

// Guards against a limit that seems to change whenever another process reports it, because
// reports are less precise than answers. Its pace would begin anew each time.
func TestReportedLimitIsNoChange(t *testing.T) {
	var u Upstream
	now := time.Unix(1000, 0)
	u.RecordLimit(1.8, true, now)
	u.LimitWait(3, now) // sets the pace
	if !u.TakeLimit(2, 3, now.Add(time.Minute)) {
		t.Fatal("the limit allows no request")
	}
	taken := now.Add(time.Minute)
	before := u.LimitWait(3, taken)
	if u.RecordReportedLimit(float64(float32(1.8)), taken) || u.RecordLimit(1.8, true, taken.Add(time.Millisecond)) {
		t.Error("the limit has changed")
	}
	if after := u.LimitWait(3, taken); after != before {
		t.Errorf("the wait is %v after a report, and was %v", after, before)
	}
}

// Guards against a limit that a process keeps although others know that it has ended, and
// against an end that is older than its last mention.
func TestReportedLimitEnd(t *testing.T) {
	var u Upstream
	now := time.Unix(1000, 0)
	if u.RecordReportedLimitEnd(now) {
		t.Error("the end of no limit is a change")
	}
	u.RecordLimit(0.1, true, now)
	if u.RecordReportedLimitEnd(now.Add(limitReleaseDelay / 2)) {
		t.Error("the limit ended with an answer that may be older")
	}
	ended := now.Add(limitReleaseDelay)
	if !u.RecordReportedLimitEnd(ended) || !u.TakeLimit(1, 4, ended) || !u.TakeLimit(1, 4, ended) {
		t.Error("the limit is still in force")
	}
	if at, ok := u.LimitEnd(); !ok || !at.Equal(ended) {
		t.Errorf("end of the limit: %v, %t; want %v", at, ok, ended)
	}
	if u.RecordReportedLimit(0.1, ended.Add(-time.Millisecond)) {
		t.Error("an old report brought the limit back")
	}
}

// Guards against a limit whose time begins when the first request asks for it: a process that
// had long known the limit and sent nothing refused that request (TestRandomDays/910273).
func TestLimitRunsBeforeItIsAskedFor(t *testing.T) {
	const gateways, perSecond, plays = 3, 4.6, 50
	named := time.Unix(1000, 0)
	asked := named.Add(13 * time.Second)
	refused := 0
	for range plays {
		var own, reported Upstream
		own.RecordLimit(perSecond, true, named)
		reported.RecordReportedLimit(perSecond, named)
		for _, u := range []*Upstream{&own, &reported} {
			if !u.TakeLimit(1, gateways, asked) {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d first requests, 13 s after a limit of %v requests/s was named, were refused", refused, 2*plays, perSecond)
	}
}
