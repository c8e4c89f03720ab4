package app

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/gossip"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
)

// gatewaysPrefix is the prefix of the store keys of the live gateways, one key each.
const gatewaysPrefix = ownPrefix + "gateways/"

// defaultGatewayCount is the number of gateways that is assumed until the list has
// been read.
const defaultGatewayCount = 6

// gatewayEntry is the value of a gateway's key in the store.
type gatewayEntry struct {
	// Peer is the IP:port at which the gateway receives gossip.
	Peer string `json:"peer"`
}

// gatewayList holds the gateways of the deployment that the store lists.
type gatewayList struct {
	ownName string
	// incarnation identifies this start of the process. It is random, because the clock may
	// step back between two starts.
	incarnation uint64
	// peers maps the names of the other gateways to their peer addresses; nil until
	// the list has been read.
	peers atomic.Pointer[map[string]string]

	mu sync.Mutex
	// leftAt is when each gateway that is no longer on the list left it.
	leftAt map[string]time.Time
}

func newGatewayList(p GatewayProcess) *gatewayList {
	return &gatewayList{ownName: p.Settings.Instance, incarnation: rand.Uint64()}
}

// recentGatewayWindow is how long a gateway that left the list still counts. The
// gateways divide some limits among them, and a gateway's part must not grow only
// because the store lost some of the entries.
const recentGatewayWindow = 20 * time.Second

// recentCount returns the number of gateways, including this one, that are on the
// list or left it within recentGatewayWindow.
func (l *gatewayList) recentCount() int {
	peers := l.peers.Load()
	if peers == nil {
		return defaultGatewayCount
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(*peers) + 1
	for _, leftAt := range l.leftAt {
		if time.Since(leftAt) < recentGatewayWindow {
			n++
		}
	}
	return n
}

// listedCount returns the number of gateways on the list, including this one.
func (l *gatewayList) listedCount() int { return len(l.peerAddresses()) + 1 }

// peerAddresses returns the peer addresses of the other gateways by name.
func (l *gatewayList) peerAddresses() map[string]string {
	if peers := l.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// apply replaces the list with the other gateways in the view. Invalid entries are
// logged and ignored.
func (l *gatewayList) apply(view mirror.View, logger *log.Logger) {
	next := make(map[string]string)
	for key, stored := range view.Entries {
		name, ok := strings.CutPrefix(key, gatewaysPrefix)
		if !ok || name == l.ownName {
			continue
		}
		var entry gatewayEntry
		if err := json.Unmarshal(stored.Value, &entry); err != nil {
			logger.Warn("entry of the gateway list cannot be decoded; ignoring it", "key", key, "err", err)
			continue
		}
		if _, err := netip.ParseAddrPort(entry.Peer); err != nil {
			logger.Warn("entry of the gateway list has an invalid peer address; ignoring it", "key", key, "field", "peer", "err", err)
			continue
		}
		next[name] = entry.Peer
	}
	l.recordDepartures(l.peerAddresses(), next)
	l.peers.Store(&next)
}

// recordDepartures records when gateways left the list and forgets those that came
// back or left longer than recentGatewayWindow ago.
func (l *gatewayList) recordDepartures(before, after map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.leftAt == nil {
		l.leftAt = make(map[string]time.Time)
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			l.leftAt[name] = now
		}
	}
	for name, leftAt := range l.leftAt {
		if _, returned := after[name]; returned || now.Sub(leftAt) > recentGatewayWindow {
			delete(l.leftAt, name)
		}
	}
}

// joinGateways adds this gateway to the list and exchanges load states with the
// other gateways.
func joinGateways(p GatewayProcess, t *topology, list *gatewayList, g *gateway.Gateway, m *gossip.Metrics, b *background, lc fx.Lifecycle) error {
	value, err := json.Marshal(gatewayEntry{Peer: p.Settings.Listen.Peer})
	if err != nil {
		return err
	}
	registrar := &presence.Registrar{Store: p.Adapter.Presence, Key: gatewaysPrefix + p.Settings.Instance, Value: value, Generation: p.Adapter.Generations.Current, Contact: t.storeContact, Logger: p.Logger}
	node := gossip.New(gossip.Options{
		Name:        p.Settings.Instance,
		Incarnation: list.incarnation,
		Conn:        p.PeerConn,
		Peers:       list.peerAddresses,
		State:       g.PeerState,
		OnPeerState: g.ReceivePeerState,
		Metrics:     m,
		Logger:      p.Logger,
	})
	g.OnLoadChange(node.Announce)
	lc.Append(fx.StartHook(func() {
		b.run("presence", registrar.Run)
		b.run("gossip", node.Run)
		b.run("scheduler", g.Run)
	}))
	return nil
}
