package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/peer"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	peerSecret = "secret"
	// dialDelay represents the round trips to open a connection and to make a call.
	dialDelay = 3 * time.Millisecond
	// listDelay is the age of the state that readers of the instance list see.
	listDelay = 30 * time.Second
	// One of processesPerEntry processes is an entry, which is about the ratio of
	// the target system.
	processesPerEntry = 9
)

// fleet runs the control components of n processes: membership, relay, quarantine
// and the clients of the platform services. They share an in-memory network and run
// in virtual time.
type fleet struct {
	t         testing.TB
	network   *memnet.Network
	kv        *kvstore.Store
	kvHTTP    *kvstore.Server
	list      *instances.Server
	processes []*process

	mu            sync.Mutex
	partitionSide func(address string) int // side of the partition that an address is on; nil if there is no partition
}

// process is one process of a fleet. A restart replaces its components.
type process struct {
	fleet       *fleet
	name        string
	domain      string
	role        string
	incarnation uint64

	table      *membership.Table
	holder     *config.Holder
	quarantine *quarantine.Replica
	relay      *relay.Relay
	poller     *membership.Poller
	kv         *kvservice.Client
	traffic    *relay.Traffic
	state      membership.State
	pastBytes  int64      // bytes sent and received by earlier incarnations
	mu         sync.Mutex // guards state

	stop func()
}

// peerServer serves the part of the peer protocol that the relay implements.
type peerServer struct {
	peer.Peer
	relay *relay.Relay
}

// Exchange implements peer.Peer.
func (s peerServer) Exchange(ctx context.Context, req *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	return s.relay.HandleExchange(ctx, req), nil
}

// FetchConfig implements peer.Peer.
func (s peerServer) FetchConfig(_ context.Context, req *peer.FetchConfigRequest) (*peer.FetchConfigResponse, error) {
	return s.relay.HandleFetchConfig(req), nil
}

func listen(t testing.TB, n *memnet.Network, address string) net.Listener {
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newFleet prepares n processes in the given number of failure domains, without
// starting them, and stores a configuration with the given number of callers in the
// key-value service.
func newFleet(t testing.TB, n, domains, callers int) *fleet {
	f := &fleet{t: t, network: memnet.New(dialDelay)}
	// The tests check the rates by counting calls, so the service itself must not
	// refuse any.
	f.kv = kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond, ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	f.kvHTTP = kvstore.Serve(f.kv, listen(t, f.network, "kv:80"), nil)
	f.list = instances.Serve(instances.NewList(listDelay), listen(t, f.network, "list:80"))
	f.applyTicket(initialTicket(callers))
	for i := range n {
		role := "sidecar"
		if i%processesPerEntry == 0 {
			role = "entry"
		}
		p := &process{fleet: f, name: fmt.Sprintf("process-%05d", i), domain: fmt.Sprintf("region-%d-domain-%d", i%domains%7, i%domains), role: role}
		f.processes = append(f.processes, p)
		f.list.Register(instances.Instance{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(), Incarnation: 1})
	}
	return f
}

// initialTicket returns a ticket that creates a pool and the given number of callers. A
// ticket is a numbered change of configuration objects; see package config.
func initialTicket(callers int) string {
	var b strings.Builder
	b.WriteString("ticket: 1\nobjects:\n  - kind: pool\n    name: d\n    spec: {role: decode}\n")
	for i := range callers {
		fmt.Fprintf(&b, "  - kind: caller\n    name: caller-%05d\n    spec: {key_sha256: %x, share: 1}\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return b.String()
}

// changeTicket returns a ticket that changes one caller.
func changeTicket(number int) string {
	return fmt.Sprintf("ticket: %d\nobjects:\n  - kind: caller\n    name: caller-%05d\n    spec: {key_sha256: %x, share: 2}\n",
		number, number, sha256.Sum256([]byte{byte(number), byte(number >> 8)}))
}

// applyTicket applies a ticket through a client of its own, as the command line does.
func (f *fleet) applyTicket(text string) {
	f.t.Helper()
	ticket, err := config.ParseTicket("ticket", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	kv := f.newKV(f.network.Dial)
	defer kv.Close()
	if _, err := configstore.New(configstore.Options{KV: kv}).Accept(f.t.Context(), ticket); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) newKV(dial kvservice.DialFunc) *kvservice.Client {
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: "http://kv:80", Dial: dial})
	if err != nil {
		f.t.Fatal(err)
	}
	return kv
}

func (f *fleet) startAll() {
	for _, p := range f.processes {
		p.start()
	}
}

func (f *fleet) stopAll() {
	for _, p := range f.processes {
		p.stop()
	}
}

// close stops the processes and services. It then waits for a minute of virtual time,
// in which pending timers and dials end.
func (f *fleet) close() {
	f.stopAll()
	_ = f.kvHTTP.Close()
	f.kv.Close()
	_ = f.list.Close()
	time.Sleep(time.Minute)
}

func (p *process) address() string { return p.name + ":80" }

func (p *process) member() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return membership.Member{Name: p.name, Role: p.role, FailureDomain: p.domain, PeerAddress: p.address(),
		Incarnation: p.incarnation, State: p.state, ConfigRevision: p.holder.Revision()}
}

func (p *process) setState(s membership.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// dial refuses connections to the other side of a partition.
func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.fleet.mu.Lock()
	side := p.fleet.partitionSide
	p.fleet.mu.Unlock()
	if side != nil && side(p.address()) != side(address) {
		return nil, errors.New("network is unreachable")
	}
	return p.fleet.network.Dial(ctx, network, address)
}

// partition closes all connections and refuses new ones between different sides. A
// nil side ends the partition.
func (f *fleet) partition(side func(address string) int) {
	f.mu.Lock()
	f.partitionSide = side
	f.mu.Unlock()
	addresses := []string{"kv:80", "list:80"}
	for _, p := range f.processes {
		addresses = append(addresses, p.address())
	}
	for _, a := range addresses {
		f.network.Disconnect(a)
		f.network.Restore(a)
	}
}

// start runs the process as a new incarnation until stop is called.
func (p *process) start() {
	f := p.fleet
	logger := log.New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	p.setState(membership.Starting)
	p.incarnation++
	if p.traffic != nil {
		p.pastBytes += p.traffic.Sent.Load() + p.traffic.Received.Load()
	}
	p.table, p.holder, p.traffic = membership.NewTable(), config.NewHolder(), new(relay.Traffic)
	p.kv = f.newKV(p.dial)
	p.quarantine = quarantine.NewReplica(p.kv, logger)
	list, err := kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: "http://list:80", Dial: p.dial})
	if err != nil {
		f.t.Fatal(err)
	}
	client := relay.NewClient(p.dial, p.traffic)
	p.relay = relay.New(relay.Options{
		Cache: relay.NewCache(p.holder), Store: configstore.New(configstore.Options{KV: p.kv}), Table: p.table,
		Quarantine: p.quarantine, Self: p.member, Client: client, Secret: peerSecret, Logger: logger,
	})
	table := p.table
	p.poller = &membership.Poller{Table: table, Instances: list, Interval: 2 * time.Second, OnChange: p.relay.QueueChanges, Logger: logger,
		ShouldRead: func() bool { return relay.IsWatcher(p.member(), table.Members()) }}
	service := peer.NewPeerServer(peerServer{relay: p.relay})
	server := wire.NewServer(wire.RequireSecret(peerSecret, service))
	server.ErrorLog = logger.StandardLog()
	listener := listen(f.t, f.network, p.address())
	go func() { _ = server.Serve(listener) }()
	var loops sync.WaitGroup
	loops.Go(func() { _ = p.poller.Run(ctx) })
	loops.Go(func() { _ = p.relay.Run(ctx) })
	loops.Go(func() { _ = p.quarantine.RunWriter(ctx) })
	loops.Go(func() {
		if p.relay.Bootstrap(ctx) == nil {
			p.setState(membership.Serving)
			p.relay.Announce(ctx)
		}
	})
	p.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		loops.Wait()
		client.CloseIdleConnections()
		p.kv.Close()
		list.Close()
	})
}

// waitForRevision returns how long each process takes to activate the configuration
// revision. Processes that take longer than limit fail the test.
func (f *fleet) waitForRevision(revision uint64, limit time.Duration) []time.Duration {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	begin := time.Now()
	delays := make([]time.Duration, len(f.processes))
	var wg sync.WaitGroup
	for i, p := range f.processes {
		wg.Go(func() {
			if _, err := p.holder.WaitForRevision(ctx, revision); err != nil {
				f.t.Errorf("process %s has configuration revision %d, want %d within %v", p.name, p.holder.Revision(), revision, limit)
			}
			delays[i] = time.Since(begin)
		})
	}
	wg.Wait()
	return delays
}

// startKVRates samples the calls per second to the key-value service until the
// returned function is called.
func (f *fleet) startKVRates() (stop func() kvRates) {
	done, result := make(chan struct{}), make(chan kvRates)
	go func() {
		var r kvRates
		last := f.kv.Counters()
		first := last
		start := time.Now()
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				current := f.kv.Counters()
				r.mean = float64(kvCalls(current)-kvCalls(first)) / time.Since(start).Seconds()
				result <- r
				return
			case <-tick.C:
			}
			current := f.kv.Counters()
			r.peak = max(r.peak, float64(kvCalls(current)-kvCalls(last)))
			r.peakWrites = max(r.peakWrites, float64(current.Writes+current.Conflicts-last.Writes-last.Conflicts))
			last = current
		}
	}()
	return func() kvRates { close(done); return <-result }
}

// kvCallerCount returns the number of processes whose current incarnation has called
// the key-value service.
func (f *fleet) kvCallerCount() int {
	n := 0
	for _, p := range f.processes {
		if c := p.kv.Counts(); c.Reads.Calls+c.Watches.Calls > 0 {
			n++
		}
	}
	return n
}

// kvRates are calls per second to the key-value service. The peaks are the greatest
// numbers within one second. mean and peak count what kvCalls counts; peakWrites counts
// the writes, also those rejected because of a conflict.
type kvRates struct {
	mean, peak, peakWrites float64
}

// kvCalls returns the number of reads and watches, and of all calls that an outage
// dropped. It leaves out the other writes.
func kvCalls(c kvstore.Counters) int { return c.Reads + c.Watches + c.Dropped }

var _ http.Handler = peer.NewPeerServer(peerServer{})
