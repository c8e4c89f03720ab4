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

const propagationLimit = 9 * time.Second

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

// Guards against a ticket that some process misses, against watches by every
// process, and against calls above the service's rates.
func TestTicketReachesAllProcesses(t *testing.T) {
	withFleet(t, 60, 5, 500, func(t *testing.T, f *fleet) {
		time.Sleep(10 * time.Second)
		stop := f.startKVRates()
		for number := 2; number < 5; number++ {
			f.applyTicket(changeTicket(number))
			f.waitForRevision(uint64(number), propagationLimit)
			time.Sleep(10 * time.Second)
		}
		// Every 1.7 s 10 watchers make one call for the configuration, and they and
		// 7 entries make two for the quarantine record while it does not exist.
		// 60 watches by everyone would be 35 calls/s or more for one key alone.
		if r := stop(); r.mean > 30 {
			t.Errorf("%.1f calls/s in steady state, want at most 30", r.mean)
		}
	})
}

// Guards against a cold start that needs the key-value service, and against one
// that takes an older configuration than peers have.
func TestColdStartFromPeers(t *testing.T) {
	withFleet(t, 30, 3, 200, func(t *testing.T, f *fleet) {
		f.applyTicket(changeTicket(2))
		f.waitForRevision(2, propagationLimit)
		f.kv.Down(0)
		for _, p := range f.processes[:20] {
			p.stop()
			p.start()
		}
		f.waitForRevision(2, propagationLimit)
		f.kv.Up()
		f.applyTicket(changeTicket(3))
		f.waitForRevision(3, propagationLimit)
	})
}

// Guards against a restart of all processes at once that exceeds the rates of
// the key-value service, also when the list still shows the old processes or nobody.
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
				t.Errorf("listed %t: peak of %.0f calls/s and %.0f writes/s", listed, r.peak, r.peakWrites)
			}
			// 20 of 100 processes are watchers. All 100 called when those that
			// were still starting did not count as watchers.
			if n := f.kvCallerCount(); listed && n > 25 {
				t.Errorf("%d of 100 processes called the service", n)
			}
		})
	}
}

// Guards against a process that stays behind after an hour of partition, and
// against members that stay suspect or come back from the dead after it.
func TestCatchUpAfterAnHourOfPartition(t *testing.T) {
	withFleet(t, 8, 4, 50, func(t *testing.T, f *fleet) {
		time.Sleep(listDelay)
		// The first region reaches neither the platform nor the others.
		f.partition(func(address string) int {
			if strings.HasPrefix(address, "process-") && int(address[len("process-0000")]-'0')%4 == 0 {
				return 1
			}
			return 0
		})
		f.applyTicket(changeTicket(2))
		gone := f.processes[1]
		gone.stop()
		f.list.Remove(gone.name)
		time.Sleep(time.Hour)
		if got := f.processes[0].holder.Revision(); got != 1 {
			t.Fatalf("the partition does not hold: revision %d", got)
		}
		f.partition(nil)
		f.processes[1] = f.processes[2]
		f.waitForRevision(2, propagationLimit)
		time.Sleep(2 * time.Minute)
		for _, p := range f.processes {
			for _, m := range p.table.Members() {
				if m.Name == gone.name || m.State != membership.Serving {
					t.Errorf("%s sees %s as %s", p.name, m.Name, m.State)
				}
			}
		}
	})
}

// Guards against a process that learns of a quarantined request only by the
// key-value service, of which few processes hear.
func TestQuarantineReachesAllProcesses(t *testing.T) {
	withFleet(t, 60, 5, 50, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		fingerprint := quarantine.Fingerprint{1}
		f.processes[0].quarantine.ReportCrash(fingerprint, "u1")
		f.processes[9].quarantine.ReportCrash(fingerprint, "u2")
		time.Sleep(propagationLimit)
		for _, p := range f.processes {
			if v := p.quarantine.Status(fingerprint); v != quarantine.Quarantined {
				t.Errorf("%s has verdict %d", p.name, v)
			}
		}
	})
}

// Guards against work for a process that leaves while the list is stuck.
func TestLeavingStatePropagatesWhileListIsStale(t *testing.T) {
	withFleet(t, 60, 5, 50, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		f.list.Stick(0)
		leaving := f.processes[7]
		leaving.setState(membership.Leaving)
		leaving.relay.Announce(t.Context())
		time.Sleep(10 * time.Second)
		for _, p := range f.processes {
			for _, m := range p.table.Members() {
				if m.Name == leaving.name && m.State != membership.Leaving && p != leaving {
					t.Errorf("%s sees %s as %s", p.name, m.Name, m.State)
				}
			}
		}
	})
}
