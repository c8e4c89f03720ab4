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

// measure selects what is measured: the measurements take long and their
// figures of processor time depend on the machine, so no test judges them.
var measure = flag.Int("measure", 0, "processes of a fleet to measure; the figures go into testdata/measured.json")

// callerCount is the number of callers in the configuration of a measured fleet;
// figures with another number than usual get names of their own.
var callerCount = flag.Int("callers", measureCallers, "callers in the configuration of a measured fleet")

// phases of measured fleets; a large fleet takes several runs.
var phases = flag.String("phases", "steady,churn,ticket,outage,restart,loss", "what to measure besides the first start")

const (
	targetProcesses = 4940
	measureCallers  = 2000
	ticketSpacing   = 10 * time.Second
	// largeFleet and above are measured for a shorter time, to end in 100 s.
	largeFleet = 500
)

func (f *fleet) steadyTime() time.Duration {
	if len(f.procs) >= largeFleet {
		return 30 * time.Second
	}
	return time.Minute
}

func (f *fleet) tickets() int {
	if len(f.procs) >= largeFleet {
		return 2
	}
	return 4
}

// gauge is the control cost of a fleet at a moment.
type gauge struct {
	at                     time.Time
	bytes, dials, messages int64
	cpu                    time.Duration
}

func (f *fleet) gauge() gauge {
	g := gauge{at: time.Now(), cpu: processorTime()}
	for _, p := range f.procs {
		s := p.relay.State()
		// A call counts at both of its ends.
		g.bytes += 2 * (p.past + p.traffic.Sent.Load() + p.traffic.Received.Load())
		g.dials += p.traffic.Dials.Load()
		g.messages += s.Exchanges + s.Fetches
	}
	return g
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Seconds()
}

type recorder struct {
	m       *Measurements
	n       float64
	command string
}

func (r *recorder) add(name, unit string, scale Scale, y float64) {
	if *callerCount != measureCallers {
		name += fmt.Sprintf(" (%d callers)", *callerCount)
	}
	r.m.Add(Series{Name: name, Unit: unit, Per: "processes", Scale: scale, Target: targetProcesses, Command: r.command}, r.n, y)
	fmt.Printf("%-60s %8.0f: %.4g %s\n", name, r.n, y, unit)
}

// TestMeasureFleet measures one size; without -measure it runs the smallest, so
// that the measuring itself stays in order.
func TestMeasureFleet(t *testing.T) {
	n := *measure
	if n == 0 {
		n = 10
	}
	m, err := Load(measuredFile)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{m: m, n: float64(n), command: "`go test ./internal/capacity -run TestMeasureFleet -measure N`"}
	domains := max(2, min(20, n/5))
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, domains, *callerCount)
		defer f.close()
		time.Sleep(listLag)
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

func measureStart(f *fleet, r *recorder, name string) {
	stop := f.kvRates()
	f.startAll()
	took := f.waitRevision(1, 3*time.Minute)
	time.Sleep(time.Second)
	rates := stop()
	r.add(name+": time until all are ready, max", "s", Log, quantile(took, 1))
	r.add(name+": peak calls to the key-value service", "1/s", Saturating, rates.peak)
	time.Sleep(30 * time.Second)
}

func measureSteady(f *fleet, r *recorder) {
	stop := f.kvRates()
	before := f.gauge()
	reads := f.listReads()
	time.Sleep(f.steadyTime())
	after, rates := f.gauge(), stop()
	seconds, n := after.at.Sub(before.at).Seconds(), r.n
	r.add("steady: control bytes per process, both ends", "B/s", Log, float64(after.bytes-before.bytes)/n/seconds)
	r.add("steady: processor time per process", "share of a core", Linear, (after.cpu-before.cpu).Seconds()/n/seconds)
	r.add("steady: messages begun per process", "1/s", Constant, float64(after.messages-before.messages)/n/seconds)
	r.add("steady: connections opened per process", "1/s", Constant, float64(after.dials-before.dials)/n/seconds)
	r.add("steady: calls to the key-value service", "1/s", Saturating, rates.mean)
	r.add("steady: reads of the list, whole fleet", "1/s", Saturating, float64(f.listReads()-reads)/seconds)
}

func (f *fleet) listReads() int64 {
	var n int64
	for _, p := range f.procs {
		n += p.poller.Reads()
	}
	return n
}

func measureTickets(f *fleet, r *recorder) {
	var took []time.Duration
	var messages, bytes int64
	for i := range f.tickets() {
		time.Sleep(ticketSpacing)
		before := f.gauge()
		time.Sleep(ticketSpacing)
		middle := f.gauge()
		done := make(chan []time.Duration)
		go func() { done <- f.waitRevision(uint64(i+2), changeLimit) }()
		synctest.Wait()
		f.apply(changeTicket(i + 2))
		took = append(took, <-done...)
		time.Sleep(time.Until(middle.at.Add(ticketSpacing)))
		after := f.gauge()
		messages += (after.messages - middle.messages) - (middle.messages - before.messages)
		bytes += (after.bytes - middle.bytes) - (middle.bytes - before.bytes)
	}
	r.add("ticket: in force, p50", "s", Log, quantile(took, 0.5))
	r.add("ticket: in force, p99", "s", Log, quantile(took, 0.99))
	r.add("ticket: in force, max", "s", Log, quantile(took, 1))
	r.add("ticket: additional messages per process", "1", Log, float64(messages)/float64(f.tickets())/r.n)
	r.add("ticket: additional bytes per process, both ends", "B", Log, float64(bytes)/float64(f.tickets())/r.n)
}

// measureChurn replaces processes one after the other, as failures and restarts do.
func measureChurn(f *fleet, r *recorder) {
	const restarts, spacing = 8, 5 * time.Second
	before := f.gauge()
	time.Sleep(restarts * spacing)
	middle := f.gauge()
	for i := range restarts {
		p := f.procs[len(f.procs)*i/restarts]
		p.stop()
		p.start()
		f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: p.incarnation})
		time.Sleep(spacing)
	}
	after := f.gauge()
	// The bytes include the start of the process itself, a part that shrinks with
	// the size of the fleet.
	bytes := (after.bytes - middle.bytes) - (middle.bytes - before.bytes)
	r.add("churn: additional bytes per process and restart, both ends", "B", Saturating, float64(bytes)/restarts/r.n)
}

func measureOutage(f *fleet, r *recorder) {
	stop := f.kvRates()
	f.kv.StartOutage(0)
	time.Sleep(30 * time.Second)
	down := stop()
	stop = f.kvRates()
	f.kv.EndOutage()
	time.Sleep(10 * time.Second)
	up := stop()
	r.add("outage of the key-value service: peak calls while down", "1/s", Saturating, down.peak)
	r.add("outage of the key-value service: peak calls in the 10 s after", "1/s", Saturating, up.peak)
}

func measureRestart(f *fleet, r *recorder) {
	f.stopAll()
	stop := f.kvRates()
	before := f.gauge()
	f.startAll()
	for _, p := range f.procs {
		f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: p.incarnation})
	}
	took := f.waitRevision(1, 3*time.Minute)
	ready := time.Now()
	r.add("restart of all: time until 99% of all views are right", "s", Log, f.waitViews(0.99, ready))
	all := 0.0
	if r.n < largeFleet {
		all = f.waitViews(1, ready)
	}
	rates, after := stop(), f.gauge()
	r.add("restart of all: time until all are ready, max", "s", Log, quantile(took, 1))
	r.add("restart of all: peak calls to the key-value service", "1/s", Saturating, rates.peak)
	r.add("restart of all: peak writes to the key-value service", "1/s", Saturating, rates.peakWrites)
	r.add("restart of all: processor time per process until then", "s", Linear, (after.cpu-before.cpu).Seconds()/r.n)
	if r.n < largeFleet {
		r.add("restart of all: time until all views are right", "s", Log, all)
	}
}

// measureLoss stops a failure domain at once, as an outage does, and applies a
// ticket while the others have not noticed yet.
func measureLoss(f *fleet, r *recorder) {
	time.Sleep(30 * time.Second)
	revision := f.procs[0].holder.Revision() + 1
	var left []*proc
	for _, p := range f.procs {
		if p.domain == f.procs[0].domain {
			p.stop()
		} else {
			left = append(left, p)
		}
	}
	f.procs = left
	stop := f.kvRates()
	done := make(chan []time.Duration)
	go func() { done <- f.waitRevision(revision, changeLimit) }()
	synctest.Wait()
	f.apply(changeTicket(int(revision)))
	took := <-done
	time.Sleep(20 * time.Second)
	r.add("loss of a failure domain: ticket right after it in force, max", "s", Log, quantile(took, 1))
	r.add("loss of a failure domain: peak calls to the key-value service", "1/s", Saturating, stop().peak)
}

// waitViews returns the seconds since begin after which a share of all views of
// one process on another show its new incarnation as serving; at most 300.
func (f *fleet) waitViews(share float64, begin time.Time) float64 {
	for time.Since(begin) < 300*time.Second && f.rightViews() < share {
		time.Sleep(250 * time.Millisecond)
	}
	return time.Since(begin).Seconds()
}

func (f *fleet) rightViews() float64 {
	right := 0
	for _, p := range f.procs {
		for _, m := range p.table.Members() {
			if m.State == membership.Serving && m.Incarnation == p.incarnation {
				right++
			}
		}
	}
	return float64(right) / float64(len(f.procs)) / float64(len(f.procs))
}

// heap returns the live bytes of the heap.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
