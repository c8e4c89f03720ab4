package kit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// silence is how long a client waits for an event: four times the objective of 900 ms.
	silence      = 3600 * time.Millisecond
	streamEvents = 70
	// leastTakenUp is the number of streams from which on the rule compares.
	leastTakenUp = 12
)

// TakeUps are the figures of a run of CompareTakeUps.
type TakeUps struct {
	// Trouble means that the gateway is killed.
	Trouble bool
	// EventInterval is the time between two events of a stream, Prompt the length of the
	// prompts in tokens, and RequestsPerSecond the load of all clients.
	EventInterval     time.Duration
	Prompt            int
	RequestsPerSecond float64
}

// attempt is one attempt of a client.
type attempt struct {
	stream, id string
	gateway    *Gateway
	sent       time.Time
	// after is the event after which the stream is taken up; 0 for a new stream.
	after  int
	status int
	events int
	// complete means that the answer has come to its end.
	complete   bool
	retryAfter time.Duration
	took       time.Duration
}

type load struct {
	TakeUps
	run      *Run
	mu       sync.Mutex
	attempts []*attempt
	down     map[*Gateway]bool
}

// gateways returns those that the balancer uses, without the one that the client had.
func (l *load) choose(not *Gateway) *Gateway {
	l.mu.Lock()
	defer l.mu.Unlock()
	var in []*Gateway
	for _, g := range l.run.Gateways {
		if g != not && !l.down[g] {
			in = append(in, g)
		}
	}
	return in[rand.IntN(len(in))]
}

// stream asks for a stream. The client tries once more after a refusal or if the stream
// breaks off (the sheet's "client's retries" is 1).
func (l *load) stream(id string) {
	began := time.Now()
	g := l.choose(nil)
	first := l.try(&attempt{stream: id, id: id, gateway: g}, deadline)
	left := deadline - time.Since(began)
	switch {
	case first.complete && first.status == http.StatusOK:
		return
	case first.status == http.StatusServiceUnavailable && first.retryAfter <= left/3:
		time.Sleep(first.retryAfter)
		l.try(&attempt{stream: id, id: id + "-again", gateway: l.choose(g)}, deadline-time.Since(began))
	case first.status == http.StatusOK && first.events > 0:
		l.try(&attempt{stream: id, id: id + "-again", gateway: l.choose(g), after: first.events}, left)
	}
}

func (l *load) try(a *attempt, timeout time.Duration) *attempt {
	req := emulator.Request{
		ID: a.id, Method: http.MethodPost, Host: emulator.Host, Path: emulator.ResumePrefix + a.stream, Body: fmt.Sprint(streamEvents), Timeout: timeout,
		Header: http.Header{
			"Fescueslip-Model":       {"m"},
			emulator.UsageHeader:     {fmt.Sprintf("%d,%d", l.Prompt, streamEvents*59)},
			"Fescueslip-Length-Hint": {fmt.Sprint(streamEvents * 59)},
		},
	}
	if a.after > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(a.after))
		req.Header.Set("Resumes", a.stream)
	}
	a.sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	leave := time.AfterFunc(silence, func() {
		if len(l.run.Deployment.ExecutionLog.Executions(a.id)) == 0 {
			cancel()
		}
	})
	defer leave.Stop()
	resp := l.run.Deployment.Do(ctx, a.gateway.Client, req)
	a.status, a.complete, a.retryAfter, a.took = resp.Status, resp.Complete, resp.RetryAfter(), time.Since(a.sent)
	if resp.Status == http.StatusOK {
		a.events, _ = LastEvent(resp.Body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
	return a
}

// CompareTakeUps kills one of four gateways, and compares the streams that clients then take
// up again at the others with the new streams that begin. It ends the program.
func CompareTakeUps(o TakeUps) {
	r, err := New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	p := emulator.DefaultModelParameters()
	p.EventInterval = o.EventInterval
	r.Configure(emulator.ConfigurationFor(1, p))
	r.AddPlain("desk-1", 20*time.Millisecond)
	for i := range 2 {
		r.AddEngine(fmt.Sprintf("p%d", i+1), "prefill", "", p)
	}
	for i := range 7 {
		r.AddEngine(fmt.Sprintf("d%d", i+1), "decode", "", p)
	}
	r.AddGateways(4, nil)
	r.Logf("4 gateways are ready; trouble %t", o.Trouble)
	l := &load{TakeUps: o, run: r, down: make(map[*Gateway]bool)}
	end := time.Now().Add(32 * time.Second)
	var all sync.WaitGroup
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			all.Go(func() { l.stream(fmt.Sprintf("s%d", n)) })
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / o.RequestsPerSecond))
		}
	}()
	time.Sleep(16 * time.Second)
	killed := r.Gateways[0]
	at := time.Now()
	if o.Trouble {
		l.mu.Lock()
		l.down[killed] = true
		l.mu.Unlock()
		killed.Signal(syscall.SIGKILL)
		killed.Kill()
		r.Logf("%s is killed", killed.Name)
		time.Sleep(3500 * time.Millisecond)
		r.Check(killed.StartProcess())
		r.Check(killed.WaitReady())
		l.mu.Lock()
		l.down[killed] = false
		l.mu.Unlock()
		r.Logf("%s is ready again", killed.Name)
	}
	time.Sleep(time.Until(end))
	all.Wait()

	began, asked, goesOn, takenUp := 0, 0, 0, 0
	for _, a := range l.attempts {
		r.Logf("stream %s, attempt %s at %s, sent at %.3f, took %.3f s: after event %d, status %d, events %d, complete %t, retry after %.3f",
			a.stream, a.id, a.gateway.Name, a.sent.Sub(r.Start).Seconds(), a.took.Seconds(), a.after, a.status, a.events, a.complete, a.retryAfter.Seconds())
		switch {
		case a.after > 0 && a.gateway != killed:
			takenUp++
			if a.events > 0 {
				goesOn++
			}
		case a.after == 0 && a.sent.After(at) && a.gateway != killed:
			asked++
			if a.events > 0 {
				began++
			}
		}
	}
	text := fmt.Sprintf("%d of %d new attempts begin (%.2f), %d of %d streams that are taken up go on (%.2f)",
		began, asked, share(began, asked), goesOn, takenUp, share(goesOn, takenUp))
	r.Logf("%s", text)
	fmt.Println(text)
	switch {
	case asked < 80:
		r.Finish(CouldNot)
	case takenUp >= leastTakenUp && share(goesOn, takenUp) < share(began, asked)/2:
		r.Finish(Broken)
	case o.Trouble && takenUp < leastTakenUp:
		r.Finish(CouldNot)
	}
	r.Finish(Held)
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
