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
	// refresh is how often something is told although nothing changed.
	refresh = 300 * time.Millisecond
	// fullEvery is after how many of these the whole state is told, to make good
	// for messages that were lost.
	fullEvery = 4
	// gather is how long a change waits for others before it is told.
	gather = 4 * time.Millisecond
	// maxDatagram is the largest message; a larger one is not sent.
	maxDatagram = 32 << 10
	// bytesPerSecond and burstBytes bound what one process sends to all others.
	bytesPerSecond = 128 << 10
	burstBytes     = 128 << 10
	// heardLife is how long a peer that is missing on the list is told because
	// it was heard.
	heardLife = 3 * time.Second
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
	o        Options
	changed  chan struct{}
	limiter  *rate.Limiter
	sequence uint64
	// untilFull is how many refreshes are left until the whole state is told.
	untilFull atomic.Int32

	mu    sync.Mutex
	heard map[string]*contact
}

// contact is what is known of a peer from its messages.
type contact struct {
	address               net.Addr
	incarnation, sequence uint64
	// former is the incarnation before; its late datagrams are dropped.
	former uint64
	last   time.Time
}

// New returns a node.
func New(o Options) *Node {
	return &Node{
		o:       o,
		changed: make(chan struct{}, 1),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		heard:   make(map[string]*contact),
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
		_ = n.o.Conn.Close()
		receiver.Wait()
	}()
	tick := time.NewTicker(refresh)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.changed:
			time.Sleep(gather)
		case <-tick.C:
			n.expire(time.Now())
			n.untilFull.Add(-1)
		}
		n.tell(time.Now())
	}
}

func (n *Node) tell(now time.Time) {
	addresses := n.addresses(now)
	if len(addresses) == 0 {
		return
	}
	n.sequence++
	full := n.untilFull.Load() <= 0
	if full {
		n.untilFull.Store(fullEvery)
	}
	m := message{sender: n.o.Name, incarnation: n.o.Incarnation, sequence: n.sequence, state: n.o.State(!full, now)}
	b := encode(m, now)
	if len(b) > maxDatagram || !n.limiter.AllowN(now, len(b)*len(addresses)) {
		n.o.Metrics.dropped(reasonLimit)
		// What was not told now is part of the next whole state.
		n.untilFull.Store(0)
		return
	}
	for _, a := range addresses {
		if _, err := n.o.Conn.WriteTo(b, a); err != nil {
			// A peer that cannot be reached is found by its silence.
			n.o.Metrics.dropped(reasonSend)
			continue
		}
		n.o.Metrics.sent(len(b))
	}
}

// addresses returns the peers on the list and those that were heard lately.
func (n *Node) addresses(now time.Time) []net.Addr {
	listed := n.o.Peers()
	out := make([]net.Addr, 0, len(listed))
	for _, address := range listed {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			n.o.Metrics.dropped(reasonAddress)
			continue
		}
		out = append(out, a)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.heard {
		if _, ok := listed[name]; !ok && now.Sub(c.last) < heardLife {
			out = append(out, c.address)
		}
	}
	return out
}

func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := n.o.Conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				n.o.Metrics.dropped(reasonReceive)
				time.Sleep(gather)
			}
			continue
		}
		now := time.Now()
		m, err := decode(buf[:size], now)
		if err != nil {
			n.o.Metrics.dropped(reasonFormat)
			continue
		}
		if m.sender != n.o.Name && n.newer(m, from, now) {
			n.o.OnPeerState(m.sender, m.state, now)
		}
	}
}

// newer reports whether the message is the newest of its sender; datagrams may
// overtake each other.
func (n *Node) newer(m message, from net.Addr, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, known := n.heard[m.sender]
	if !known {
		c = &contact{}
		n.heard[m.sender] = c
		n.untilFull.Store(0) // it knows nothing of this process yet
		n.o.Logger.Info("gateway heard", "peer", m.sender, "address", from.String())
	}
	switch {
	case !known || m.incarnation == c.incarnation:
		if m.sequence <= c.sequence {
			return false
		}
	case m.incarnation == c.former:
		return false
	default:
		c.former = c.incarnation
	}
	c.address, c.incarnation, c.sequence, c.last = from, m.incarnation, m.sequence, now
	return true
}

func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, c := range n.heard {
		if now.Sub(c.last) > heardLife {
			delete(n.heard, name)
			n.o.Logger.Warn("gateway no longer heard", "peer", name, "silent_ms", now.Sub(c.last).Milliseconds())
		}
	}
}
