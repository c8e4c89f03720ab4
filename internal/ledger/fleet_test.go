package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/peer"
	"github.com/fescueslip/fescueslip/internal/wire"
)

const (
	kvLatency      = 3 * time.Millisecond
	testHopLatency = 1500 * time.Microsecond
	testRunTime    = 10 * time.Second
)

// fakeKV is a linearizable key-value service with injected faults.
type fakeKV struct {
	mu            sync.Mutex
	entries       map[string]kvservice.Entry
	index         uint64
	down          bool
	writes, reads int
	// Probabilities of a lost acknowledgement, of a failed write that takes effect
	// up to four seconds later, and of a write that is sent twice.
	lostAck, delayed, duplicated float64
}

func (k *fakeKV) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

func (k *fakeKV) setDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

func (k *fakeKV) setFaults(lostAck, delayed, duplicated float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lostAck, k.delayed, k.duplicated = lostAck, delayed, duplicated
}

func (k *fakeKV) faults() (lostAck, delayed, duplicated float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lostAck, k.lostAck + k.delayed, k.lostAck + k.delayed + k.duplicated
}

func (k *fakeKV) calls() (writes, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes, k.reads
}

func (k *fakeKV) Get(_ context.Context, key string) (kvservice.Entry, error) {
	time.Sleep(kvLatency / 2)
	defer time.Sleep(kvLatency / 2)
	if k.isDown() {
		return kvservice.Entry{}, kvservice.ErrUnavailable
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	return k.entries[key], nil
}

func (k *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	time.Sleep(kvLatency / 2)
	defer time.Sleep(kvLatency / 2)
	if len(value) > kvservice.MaxValueBytes {
		panic("value over the limit of the service")
	}
	if k.isDown() {
		return false, kvservice.ErrUnavailable
	}
	swapLate := func() { time.Sleep(rand.N(4 * time.Second)); k.swap(key, value, index) }
	lostAck, delayed, duplicated := k.faults()
	p := rand.Float64()
	switch {
	case p < lostAck:
		k.swap(key, value, index)
		return false, kvservice.ErrUnavailable
	case p < delayed:
		go swapLate()
		return false, kvservice.ErrUnavailable
	case p < duplicated:
		go swapLate()
	}
	return k.swap(key, value, index), nil
}

func (k *fakeKV) swap(key string, value []byte, index uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes++
	if k.entries[key].Index != index {
		return false
	}
	k.index++
	k.entries[key] = kvservice.Entry{Key: key, Value: value, Index: k.index}
	return true
}

// Watch returns the current entry without waiting for a change. The KV interface
// allows a service to end the wait early.
func (k *fakeKV) Watch(ctx context.Context, key string, _ uint64) (kvservice.Entry, error) {
	return k.Get(ctx, key)
}

// nodeKV is a node's connection to fakeKV. After the node has crashed, its Get and
// CompareAndSwap fail.
type nodeKV struct {
	*fakeKV
	crashed atomic.Bool
}

func (k *nodeKV) Get(ctx context.Context, key string) (kvservice.Entry, error) {
	if k.crashed.Load() {
		return kvservice.Entry{}, kvservice.ErrUnavailable
	}
	return k.fakeKV.Get(ctx, key)
}

func (k *nodeKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if k.crashed.Load() {
		return false, kvservice.ErrUnavailable
	}
	return k.fakeKV.CompareAndSwap(ctx, key, value, index)
}

// fleet is a group of entry processes with ledgers on one key-value service.
type fleet struct {
	t     *testing.T
	kv    *fakeKV
	net   *memnet.Network
	mu    sync.Mutex
	nodes []*node
	// isolated hides the nodes from each other.
	isolated bool
}

// node is one entry process with its ledger.
type node struct {
	*Ledger
	name string
	stop func()
	kv   *nodeKV
}

// crash stops the node and prevents all further writes by it.
func (n *node) crash() {
	n.kv.crashed.Store(true)
	n.stop()
}

// Members, Upstream and Report implement membership.View.
func (f *fleet) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []membership.Member
	if f.isolated {
		return nil
	}
	for _, n := range f.nodes {
		list = append(list, membership.Member{Name: n.name, Role: roleEntry, PeerAddress: n.name + ":1", State: membership.Serving})
	}
	return list
}
func (f *fleet) SidecarOf(string) (membership.Member, bool)   { return membership.Member{}, false }
func (f *fleet) ReportState(string, uint64, membership.State) {}

// delayTransport adds network latency to calls between entries.
type delayTransport struct{ http.RoundTripper }

func (s delayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(testHopLatency)
	defer time.Sleep(testHopLatency)
	return s.RoundTripper.RoundTrip(r)
}

// peerServer serves CommitIntent only.
type peerServer struct {
	peer.Peer
	ledger *Ledger
}

func (p peerServer) CommitIntent(ctx context.Context, r *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error) {
	return p.ledger.CommitIntent(ctx, r)
}

func runWithFleet(t *testing.T, entries int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: memnet.New(0), kv: &fakeKV{entries: map[string]kvservice.Entry{}}}
		for n := range entries {
			f.start(fmt.Sprintf("entry-%d", n))
		}
		defer func() {
			for _, n := range f.nodes {
				n.stop()
			}
			time.Sleep(time.Minute)
		}()
		test(t, f)
	})
}

// start adds a node, or replaces the node of that name with a new process.
func (f *fleet) start(name string) *node {
	hc := wire.NewClient(f.net.Dial)
	transport := hc.Transport.(*http.Transport)
	hc.Transport = delayTransport{transport}
	kv := &nodeKV{fakeKV: f.kv}
	l := New(Options{KV: kv, Members: f, Self: name, Client: hc, Secret: "s"})
	ctx, cancel := context.WithCancel(context.Background())
	f.net.Restore(name + ":1")
	lis, err := f.net.Listen(name + ":1")
	if err != nil {
		f.t.Fatal(err)
	}
	srv := wire.NewServer(wire.RequireSecret("s", peer.NewPeerServer(peerServer{ledger: l})))
	go func() { _ = srv.Serve(lis) }()
	go func() { _ = l.Run(ctx) }()
	n := &node{Ledger: l, kv: kv, name: name, stop: func() { _ = srv.Close(); cancel(); transport.CloseIdleConnections() }}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, old := range f.nodes {
		if old.name == name {
			f.nodes[i] = n
			return n
		}
	}
	f.nodes = append(f.nodes, n)
	return n
}

// remove removes node n from the list of members.
func (f *fleet) remove(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = slices.Delete(f.nodes, n, n+1)
}

func (f *fleet) entry(n int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[n%len(f.nodes)]
}

func call(key string) Call {
	return Call{Caller: "c", Key: key, Digest: NewDigest([]byte("body")), MaxRunTime: testRunTime}
}

func storedAnswer(body string) Answer {
	return Answer{Status: 201, ContentType: "text/plain", Body: []byte(body), BodyKept: true}
}
