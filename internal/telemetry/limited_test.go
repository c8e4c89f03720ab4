package telemetry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against a flood of equal log lines, and against lines that vanish
// without a trace.
func TestLimitedLogCountsWhatItLeavesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		l := NewRateLimitedLogger(log.New(&out))
		for range 80 {
			l.Log(log.WarnLevel, "refused", "refused request")
		}
		l.Log(log.WarnLevel, "other", "another kind")
		time.Sleep(time.Second)
		l.Log(log.WarnLevel, "refused", "refused request")
		if n := strings.Count(out.String(), "refused request"); n != lineBurst+1 {
			t.Errorf("%d lines, want %d", n, lineBurst+1)
		}
		if !strings.Contains(out.String(), "left_out=30") || !strings.Contains(out.String(), "another kind") {
			t.Errorf("lines left out are not counted:\n%s", out.String())
		}
	})
}

// Guards against a flight log that grows without bound.
func TestFlightLogForgetsTheOldest(t *testing.T) {
	l := NewFlightRecorder(flightLogShards)
	for i := range 1000 {
		l.Record(string(rune('a'+i%26))+time.Duration(i).String(), Event{Kind: "x"})
	}
	total := 0
	for i := range l.shards {
		total += len(l.shards[i].events)
	}
	if total > flightLogShards {
		t.Errorf("%d requests are kept, want at most %d", total, flightLogShards)
	}
}
