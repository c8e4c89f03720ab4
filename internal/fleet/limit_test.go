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
