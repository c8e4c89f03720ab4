package telemetry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// TestRateLimitedLoggerCountsDroppedLines guards against a flood of log lines of one kind,
// and against dropped lines that are not counted.
func TestRateLimitedLoggerCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		logger := NewRateLimitedLogger(log.New(&out))
		for range 80 {
			logger.Log(log.WarnLevel, "refused", "refused request")
		}
		logger.Log(log.WarnLevel, "other", "another kind")
		time.Sleep(time.Second)
		logger.Log(log.WarnLevel, "refused", "refused request")
		if n := strings.Count(out.String(), "refused request"); n != lineBurst+1 {
			t.Errorf("%d lines, want %d", n, lineBurst+1)
		}
		if !strings.Contains(out.String(), "left_out=30") || !strings.Contains(out.String(), "another kind") {
			t.Errorf("the output does not tell how many lines were dropped, or lacks the other kind:\n%s", out.String())
		}
	})
}

// TestFlightRecorderEvictsOldestRequests guards against a flight recorder that grows
// without bound.
func TestFlightRecorderEvictsOldestRequests(t *testing.T) {
	recorder := NewFlightRecorder(recorderShards)
	for i := range 1000 {
		recorder.Record(string(rune('a'+i%26))+time.Duration(i).String(), Event{Kind: "x"})
	}
	total := 0
	for i := range recorder.shards {
		total += len(recorder.shards[i].events)
	}
	if total > recorderShards {
		t.Errorf("%d requests are kept, want at most %d", total, recorderShards)
	}
}
