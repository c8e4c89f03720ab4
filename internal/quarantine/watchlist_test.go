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
	s.RecordInterruption([]Fingerprint{f}, process, s.now)
	s.listed[process] = false
}

func (s *watchlistFixture) advance(d time.Duration) []Suspension {
	s.now = s.now.Add(d)
	return s.Settle(s.now, time.Unix(1, 0), func(process Process) bool { return s.listed[process] })
}

func (s *watchlistFixture) suspended(f Fingerprint) bool {
	return s.Suspended([]Fingerprint{f}, s.now) != nil
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
		s.RecordInterruption([]Fingerprint{f}, s.newProcess(n), s.now)
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
		s.RecordInterruption([]Fingerprint{f}, s.newProcess(n), s.now)
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
	s.AddSuspension(Suspension{Subjects: []Fingerprint{f}}, s.now)
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
		s.RecordInterruption([]Fingerprint{FingerprintOf([]byte(fmt.Sprint(i)))}, s.newProcess(1), s.now)
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

// crashAll interrupts a run with the given subjects at a new upstream, which then
// leaves the instance list, and advances the clock by a second.
func (s *watchlistFixture) crashAll(n int, subjects ...Fingerprint) []Suspension {
	process := s.newProcess(n)
	s.RecordInterruption(subjects, process, s.now)
	s.listed[process] = false
	return s.advance(time.Second)
}

func (s *watchlistFixture) allowed(subjects ...Fingerprint) bool {
	return s.Suspended(subjects, s.now) == nil
}

func request(n int) Fingerprint { return FingerprintOf([]byte(fmt.Sprint("request ", n))) }

// Guards against requests that are no two alike and crash upstreams because of a part
// that they share. Requests without the part must run.
func TestThirdCrashSuspendsPart(t *testing.T) {
	s := newWatchlistFixture()
	first, bad := PartFingerprint("m", "first"), PartFingerprint("m", "bad")
	for n := 1; n <= 3; n++ {
		if !s.allowed(first, bad, request(n)) {
			t.Fatalf("refused after %d crashes", n-1)
		}
		s.crashAll(n, first, bad, request(n))
		s.RecordSound([]Fingerprint{first}, s.now)
	}
	if s.allowed(first, bad, request(9)) {
		t.Error("a request with the part still runs")
	}
	if !s.allowed(first, request(9)) || !s.allowed(PartFingerprint("n", "bad"), request(9)) {
		t.Error("a request without the part, or with the part of another model, is refused")
	}
}

// Guards against blaming a sound part that all crashed requests share: until a run
// shows which part is sound, only requests with all of them are refused.
func TestPartsThatCrashTogetherAreRefusedTogether(t *testing.T) {
	s := newWatchlistFixture()
	first, client, bad := PartFingerprint("m", "first"), PartFingerprint("m", "client"), PartFingerprint("m", "bad")
	for n := 1; n <= 3; n++ {
		s.crashAll(n, first, client, bad, request(n))
	}
	if s.allowed(first, client, bad, request(9)) || !s.allowed(first, client, request(9)) {
		t.Error("want requests with all parts refused, and others allowed")
	}
	for n := 11; n <= 12; n++ {
		s.crashAll(n, PartFingerprint("m", "other"), bad, request(n))
	}
	if s.allowed(PartFingerprint("m", "other"), bad, request(19)) {
		t.Error("the part runs although it crashed upstreams without the others")
	}
	if !s.allowed(first, client, request(9)) {
		t.Error("the sound parts are refused")
	}
}

// Guards against blaming a popular part for upstreams that end at the same moment.
func TestSimultaneousCrashesCountOnceAgainstPart(t *testing.T) {
	s := newWatchlistFixture()
	first := PartFingerprint("m", "first")
	for n := 1; n <= 6; n++ {
		process := s.newProcess(n)
		s.RecordInterruption([]Fingerprint{first, request(n)}, process, s.now)
		s.listed[process] = false
	}
	if got := s.advance(time.Second); len(got) > 0 || !s.allowed(first, request(9)) {
		t.Errorf("part suspended after one moment: %v", got)
	}
}

// Guards against a part that is never tried again, and against one that crashes three
// more upstreams each time.
func TestPartIsTriedAgain(t *testing.T) {
	s := newWatchlistFixture()
	bad := PartFingerprint("m", "bad")
	for n := 1; n <= 3; n++ {
		s.crashAll(n, bad, request(n))
	}
	for range 9 {
		s.advance(time.Minute)
		if s.allowed(bad, request(9)) {
			t.Fatal("the suspension ended too early")
		}
	}
	s.advance(time.Minute)
	if !s.allowed(bad, request(9)) {
		t.Error("the part is not tried again")
	}
	s.crashAll(4, bad, request(9))
	if s.allowed(bad, request(10)) {
		t.Error("the part runs again after a crash when it was tried")
	}
}

// Guards against a lift by the operator that the next check undoes.
func TestLiftEndsSuspension(t *testing.T) {
	s := newWatchlistFixture()
	first, bad := PartFingerprint("m", "first"), PartFingerprint("m", "bad")
	for n := 1; n <= 3; n++ {
		s.crashAll(n, first, bad, request(n))
	}
	if !s.Lift(bad, s.now) || s.Lift(PartFingerprint("m", "other"), s.now) {
		t.Error("Lift reports the wrong result")
	}
	if got := s.advance(time.Second); len(got) > 0 || !s.allowed(first, bad, request(9)) {
		t.Errorf("still suspended after the lift: %v", got)
	}
}

// Guards against a flood of interrupted requests that keeps a new part from being
// watched.
func TestWatchlistForgetsOldest(t *testing.T) {
	s := newWatchlistFixture()
	for i := range maxWatched {
		s.RecordInterruption([]Fingerprint{request(i)}, s.newProcess(1), s.now)
	}
	s.now = s.now.Add(time.Second)
	bad := PartFingerprint("m", "bad")
	for n := 1; n <= 3; n++ {
		s.crashAll(n, bad, request(-n))
	}
	if s.allowed(bad, request(-9)) {
		t.Error("the part is not watched")
	}
}
