package gateway

import (
	"testing"
	"time"
)

// TestPrefillBacklogShrinks guards against prompts of other gateways that count as
// waiting long after the engine has processed them. Their senders report that a
// prompt is done with their next report, which may take a second; engines that seem
// busy for that time stay idle.
func TestPrefillBacklogShrinks(t *testing.T) {
	const rate = 30_000.0
	start := time.Unix(1000, 0)
	var b prefillBacklog
	b.report("a", 3000, rate, start)
	b.report("b", 6000, rate, start)
	if b.tokens != 9000 {
		t.Fatalf("backlog of %.0f tokens, want 9000", b.tokens)
	}
	b.drain(rate, start.Add(200*time.Millisecond))
	if b.tokens != 3000 {
		t.Errorf("backlog of %.0f tokens after 200 ms, want 3000", b.tokens)
	}
	b.drain(rate, start.Add(time.Second))
	if b.tokens != 0 {
		t.Errorf("backlog of %.0f tokens after a second, want none", b.tokens)
	}
}

// TestPrefillBacklogFollowsReports guards against prompts that are counted twice, and
// against prompts that stay counted although all senders say that they are done.
func TestPrefillBacklogFollowsReports(t *testing.T) {
	const rate = 30_000.0
	start := time.Unix(1000, 0)
	var b prefillBacklog
	b.report("a", 3000, rate, start)
	b.report("a", 3000, rate, start)
	if b.tokens != 3000 {
		t.Errorf("backlog of %.0f tokens after the same report twice, want 3000", b.tokens)
	}
	b.report("a", 5000, rate, start.Add(100*time.Millisecond))
	if b.tokens != 2000 {
		t.Errorf("backlog of %.0f tokens, want the 2000 that were added after 100 ms", b.tokens)
	}
	b.report("a", 0, rate, start.Add(100*time.Millisecond))
	if b.tokens != 0 || len(b.reported) != 0 {
		t.Errorf("backlog of %.0f tokens of %d peers after the last prompt, want none", b.tokens, len(b.reported))
	}
}
