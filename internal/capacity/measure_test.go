package capacity

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
)

// measure enables the measurements, which take long. Their processor times depend on
// the machine, so no test checks the values.
var measure = flag.Int("measure", 0, "number of processes of the fleet to measure; the results are written to testdata/measured.json")

// configuredCallers is the number of callers in the configuration of the fleet. The
// names of the series contain it if it differs from defaultCallers.
var configuredCallers = flag.Int("callers", defaultCallers, "number of callers in the configuration of the measured fleet")

// phases selects the phases to measure. A large fleet needs several runs with
// different phases.
var phases = flag.String("phases", "steady,churn,ticket,outage,restart,loss", "phases to measure after the first start")

const (
	targetProcesses = 4940
	defaultCallers  = 2000
	// ticketSpacing is the length of the intervals with and without a ticket whose costs
	// the ticket phase compares.
	ticketSpacing = 10 * time.Second
	// largeFleet is the number of processes from which phases are shortened, so that
	// a run ends within 100 s.
	largeFleet = 500
)

// steadyDuration returns the length of the steady phase.
func (f *fleet) steadyDuration() time.Duration {
	if len(f.processes) >= largeFleet {
		return 30 * time.Second
	}
	return time.Minute
}

// ticketCount returns the number of configuration changes (tickets) that the ticket
// phase applies.
func (f *fleet) ticketCount() int {
	if len(f.processes) >= largeFleet {
		return 2
	}
	return 4
}

// controlCosts are the cumulative costs of the control traffic of a fleet.
type controlCosts struct {
	at                     time.Time
	bytes, dials, messages int64
	cpu                    time.Duration
}

func (f *fleet) readCosts() controlCosts {
	costs := controlCosts{at: time.Now(), cpu: cpuTime()}
	for _, p := range f.processes {
		s := p.relay.State()
		// A process counts only the calls that it makes. Twice the sum gives the
		// bytes at both ends.
		costs.bytes += 2 * (p.pastBytes + p.traffic.Sent.Load() + p.traffic.Received.Load())
		costs.dials += p.traffic.Dials.Load()
		costs.messages += s.Exchanges + s.Fetches
	}
	return costs
}

// cpuTime returns the processor time that the test process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile returns a quantile in seconds. It sorts the durations.
func quantile(durations []time.Duration, q float64) float64 {
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))].Seconds()
}

// recorder adds the results of one fleet size to the measurements.
type recorder struct {
	measurements *Measurements
	size         float64
	command      string
}

func (r *recorder) add(name, unit string, scale Scale, y float64) {
	if *configuredCallers != defaultCallers {
		name += fmt.Sprintf(" (%d callers)", *configuredCallers)
	}
	r.measurements.Add(Series{Name: name, Unit: unit, Per: "processes", Scale: scale, Target: targetProcesses, Command: r.command}, r.size, y)
	fmt.Printf("%-60s %8.0f: %.4g %s\n", name, r.size, y, unit)
}

// TestMeasureFleet measures a fleet of -measure processes and saves the results.
// Without -measure it runs a fleet of 10 and saves nothing, which guards against
// measurement code that no longer works.
func TestMeasureFleet(t *testing.T) {
	n := *measure
	if n == 0 {
		n = 10
	}
	m, err := Load(measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{measurements: m, size: float64(n), command: "`go test ./internal/capacity -run TestMeasureFleet -measure N`"}
	domains := max(2, min(20, n/5))
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, domains, *configuredCallers)
		defer f.close()
		time.Sleep(listDelay)
		measureStart(f, r, "first start")
		for _, phase := range []struct {
			name string
			run  func(*fleet, *recorder)
		}{{"steady", measureSteady}, {"churn", measureChurn}, {"ticket", measureTickets}, {"outage", measureOutage}, {"restart", measureRestart}, {"loss", measureLoss}} {
			if strings.Contains(*phases, phase.name) {
				phase.run(f, r)
			}
		}
	})
	if *measure > 0 && !t.Failed() {
		if err := m.Save(measuredFile); err != nil {
			t.Fatal(err)
		}
	}
}

// measureStart starts all processes and measures the time until each has the first
// configuration revision and the peak rate of calls to the key-value service.
func measureStart(f *fleet, r *recorder, name string) {
	stop := f.startKVRates()
	f.startAll()
	delays := f.waitForRevision(1, 3*time.Minute)
	time.Sleep(time.Second)
	rates := stop()
	r.add(name+": time until all are ready, max", "s", Log, quantile(delays, 1))
	r.add(name+": peak calls to the key-value service", "1/s", Saturating, rates.peak)
	time.Sleep(30 * time.Second)
}

// measureSteady measures the fleet without changes.
func measureSteady(f *fleet, r *recorder) {
	stop := f.startKVRates()
	before := f.readCosts()
	reads := f.listReads()
	time.Sleep(f.steadyDuration())
	after, rates := f.readCosts(), stop()
	seconds, n := after.at.Sub(before.at).Seconds(), r.size
	r.add("steady: control bytes per process, both ends", "B/s", Log, float64(after.bytes-before.bytes)/n/seconds)
	r.add("steady: processor time per process", "share of a core", Linear, (after.cpu-before.cpu).Seconds()/n/seconds)
	r.add("steady: messages begun per process", "1/s", Constant, float64(after.messages-before.messages)/n/seconds)
	r.add("steady: connections opened per process", "1/s", Constant, float64(after.dials-before.dials)/n/seconds)
	r.add("steady: calls to the key-value service", "1/s", Saturating, rates.mean)
	r.add("steady: reads of the list, whole fleet", "1/s", Saturating, float64(f.listReads()-reads)/seconds)
}

// listReads returns how often the current incarnations of all processes together have
// read the instance list.
func (f *fleet) listReads() int64 {
	var n int64
	for _, p := range f.processes {
		n += p.poller.Reads()
	}
	return n
}

// measureTickets measures how long tickets take to reach every process, and the
// messages and bytes that they add to those of the steady state.
func measureTickets(f *fleet, r *recorder) {
	var delays []time.Duration
	var messages, bytes int64
	for i := range f.ticketCount() {
		time.Sleep(ticketSpacing)
		before := f.readCosts()
		time.Sleep(ticketSpacing)
		middle := f.readCosts()
		done := make(chan []time.Duration)
		go func() { done <- f.waitForRevision(uint64(i+2), propagationLimit) }()
		synctest.Wait()
		f.applyTicket(changeTicket(i + 2))
		delays = append(delays, <-done...)
		time.Sleep(time.Until(middle.at.Add(ticketSpacing)))
		after := f.readCosts()
		messages += (after.messages - middle.messages) - (middle.messages - before.messages)
		bytes += (after.bytes - middle.bytes) - (middle.bytes - before.bytes)
	}
	r.add("ticket: in force, p50", "s", Log, quantile(delays, 0.5))
	r.add("ticket: in force, p99", "s", Log, quantile(delays, 0.99))
	r.add("ticket: in force, max", "s", Log, quantile(delays, 1))
	r.add("ticket: additional messages per process", "1", Log, float64(messages)/float64(f.ticketCount())/r.size)
	r.add("ticket: additional bytes per process, both ends", "B", Log, float64(bytes)/float64(f.ticketCount())/r.size)
}

// measureChurn restarts processes one after the other and measures the bytes that
// this adds to those of the steady state.
func measureChurn(f *fleet, r *recorder) {
	const restarts, spacing = 8, 5 * time.Second
	before := f.readCosts()
	time.Sleep(restarts * spacing)
	middle := f.readCosts()
	for i := range restarts {
		p := f.processes[len(f.processes)*i/restarts]
		p.stop()
		p.start()
		f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: p.incarnation})
		time.Sleep(spacing)
	}
	after := f.readCosts()
	// The bytes include those of the starting process itself. Their part shrinks as
	// the fleet grows.
	bytes := (after.bytes - middle.bytes) - (middle.bytes - before.bytes)
	r.add("churn: additional bytes per process and restart, both ends", "B", Saturating, float64(bytes)/restarts/r.size)
}

// measureOutage measures the calls to the key-value service during and after its outage.
func measureOutage(f *fleet, r *recorder) {
	stop := f.startKVRates()
	f.kv.StartOutage(0)
	time.Sleep(30 * time.Second)
	down := stop()
	stop = f.startKVRates()
	f.kv.EndOutage()
	time.Sleep(10 * time.Second)
	up := stop()
	r.add("outage of the key-value service: peak calls while down", "1/s", Saturating, down.peak)
	r.add("outage of the key-value service: peak calls in the 10 s after", "1/s", Saturating, up.peak)
}

// measureRestart measures a simultaneous restart of all processes.
func measureRestart(f *fleet, r *recorder) {
	f.stopAll()
	stop := f.startKVRates()
	before := f.readCosts()
	f.startAll()
	for _, p := range f.processes {
		f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: p.incarnation})
	}
	delays := f.waitForRevision(1, 3*time.Minute)
	ready := time.Now()
	r.add("restart of all: time until 99% of all views are right", "s", Log, f.waitForViews(0.99, ready))
	allViews := 0.0
	if r.size < largeFleet {
		allViews = f.waitForViews(1, ready)
	}
	rates, after := stop(), f.readCosts()
	r.add("restart of all: time until all are ready, max", "s", Log, quantile(delays, 1))
	r.add("restart of all: peak calls to the key-value service", "1/s", Saturating, rates.peak)
	r.add("restart of all: peak writes to the key-value service", "1/s", Saturating, rates.peakWrites)
	r.add("restart of all: processor time per process until then", "s", Linear, (after.cpu-before.cpu).Seconds()/r.size)
	if r.size < largeFleet {
		r.add("restart of all: time until all views are right", "s", Log, allViews)
	}
}

// measureLoss stops all processes of a failure domain at once and applies a ticket
// before the other processes have detected the loss.
func measureLoss(f *fleet, r *recorder) {
	time.Sleep(30 * time.Second)
	revision := f.processes[0].holder.Revision() + 1
	var remaining []*process
	for _, p := range f.processes {
		if p.domain == f.processes[0].domain {
			p.stop()
		} else {
			remaining = append(remaining, p)
		}
	}
	f.processes = remaining
	stop := f.startKVRates()
	done := make(chan []time.Duration)
	go func() { done <- f.waitForRevision(revision, propagationLimit) }()
	synctest.Wait()
	f.applyTicket(changeTicket(int(revision)))
	delays := <-done
	time.Sleep(20 * time.Second)
	r.add("loss of a failure domain: ticket right after it in force, max", "s", Log, quantile(delays, 1))
	r.add("loss of a failure domain: peak calls to the key-value service", "1/s", Saturating, stop().peak)
}

// waitForViews waits until currentViewRatio reaches the given ratio, for at most
// 300 s after begin, and returns the seconds since begin.
func (f *fleet) waitForViews(ratio float64, begin time.Time) float64 {
	for time.Since(begin) < 300*time.Second && f.currentViewRatio() < ratio {
		time.Sleep(250 * time.Millisecond)
	}
	return time.Since(begin).Seconds()
}

// currentViewRatio returns the fraction of the pairs of processes in which one sees
// the current incarnation of the other as serving.
func (f *fleet) currentViewRatio() float64 {
	current := 0
	for _, p := range f.processes {
		for _, m := range p.table.Members() {
			if m.State == membership.Serving && m.Incarnation == p.incarnation {
				current++
			}
		}
	}
	return float64(current) / float64(len(f.processes)) / float64(len(f.processes))
}

// liveHeapBytes returns the live bytes of the heap. The second collection frees the
// objects that the first one leaves to finalizers and in sync.Pool caches.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
