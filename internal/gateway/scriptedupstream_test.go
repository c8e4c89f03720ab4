package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// ending is how an upstream ends the connection of its response.
type ending int

const (
	// closedByLivingProcess closes the connection in order; the upstream goes on.
	closedByLivingProcess ending = iota
	// closedByCrash closes the connection in order, as the kernel does when the process
	// ends; nothing listens at the address any more.
	closedByCrash
	// resetByLivingProcess resets the connection.
	resetByLivingProcess
	// resetByCrash resets the connection; nothing listens at the address any more.
	resetByCrash
	// keptOpen leaves the connection open.
	keptOpen
)

// scriptedUpstream answers the first request on a loopback socket with given bytes, and
// those after it with status 500.
type scriptedUpstream struct {
	listener net.Listener
	response string
	ending   ending

	// mu guards what follows.
	mu sync.Mutex
	// fleet is that of the gateway.
	fleet *fleet.Fleet
	// answered is called before the connection of the response ends. It may be nil.
	answered func(u *scriptedUpstream)
	// running is the incarnation that the process at the address tells, and listed that of
	// the list. runningErr and listedErr replace them.
	running, listed       int64
	runningErr, listedErr error
}

// firstIncarnation is that of the process that answers the request.
const firstIncarnation = 1

// Running implements gateway.ProcessIdentifier.
func (u *scriptedUpstream) Running(_ context.Context, instance *fleet.Instance, _ string) (int64, error) {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + instance.Address + "/report")
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running, u.runningErr
}

// Listed implements gateway.ProcessIdentifier.
func (u *scriptedUpstream) Listed(context.Context, string) (int64, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed, u.listedErr
}

func newScriptedUpstream(t *testing.T, response string, e ending) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &scriptedUpstream{listener: l, response: response, ending: e, listed: firstIncarnation}
	go u.serve()
	return u
}

func (u *scriptedUpstream) serve() {
	for n := 0; ; n++ {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.answer(c, n == 0)
	}
}

func (u *scriptedUpstream) answer(c net.Conn, first bool) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		_ = c.Close()
		return
	}
	if !first {
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_ = c.Close()
		return
	}
	_, _ = io.WriteString(c, u.response)
	// The gateway gets the bytes before the end of the connection.
	time.Sleep(20 * time.Millisecond)
	u.mu.Lock()
	if u.answered != nil {
		u.answered(u)
	}
	u.mu.Unlock()
	if u.ending == closedByCrash || u.ending == resetByCrash {
		_ = u.listener.Close()
	}
	if u.ending == resetByLivingProcess || u.ending == resetByCrash {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	if u.ending != keptOpen {
		_ = c.Close()
	}
}
