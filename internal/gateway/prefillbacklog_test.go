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
	b.report("a", prefillReport{pending: 3000}, rate, start)
	b.report("b", prefillReport{pending: 6000}, rate, start)
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
	b.report("a", prefillReport{pending: 3000}, rate, start)
	b.report("a", prefillReport{pending: 3000}, rate, start)
	if b.tokens != 3000 {
		t.Errorf("backlog of %.0f tokens after the same report twice, want 3000", b.tokens)
	}
	b.report("a", prefillReport{pending: 5000}, rate, start.Add(100*time.Millisecond))
	if b.tokens != 2000 {
		t.Errorf("backlog of %.0f tokens, want the 2000 that were added after 100 ms", b.tokens)
	}
	b.report("a", prefillReport{}, rate, start.Add(100*time.Millisecond))
	if b.tokens != 0 || len(b.reported) != 0 {
		t.Errorf("backlog of %.0f tokens of %d peers after the last prompt, want none", b.tokens, len(b.reported))
	}
}

// TestPrefillBacklogOfSteadyTraffic guards against an engine that seems idle although
// its queue grows: each report shows as many pending prompts as the last one, because
// a prompt is sent whenever another one is done.
func TestPrefillBacklogOfSteadyTraffic(t *testing.T) {
	const rate, prompt = 30_000.0, 3000
	now := time.Unix(1000, 0)
	var b prefillBacklog
	// Four peers send 40 prompts a second each, which is sixteen times the speed of
	// the engine.
	for i := range 20 {
		for _, peer := range []string{"a", "b", "c", "d"} {
			b.report(peer, prefillReport{pending: 5 * prompt, sent: int64(i+5) * prompt}, rate, now)
		}
		now = now.Add(25 * time.Millisecond)
	}
	b.drain(rate, now)
	if b.tokens < 15*prompt {
		t.Errorf("backlog of %.0f tokens, want at least 15 prompts of the 20 that are pending", b.tokens)
	}
}
