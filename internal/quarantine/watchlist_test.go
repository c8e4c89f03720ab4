package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// scene is a watchlist with the upstreams that are on the list.
type scene struct {
	*Watchlist
	now    time.Time
	listed map[Process]bool
}

func newScene() *scene {
	return &scene{Watchlist: NewWatchlist(), now: time.Unix(1000, 0), listed: make(map[Process]bool)}
}

func (s *scene) site(n int) Process {
	at := Process{Upstream: fmt.Sprintf("m%d", n), Incarnation: 7}
	s.listed[at] = true
	return at
}

// crash has a run break off at a new upstream, which then leaves the list.
func (s *scene) crash(f Fingerprint, n int) {
	at := s.site(n)
	s.RecordInterruption(f, at, s.now)
	s.listed[at] = false
}

func (s *scene) pass(d time.Duration) []Suspension {
	s.now = s.now.Add(d)
	return s.Settle(s.now, time.Unix(1, 0), func(at Process) bool { return s.listed[at] })
}

func (s *scene) suspended(f Fingerprint) bool {
	_, held := s.Suspended(f, s.now)
	return held
}

// Guards against a request that crashes one upstream after the other: after
// three that proved to be gone, it is refused, and only it.
func TestThirdCrashSuspends(t *testing.T) {
	s := newScene()
	bad, good := FingerprintOf([]byte("bad")), FingerprintOf([]byte("good"))
	for n := 1; n <= 3; n++ {
		if s.suspended(bad) {
			t.Fatalf("suspended after %d crashes", n-1)
		}
		s.crash(bad, n)
		s.pass(time.Second)
	}
	if !s.suspended(bad) || s.suspended(good) {
		t.Errorf("suspended: bad %v, good %v; want only bad", s.suspended(bad), s.suspended(good))
	}
}

// Guards against refusing a sound request because connections were reset: what
// broke off at upstreams that live on does not count for longer than it takes
// to know that they live.
func TestResetsDoNotSuspend(t *testing.T) {
	s := newScene()
	f := FingerprintOf([]byte("lookup"))
	for n := 1; n <= 4; n++ {
		s.RecordInterruption(f, s.site(n), s.now)
	}
	if got := s.pass(confirmTime + time.Second); len(got) > 0 || s.suspended(f) {
		t.Errorf("suspended %v after resets by upstreams that live", got)
	}
}

// Guards against refusing a popular request that was under way at upstreams
// which crashed for other reasons: it succeeds in between.
func TestSuccessClears(t *testing.T) {
	s := newScene()
	f := FingerprintOf([]byte("popular"))
	for n := 1; n <= 5; n++ {
		s.crash(f, n)
		s.pass(time.Second)
		s.RecordCompletion(f, s.now)
		if s.suspended(f) {
			t.Fatalf("suspended after crash %d although it ran to its end after each", n)
		}
	}
}

// Guards against counting one crash several times: a retry that broke off at the
// same life of an upstream, and notices that are told more than once.
func TestOneCrashCountsOnce(t *testing.T) {
	s, other := newScene(), newScene()
	f := FingerprintOf([]byte("x"))
	for range 5 {
		s.crash(f, 1)
		other.AddNotices(s.DueNotices(s.now), s.now)
		s.pass(tellInterval)
	}
	if s.suspended(f) || other.suspended(f) {
		t.Error("one crash suspended the request")
	}
	s.RecordCompletion(f, s.now)
	other.AddNotices(s.DueNotices(s.now), s.now)
	s.crash(f, 1)
	if news := s.DueNotices(s.now); len(news) > 0 {
		t.Errorf("the cleared crash is told again: %v", news)
	}
}

// Guards against a request that goes round the gateways: each sees one crash,
// and together they know of three. A lost message is made good by the next.
func TestCrashesAreShared(t *testing.T) {
	f := FingerprintOf([]byte("round"))
	gateways := []*scene{newScene(), newScene(), newScene()}
	for i, g := range gateways {
		g.crash(f, i+1)
		for at := range g.listed {
			for _, o := range gateways {
				o.listed[at] = false
			}
		}
	}
	for round := range tellTimes {
		for _, g := range gateways {
			news := g.DueNotices(g.now)
			if round == 0 {
				continue // lost
			}
			for _, o := range gateways {
				if o != g {
					o.AddNotices(news, o.now)
				}
			}
		}
		for _, g := range gateways {
			g.pass(tellInterval)
		}
	}
	for i, g := range gateways {
		if !g.suspended(f) {
			t.Errorf("gateway %d lets the request run", i)
		}
		if news := g.DueNotices(g.now); len(news) > 0 {
			t.Errorf("gateway %d goes on telling: %v", i, news)
		}
	}
}

// Guards against settling by a list that cannot be read: while the store is
// away, no upstream is proved to live, and crashes go on counting.
func TestNothingIsSettledWithoutTheList(t *testing.T) {
	s := newScene()
	f := FingerprintOf([]byte("outage"))
	for n := 1; n <= 3; n++ {
		s.RecordInterruption(f, s.site(n), s.now)
		s.now = s.now.Add(confirmTime)
		s.Settle(s.now, time.Time{}, func(Process) bool { return true })
	}
	// Upstreams that crashed meanwhile are still on the list when it comes back.
	s.Settle(s.now, s.now, func(Process) bool { return true })
	if !s.suspended(f) {
		t.Error("the crashes were forgotten while the list could not be read")
	}
}

// Guards against a suspension that never ends, and against one that ends while
// the request keeps coming.
func TestSuspensionEnds(t *testing.T) {
	s := newScene()
	f := FingerprintOf([]byte("late"))
	s.AddSuspension(f, s.now)
	for range 3 {
		s.pass(SuspensionDuration - time.Second)
		if !s.suspended(f) {
			t.Fatal("the suspension ended although the request kept coming")
		}
	}
	s.pass(SuspensionDuration + time.Second)
	if s.suspended(f) {
		t.Error("still suspended")
	}
	s.pass(watchTime + time.Second)
	if !s.Empty() {
		t.Error("still watched")
	}
}

// Guards against memory that grows with each request that is broken off.
func TestWatchlistIsBounded(t *testing.T) {
	s := newScene()
	for i := range maxWatched + 100 {
		s.RecordInterruption(FingerprintOf([]byte(fmt.Sprint(i))), s.site(1), s.now)
	}
	if n := s.size.Load(); n != maxWatched {
		t.Errorf("%d requests watched; want %d", n, maxWatched)
	}
	if n := len(s.DueNotices(s.now)); n != maxNotices {
		t.Errorf("%d notices in one message; want %d", n, maxNotices)
	}
}

// Guards against equal fingerprints for requests whose parts join alike.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	if FingerprintOf([]byte("ab"), []byte("c")) == FingerprintOf([]byte("a"), []byte("bc")) {
		t.Error("equal fingerprints for different parts")
	}
}
