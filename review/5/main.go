// Command 5 shows that gateways exceed the memory of their machines, and are killed, while
// clients send long bodies in chunks.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
	"github.com/fescueslip/fescueslip/review/harness"
)

const (
	gateways = 2
	// memoryMB is memory-mb of the site's machines.
	memoryMB = 134
	// perSecond is the site's rate of book-run for one of its four gateways: 50.8 / 4.
	perSecond = 12.7
	// burstTime is how long a burst takes; pauseTime lies before each.
	burstTime = 4 * time.Second
	pauseTime = 6 * time.Second
	// deadline is that of book-run.
	deadline = 1500 * time.Millisecond
	// pieces of pieceBytes make a body of 4.0 MB, below max-body-bytes. The last piece comes
	// sendTime after the first.
	pieces     = 16
	pieceBytes = 250_000
	sendTime   = time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	workTime     = 30 * time.Millisecond
	// maxEnds and minMachines are the bounds of the rule: three ends on two machines.
	maxEnds     = 3
	minMachines = 2
)

// bursts are the factors of the site's bursts on one day.
var bursts = []float64{1.7, 2.3, 1.9}

func main() { harness.Run(body) }

type machine struct {
	c       *harness.Case
	gateway atomic.Pointer[harness.Gateway]
	ends    int
	peak    float64
}

// watch is the platform: it kills a process whose memory exceeds that of its machine, and
// starts it again.
func (m *machine) watch(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
		g := m.gateway.Load()
		used := g.MemoryMB()
		m.peak = max(m.peak, used)
		if used <= memoryMB && !g.Ended() {
			continue
		}
		m.ends++
		m.c.Logf("platform: %s uses %.0f MB of %d MB and is killed, for the %d. time", g.Name, used, memoryMB, m.ends)
		g.Kill()
		time.Sleep(restartDelay)
		next, err := m.c.StartGateway(memoryMB)
		if err != nil {
			return err
		}
		m.gateway.Store(next)
	}
}

func serve(c *harness.Case, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Fescueslip-Request-Id")
		w.Header().Set("Fescueslip-Request-Id", request)
		if want := r.Header.Get(harness.Names.ExpectInstance); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		c.Logf("server %s runs %s of %d bytes", id, request, n)
		time.Sleep(workTime)
		w.Header().Set(harness.Names.Signature, id+"."+request)
		_, _ = fmt.Fprintf(w, "booked %s\n", request)
	})
}

// send sends one unsafe request on a new connection: in chunks, or with WITH_LENGTH=1, for
// comparison, with a length.
func send(c *harness.Case, g *harness.Gateway, id string, piece []byte) string {
	conn, err := net.DialTimeout("tcp", g.Client, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(deadline))
	c.Logf("client: sends %s to %s", id, g.Name)
	withLength := os.Getenv("WITH_LENGTH") == "1"
	framing := "Transfer-Encoding: chunked"
	if withLength {
		framing = fmt.Sprintf("Content-Length: %d", pieces*len(piece))
	}
	_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nFescueslip-Request-Id: %s\r\n%s: %d\r\n%s\r\n\r\n",
		emulator.UnsafePrefix, id, emulator.Host, id, harness.Names.Deadline, deadline.Milliseconds(), framing)
	for n := range pieces {
		if n == pieces-1 {
			time.Sleep(time.Until(start.Add(sendTime)))
		}
		if withLength {
			_, err = conn.Write(piece)
		} else {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		}
		if err != nil {
			break // a refusal may be there to be read
		}
	}
	if !withLength {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Status
}

// rateAt returns the rate of requests at a time after the start.
func rateAt(t time.Duration, trouble bool) float64 {
	round, at := int(t/(pauseTime+burstTime)), t%(pauseTime+burstTime)
	if !trouble || at < pauseTime || round >= len(bursts) {
		return perSecond
	}
	return perSecond * bursts[round]
}

func body(c *harness.Case) (bool, error) {
	for i := range 4 {
		id := fmt.Sprintf("i-p%d", i+1)
		address, err := c.Serve(serve(c, id))
		if err != nil {
			return false, err
		}
		c.PutServer(id, emulator.PlainService, address, "ready", "", 1, 6)
	}
	config := emulator.DefaultConfiguration(1)
	config.Limits.MaxBodyBytes = 4 << 20
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = max(config.Routes[i].TimeoutMs, deadline.Milliseconds())
	}
	c.PutConfig(config)
	var machines []*machine
	stop := make(chan struct{})
	var watches sync.WaitGroup
	errs := make(chan error, gateways)
	for range gateways {
		g, err := c.StartGateway(memoryMB)
		if err != nil {
			return false, err
		}
		m := &machine{c: c}
		m.gateway.Store(g)
		machines = append(machines, m)
		watches.Go(func() { errs <- m.watch(stop) })
	}
	piece := bytes.Repeat([]byte("x"), pieceBytes)
	var load sync.WaitGroup
	start := time.Now()
	total := time.Duration(len(bursts))*(burstTime+pauseTime) + pauseTime
	for n := 0; time.Since(start) < total; n++ {
		for i, m := range machines {
			id := fmt.Sprintf("%04x%012x", i, n)
			load.Go(func() { c.Logf("client: %s ends with %s", id, send(c, m.gateway.Load(), id, piece)) })
		}
		time.Sleep(time.Duration(float64(time.Second) / rateAt(time.Since(start), c.Trouble)))
	}
	load.Wait()
	close(stop)
	watches.Wait()
	for range gateways {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	often := 0
	for i, m := range machines {
		c.Logf("machine %d: peak %.0f MB, killed %d times", i+1, m.peak, m.ends)
		if m.ends >= maxEnds {
			often++
		}
	}
	return often < minMachines, nil
}
