package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// watchlistFixture is a watchlist with a simulated clock and instance list.
type watchlistFixture struct {
	*Watchlist
	now    time.Time
	listed map[Process]bool
}

func newWatchlistFixture() *watchlistFixture {
	return &watchlistFixture{Watchlist: NewWatchlist(), now: time.Unix(1000, 0), listed: make(map[Process]bool)}
}

func (s *watchlistFixture) newProcess(n int) Process {
	process := Process{Upstream: fmt.Sprintf("m%d", n), Incarnation: 7}
	s.listed[process] = true
	return process
}

// crash interrupts a run at a new upstream and then removes the upstream from the
// instance list.
func (s *watchlistFixture) crash(f Fingerprint, n int) {
	process := s.newProcess(n)
	s.RecordInterruption(f, process, s.now)
	s.listed[process] = false
}

func (s *watchlistFixture) advance(d time.Duration) []Suspension {
	s.now = s.now.Add(d)
	return s.Settle(s.now, time.Unix(1, 0), func(process Process) bool { return s.listed[process] })
}

func (s *watchlistFixture) suspended(f Fingerprint) bool {
	_, held := s.Suspended(f, s.now)
	return held
}

// Guards against a request that crashes one upstream after the other. It must be
// refused after three confirmed crashes, and other requests must not be.
func TestThirdCrashSuspends(t *testing.T) {
	s := newWatchlistFixture()
	bad, good := FingerprintOf([]byte("bad")), FingerprintOf([]byte("good"))
	for n := 1; n <= 3; n++ {
		if s.suspended(bad) {
			t.Fatalf("suspended after %d crashes", n-1)
		}
		s.crash(bad, n)
		s.advance(time.Second)
	}
	if !s.suspended(bad) || s.suspended(good) {
		t.Errorf("suspended: bad %v, good %v; want true, false", s.suspended(bad), s.suspended(good))
	}
}

// Guards against refusing a harmless request because connections were reset.
// Interruptions at upstreams that stay in the instance list must not count for
// longer than confirmTimeout.
func TestResetsDoNotSuspend(t *testing.T) {
	s := newWatchlistFixture()
	f := FingerprintOf([]byte("lookup"))
	for n := 1; n <= 4; n++ {
		s.RecordInterruption(f, s.newProcess(n), s.now)
	}
	if got := s.advance(confirmTimeout + time.Second); len(got) > 0 || s.suspended(f) {
		t.Errorf("request suspended after connection resets; new suspensions: %v", got)
	}
}

// Guards against refusing a frequent request that was running on upstreams that
// crashed for other reasons. Each completion between the crashes clears it.
func TestSuccessClears(t *testing.T) {
	s := newWatchlistFixture()
	f := FingerprintOf([]byte("popular"))
	for n := 1; n <= 5; n++ {
		s.crash(f, n)
		s.advance(time.Second)
		s.RecordCompletion(f, s.now)
		if s.suspended(f) {
			t.Fatalf("suspended after crash %d although the request completed after each crash", n)
		}
	}
}

// Guards against counting one crash several times, because of a retry that was
// interrupted at the same process of an upstream or a notice that was sent
// repeatedly.
func TestOneCrashCountsOnce(t *testing.T) {
	s, other := newWatchlistFixture(), newWatchlistFixture()
	f := FingerprintOf([]byte("x"))
	for range 5 {
		s.crash(f, 1)
		other.AddNotices(s.DueNotices(s.now), s.now)
		s.advance(noticeInterval)
	}
	if s.suspended(f) || other.suspended(f) {
		t.Error("the request is suspended after a single crash")
	}
	s.RecordCompletion(f, s.now)
	other.AddNotices(s.DueNotices(s.now), s.now)
	s.crash(f, 1)
	if notices := s.DueNotices(s.now); len(notices) > 0 {
		t.Errorf("notices %v for a crash that was already cleared; want none", notices)
	}
}

// Guards against a request that moves from gateway to gateway. Each gateway sees one
// crash, and together they must count three even if the first message is lost.
func TestCrashesAreShared(t *testing.T) {
	f := FingerprintOf([]byte("round"))
	gateways := []*watchlistFixture{newWatchlistFixture(), newWatchlistFixture(), newWatchlistFixture()}
	for i, g := range gateways {
		g.crash(f, i+1)
		for process := range g.listed {
			for _, o := range gateways {
				o.listed[process] = false
			}
		}
	}
	for round := range noticeRepeats {
		for _, g := range gateways {
			notices := g.DueNotices(g.now)
			if round == 0 {
				continue // the first message is lost
			}
			for _, o := range gateways {
				if o != g {
					o.AddNotices(notices, o.now)
				}
			}
		}
		for _, g := range gateways {
			g.advance(noticeInterval)
		}
	}
	for i, g := range gateways {
		if !g.suspended(f) {
			t.Errorf("gateway %d does not suspend the request", i)
		}
		if notices := g.DueNotices(g.now); len(notices) > 0 {
			t.Errorf("gateway %d still sends notices after all repeats: %v", i, notices)
		}
	}
}

// Guards against clearing interruptions by an instance list that cannot be read.
// While the store is unavailable, the list does not prove that an upstream is alive,
// so the interruptions must continue to count.
func TestNothingIsSettledWithoutInstanceList(t *testing.T) {
	s := newWatchlistFixture()
	f := FingerprintOf([]byte("outage"))
	for n := 1; n <= 3; n++ {
		s.RecordInterruption(f, s.newProcess(n), s.now)
		s.now = s.now.Add(confirmTimeout)
		s.Settle(s.now, time.Time{}, func(Process) bool { return true })
	}
	// Upstreams that crashed during the outage are still in the list when it becomes
	// readable again.
	s.Settle(s.now, s.now, func(Process) bool { return true })
	if !s.suspended(f) {
		t.Error("interruptions were cleared while the instance list was unreadable")
	}
}

// Guards against a suspension that never ends, and against one that ends although
// the request is still being received.
func TestSuspensionEnds(t *testing.T) {
	s := newWatchlistFixture()
	f := FingerprintOf([]byte("late"))
	s.AddSuspension(f, s.now)
	for range 3 {
		s.advance(SuspensionDuration - time.Second)
		if !s.suspended(f) {
			t.Fatal("the suspension ended although the request was still being received")
		}
	}
	s.advance(SuspensionDuration + time.Second)
	if s.suspended(f) {
		t.Error("the request is still suspended after SuspensionDuration")
	}
	s.advance(watchRetention + time.Second)
	if !s.Empty() {
		t.Error("the request is still watched after watchRetention")
	}
}

// Guards against memory that grows with each interrupted request.
func TestWatchlistIsBounded(t *testing.T) {
	s := newWatchlistFixture()
	for i := range maxWatched + 100 {
		s.RecordInterruption(FingerprintOf([]byte(fmt.Sprint(i))), s.newProcess(1), s.now)
	}
	if n := s.size.Load(); n != maxWatched {
		t.Errorf("%d fingerprints in memory; want %d", n, maxWatched)
	}
	if n := len(s.DueNotices(s.now)); n != maxNoticesPerMessage {
		t.Errorf("%d notices in one message; want %d", n, maxNoticesPerMessage)
	}
}

// Guards against equal fingerprints of requests whose parts have the same
// concatenation.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	if FingerprintOf([]byte("ab"), []byte("c")) == FingerprintOf([]byte("a"), []byte("bc")) {
		t.Error("different parts have equal fingerprints")
	}
}
