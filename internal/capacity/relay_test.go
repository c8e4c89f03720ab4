package capacity

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
)

// propagationLimit is the time within which a change must reach every process.
const propagationLimit = 9 * time.Second

// withFleet calls test with a running fleet in which all processes have the initial
// configuration.
func withFleet(t *testing.T, n, domains, callers int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, domains, callers)
		time.Sleep(listDelay)
		f.startAll()
		defer f.close()
		f.waitForRevision(1, 30*time.Second)
		test(t, f)
	})
}

// Guards against a ticket that does not reach some process, against watches of the
// key-value service by every process, and against too many calls to that service.
func TestTicketReachesAllProcesses(t *testing.T) {
	withFleet(t, 60, 5, 500, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		stop := f.startKVRates()
		for number := 2; number < 5; number++ {
			f.applyTicket(changeTicket(number))
			f.waitForRevision(uint64(number), propagationLimit)
			time.Sleep(10 * time.Second)
		}
		// Every 1.7 s, each of the 10 watchers makes one call for the configuration,
		// and each of the 10 watchers and 7 entries makes two calls for the quarantine
		// record as long as it does not exist. If all 60 processes watched, one key
		// alone would take 35 calls/s or more.
		if r := stop(); r.mean > 30 {
			t.Errorf("%.1f calls/s to the key-value service in steady state, want at most 30", r.mean)
		}
	})
}

// Guards against a cold start that needs the key-value service, and against a cold
// start with an older configuration than that of the peers.
func TestColdStartFromPeers(t *testing.T) {
	withFleet(t, 30, 3, 200, func(t *testing.T, f *fleet) {
		f.applyTicket(changeTicket(2))
		f.waitForRevision(2, propagationLimit)
		f.kv.StartOutage(0)
		for _, p := range f.processes[:20] {
			p.stop()
			p.start()
		}
		f.waitForRevision(2, propagationLimit)
		f.kv.EndOutage()
		f.applyTicket(changeTicket(3))
		f.waitForRevision(3, propagationLimit)
	})
}

// Guards against a simultaneous restart of all processes that exceeds the rate limits
// of the key-value service, both when the instance list still contains the previous
// incarnations and when it is empty.
func TestRestartOfAllStaysWithinRates(t *testing.T) {
	for _, listed := range []bool{true, false} {
		withFleet(t, 100, 10, 4000, func(t *testing.T, f *fleet) {
			f.stopAll()
			if !listed {
				for _, p := range f.processes {
					f.list.Remove(p.name)
				}
				time.Sleep(listDelay + time.Second)
			}
			stop := f.startKVRates()
			f.startAll()
			for _, p := range f.processes {
				f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: p.incarnation})
			}
			f.waitForRevision(1, 2*time.Minute)
			if r := stop(); r.peak > 2000 || r.peakWrites > 0 {
				t.Errorf("old incarnations listed %t: peak of %.0f calls/s and %.0f writes/s, want at most 2000 and 0", listed, r.peak, r.peakWrites)
			}
			// 20 of the 100 processes are watchers. When processes that were still
			// starting did not count as watchers, all 100 called the service.
			if n := f.kvCallerCount(); listed && n > 25 {
				t.Errorf("%d of 100 processes called the key-value service, want at most 25", n)
			}
		})
	}
}

// Guards against a process that keeps an old configuration after a network partition
// of an hour, and against members that stay suspect, or reappear after their removal,
// when the partition ends.
func TestCatchUpAfterAnHourOfPartition(t *testing.T) {
	withFleet(t, 8, 4, 50, func(t *testing.T, f *fleet) {
		time.Sleep(listDelay)
		// The processes of the first region reach neither the platform services nor
		// the other regions.
		f.partition(func(address string) int {
			if strings.HasPrefix(address, "process-") && int(address[len("process-0000")]-'0')%4 == 0 {
				return 1
			}
			return 0
		})
		f.applyTicket(changeTicket(2))
		removed := f.processes[1]
		removed.stop()
		f.list.Remove(removed.name)
		time.Sleep(time.Hour)
		if got := f.processes[0].holder.Revision(); got != 1 {
			t.Fatalf("the partitioned process has configuration revision %d, want 1", got)
		}
		f.partition(nil)
		f.processes[1] = f.processes[2]
		f.waitForRevision(2, propagationLimit)
		time.Sleep(2 * time.Minute)
		for _, p := range f.processes {
			for _, m := range p.table.Members() {
				if m.Name == removed.name || m.State != membership.Serving {
					t.Errorf("process %s sees %s as %s", p.name, m.Name, m.State)
				}
			}
		}
	})
}

// Guards against a quarantine that is known only to the few processes that read it
// from the key-value service.
func TestQuarantineReachesAllProcesses(t *testing.T) {
	withFleet(t, 60, 5, 50, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		fingerprint := quarantine.Fingerprint{1}
		f.processes[0].quarantine.ReportCrash(fingerprint, "u1")
		f.processes[9].quarantine.ReportCrash(fingerprint, "u2")
		time.Sleep(propagationLimit)
		for _, p := range f.processes {
			if v := p.quarantine.Status(fingerprint); v != quarantine.Quarantined {
				t.Errorf("process %s has quarantine status %d", p.name, v)
			}
		}
	})
}

// Guards against new work for a process that is leaving while the instance list does
// not update: its peers must learn of the state from each other.
func TestLeavingStatePropagatesWhileListIsStale(t *testing.T) {
	withFleet(t, 60, 5, 50, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.list.Freeze(0)
		leaving := f.processes[7]
		leaving.setState(membership.Leaving)
		leaving.relay.Announce(t.Context())
		time.Sleep(10 * time.Second)
		for _, p := range f.processes {
			for _, m := range p.table.Members() {
				if m.Name == leaving.name && m.State != membership.Leaving && p != leaving {
					t.Errorf("process %s sees %s as %s", p.name, m.Name, m.State)
				}
			}
		}
	})
}
