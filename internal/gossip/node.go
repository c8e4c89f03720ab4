package gossip

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

const (
	// heartbeatInterval is how often something is told although nothing changed.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatsPerFullState is after how many of these the whole state is told, to make good
	// for messages that were lost.
	heartbeatsPerFullState = 4
	// batchDelay is how long a change waits for others before it is told.
	batchDelay = 4 * time.Millisecond
	// maxDatagram is the largest message; a larger one is not sent.
	maxDatagram = 32 << 10
	// bytesPerSecond and burstBytes bound what one process sends to all others.
	bytesPerSecond = 128 << 10
	burstBytes     = 128 << 10
	// peerTimeout is how long a peer that is missing on the list is told because
	// it was heard.
	peerTimeout = 3 * time.Second
)

// Options configure a node.
type Options struct {
	Name string
	// Incarnation tells lives of the process apart; it is drawn at random, since
	// clocks may step back between two lives.
	Incarnation uint64
	Conn        net.PacketConn
	// Peers returns the addresses of the other gateways by name.
	Peers func() map[string]string
	// State returns what to tell: all, or only what changed since it was asked last.
	State       func(onlyChanged bool, now time.Time) gateway.PeerState
	OnPeerState func(peer string, s gateway.PeerState, now time.Time)
	Metrics     *Metrics
	// Logger gets a line when a peer is heard for the first time or lost.
	Logger *log.Logger
}

// Node exchanges the states of gateways over UDP.
type Node struct {
	options  Options
	changed  chan struct{}
	limiter  *rate.Limiter
	sequence uint64
	// untilFull is how many refreshes are left until the whole state is told.
	heartbeatsUntilFull atomic.Int32

	mu    sync.Mutex
	peers map[string]*peerRecord
}

// peerRecord is what is known of a peer from its messages.
type peerRecord struct {
	address               net.Addr
	incarnation, sequence uint64
	// former is the incarnation before; its late datagrams are dropped.
	previousIncarnation uint64
	lastReceived        time.Time
}

// New returns a node.
func New(o Options) *Node {
	return &Node{
		options: o,
		changed: make(chan struct{}, 1),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		peers:   make(map[string]*peerRecord),
	}
}

// Announce has the state told to the others soon.
func (n *Node) Announce() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
func (n *Node) Run(ctx context.Context) error {
	var receiver sync.WaitGroup
	receiver.Go(func() { n.receive(ctx) })
	defer func() {
		// Closing the socket ends the receiver.
		_ = n.options.Conn.Close()
		receiver.Wait()
	}()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.changed:
			time.Sleep(batchDelay)
		case <-tick.C:
			n.expire(time.Now())
			n.heartbeatsUntilFull.Add(-1)
		}
		n.broadcast(time.Now())
	}
}

func (n *Node) broadcast(now time.Time) {
	addresses := n.addresses(now)
	if len(addresses) == 0 {
		return
	}
	n.sequence++
	full := n.heartbeatsUntilFull.Load() <= 0
	if full {
		n.heartbeatsUntilFull.Store(heartbeatsPerFullState)
	}
	m := message{sender: n.options.Name, incarnation: n.options.Incarnation, sequence: n.sequence, state: n.options.State(!full, now)}
	b := encode(m, now)
	if len(b) > maxDatagram || !n.limiter.AllowN(now, len(b)*len(addresses)) {
		n.options.Metrics.dropped(reasonLimit)
		// What was not told now is part of the next whole state.
		n.heartbeatsUntilFull.Store(0)
		return
	}
	for _, a := range addresses {
		if _, err := n.options.Conn.WriteTo(b, a); err != nil {
			// A peer that cannot be reached is found by its silence.
			n.options.Metrics.dropped(reasonSend)
			continue
		}
		n.options.Metrics.sent(len(b))
	}
}

// addresses returns the peers on the list and those that were heard lately.
func (n *Node) addresses(now time.Time) []net.Addr {
	listed := n.options.Peers()
	out := make([]net.Addr, 0, len(listed))
	for _, address := range listed {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			n.options.Metrics.dropped(reasonAddress)
			continue
		}
		out = append(out, a)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.peers {
		if _, ok := listed[name]; !ok && now.Sub(c.lastReceived) < peerTimeout {
			out = append(out, c.address)
		}
	}
	return out
}

func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := n.options.Conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				n.options.Metrics.dropped(reasonReceive)
				time.Sleep(batchDelay)
			}
			continue
		}
		now := time.Now()
		m, err := decode(buf[:size], now)
		if err != nil {
			n.options.Metrics.dropped(reasonFormat)
			continue
		}
		if m.sender != n.options.Name && n.acceptMessage(m, from, now) {
			n.options.OnPeerState(m.sender, m.state, now)
		}
	}
}

// acceptMessage reports whether the message is the newest of its sender; datagrams may
// overtake each other.
func (n *Node) acceptMessage(m message, from net.Addr, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, known := n.peers[m.sender]
	if !known {
		c = &peerRecord{}
		n.peers[m.sender] = c
		n.heartbeatsUntilFull.Store(0) // it knows nothing of this process yet
		n.options.Logger.Info("gateway heard", "peer", m.sender, "address", from.String())
	}
	switch {
	case !known || m.incarnation == c.incarnation:
		if m.sequence <= c.sequence {
			return false
		}
	case m.incarnation == c.previousIncarnation:
		return false
	default:
		c.previousIncarnation = c.incarnation
	}
	c.address, c.incarnation, c.sequence, c.lastReceived = from, m.incarnation, m.sequence, now
	return true
}

func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.peers {
		if now.Sub(c.lastReceived) > peerTimeout {
			delete(n.peers, name)
			n.options.Logger.Warn("gateway no longer heard", "peer", name, "silent_ms", now.Sub(c.lastReceived).Milliseconds())
		}
	}
}
