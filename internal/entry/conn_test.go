package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// Guards against a sidecar that is silent or unreachable and stays a first
// choice, and against one that is suspected because a request was cancelled.
func TestStreamsReportTheirSidecar(t *testing.T) {
	cases := []struct {
		name  string
		fault func(n *memnet.Network, cancel func())
		want  []membership.State
	}{
		{"unreachable", func(n *memnet.Network, _ func()) { n.Disconnect("sidecar:1") }, []membership.State{membership.Suspect}},
		{"answers", func(*memnet.Network, func()) {}, []membership.State{membership.Serving}},
		{"goes silent", func(n *memnet.Network, _ func()) {
			time.AfterFunc(time.Second, func() { n.Blackhole("sidecar:1", false) })
		}, []membership.State{membership.Serving, membership.Suspect}},
		{"cancelled", func(_ *memnet.Network, cancel func()) { time.AfterFunc(time.Second, cancel) }, []membership.State{membership.Serving}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New(time.Millisecond)
				l, err := n.Listen("sidecar:1")
				if err != nil {
					t.Fatal(err)
				}
				srv := wire.NewServer(http.HandlerFunc(beatUntilEnd))
				go func() { _ = srv.Serve(l) }()
				client := wire.NewClient(n.Dial)
				ctx, cancel := context.WithCancel(t.Context())
				c.fault(n, cancel)
				if got := reportsOf(ctx, client); !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
				cancel()
				_ = srv.Close()
				client.CloseIdleConnections()
				time.Sleep(time.Minute)
			})
		})
	}
}

func beatUntilEnd(w http.ResponseWriter, r *http.Request) {
	s, err := wire.Accept[*wire.DecodeReply](w, r, func() *wire.DecodeRequest { return new(wire.DecodeRequest) })
	if err != nil {
		return
	}
	var beats sync.WaitGroup
	defer beats.Wait()
	defer s.Close()
	beats.Go(func() { s.Heartbeat(func() *wire.DecodeReply { return new(wire.DecodeReply) }) })
	for {
		if _, err := s.Recv(); err != nil {
			return
		}
	}
}

// reportsOf opens a stream and returns what it reports within ten seconds.
func reportsOf(ctx context.Context, client *http.Client) []membership.State {
	var mu sync.Mutex
	var list []membership.State
	report := func(s membership.State) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, s)
	}
	conn := new(decodeConn)
	openConn(ctx, target{member: membership.Member{PeerAddress: "sidecar:1"}}, streamCall[*wire.DecodeRequest, *wire.DecodeReply]{
		client: client, path: "/stream/decode", first: renewDecode(), renew: renewDecode,
		newR:    func() *wire.DecodeReply { return new(wire.DecodeReply) },
		deliver: func(*wire.DecodeReply, error) {},
		report:  report,
	}, conn)
	time.Sleep(10 * time.Second)
	conn.cancel()
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(list)
}
