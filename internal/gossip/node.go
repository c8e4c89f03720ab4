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
	// heartbeatInterval is how often a message is sent even if nothing changed.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatsPerFullState is the number of heartbeats after which the full state
	// is sent, which makes up for lost messages.
	heartbeatsPerFullState = 4
	// batchDelay is how long a changed state is held back, so that several changes
	// share one message. An urgent change is held back only until the last message is this
	// old.
	batchDelay = 4 * time.Millisecond
	// maxDatagram is the maximum size of a message, in bytes. Larger messages are
	// not sent.
	maxDatagram = 32 << 10
	// bytesPerSecond and burstBytes limit the traffic that a process sends to all
	// peers together.
	bytesPerSecond = 128 << 10
	burstBytes     = 128 << 10
	// peerTimeout is how long after its last message a peer still gets messages
	// although it is missing from the gateway list. After that it counts as lost.
	peerTimeout = 3 * time.Second
)

// Options configure a node.
type Options struct {
	Name string
	// Incarnation identifies one start of the process. It is random, because the
	// clock may step back between two starts.
	Incarnation uint64
	Conn        net.PacketConn
	// Peers returns the addresses of the other gateways by name.
	Peers func() map[string]string
	// State returns the state to send: all of it, or what changed since the last
	// call.
	State       func(onlyChanged bool, now time.Time) gateway.PeerState
	OnPeerState func(peer string, s gateway.PeerState, now time.Time)
	Metrics     *Metrics
	// Logger logs when a peer is first heard and when it times out.
	Logger *log.Logger
}

// Node sends and receives gateway states over UDP.
type Node struct {
	options  Options
	changed  chan struct{}
	urgent   chan struct{}
	limiter  *rate.Limiter
	sequence uint64
	// heartbeatsUntilFull is the number of heartbeats until the full state is sent.
	heartbeatsUntilFull atomic.Int32

	mu    sync.Mutex
	peers map[string]*peerRecord
}

// peerRecord is what is known about a peer from its messages.
type peerRecord struct {
	address               net.Addr
	incarnation, sequence uint64
	// previousIncarnation is the incarnation before the current one. Its late
	// messages are dropped.
	previousIncarnation uint64
	lastReceived        time.Time
}

// New returns a node. Run starts it.
func New(o Options) *Node {
	return &Node{
		options: o,
		changed: make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
		limiter: rate.NewLimiter(bytesPerSecond, burstBytes),
		peers:   make(map[string]*peerRecord),
	}
}

// Announce requests that the changed state be sent soon, or, if it is urgent, without
// waiting for other changes.
func (n *Node) Announce(urgent bool) {
	if urgent {
		signal(n.urgent)
	}
	signal(n.changed)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// holdBack waits until a changed state may be sent. sent is the time of the last message.
func (n *Node) holdBack(sent time.Time) {
	select {
	case <-n.urgent:
		time.Sleep(batchDelay - time.Since(sent))
	case <-time.After(batchDelay):
	}
}

// clearAnnouncements drops the requests that the next message fulfils.
func (n *Node) clearAnnouncements() {
	for _, c := range []chan struct{}{n.urgent, n.changed} {
		select {
		case <-c:
		default:
		}
	}
}

// Run sends and receives messages until the context ends.
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
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.changed:
			n.holdBack(sent)
		case <-tick.C:
			n.expire(time.Now())
			n.heartbeatsUntilFull.Add(-1)
		}
		n.clearAnnouncements()
		sent = time.Now()
		n.broadcast(sent)
	}
}

// broadcast sends the state of this process to all peers: the full state if it is
// due, and otherwise the part that changed. A message above the datagram or rate
// limit is dropped, and the next one has the full state.
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
		// The changes that were not sent are part of the next full state.
		n.heartbeatsUntilFull.Store(0)
		return
	}
	for _, a := range addresses {
		if _, err := n.options.Conn.WriteTo(b, a); err != nil {
			// An unreachable peer is detected by its timeout.
			n.options.Metrics.dropped(reasonSend)
			continue
		}
		n.options.Metrics.sent(len(b))
	}
}

// addresses returns the addresses of the listed peers and of peers that were heard
// recently.
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
	for name, record := range n.peers {
		if _, ok := listed[name]; !ok && now.Sub(record.lastReceived) < peerTimeout {
			out = append(out, record.address)
		}
	}
	return out
}

// receive passes the state in each accepted message to OnPeerState until ctx ends.
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

// acceptMessage reports whether the message is the newest of its sender, and records
// it if so. The network may reorder datagrams.
func (n *Node) acceptMessage(m message, from net.Addr, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, known := n.peers[m.sender]
	if !known {
		record = &peerRecord{}
		n.peers[m.sender] = record
		n.heartbeatsUntilFull.Store(0) // a new peer has no state of this process yet
		n.options.Logger.Info("gateway heard", "peer", m.sender, "address", from.String())
	}
	switch {
	case !known || m.incarnation == record.incarnation:
		if m.sequence <= record.sequence {
			return false
		}
	case m.incarnation == record.previousIncarnation:
		return false
	default:
		record.previousIncarnation = record.incarnation
	}
	record.address, record.incarnation, record.sequence, record.lastReceived = from, m.incarnation, m.sequence, now
	return true
}

// expire forgets the peers that have not been heard for peerTimeout.
func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, record := range n.peers {
		if now.Sub(record.lastReceived) > peerTimeout {
			delete(n.peers, name)
			n.options.Logger.Warn("gateway no longer heard", "peer", name, "silent_ms", now.Sub(record.lastReceived).Milliseconds())
		}
	}
}
