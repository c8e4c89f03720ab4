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

// gatewaysPrefix holds a key for each live gateway of the deployment.
const gatewaysPrefix = "fescueslip/gateways/"

// assumedGateways is the number of gateways while the list is unknown.
const assumedGateways = 6

// gatewayEntry is what a gateway writes of itself into the store.
type gatewayEntry struct {
	// Peer is the IP:port at which it hears the others.
	Peer string `json:"peer"`
}

// gatewayList is the list of the deployment's gateways as the store has it.
type gatewayList struct {
	own   string
	peers atomic.Pointer[map[string]string]

	mu sync.Mutex
	// left is when each gateway that is no longer on the list left it.
	left map[string]time.Time
}

func newGatewayList(p GatewayProcess) *gatewayList { return &gatewayList{own: p.Settings.Instance} }

// recentGateways is how long a gateway that left the list still counts: the
// limits that gateways share must not grow because the store forgot some.
const recentGateways = 20 * time.Second

// count returns the number of gateways that were on the list lately, this one
// included.
func (l *gatewayList) count() int {
	peers := l.peers.Load()
	if peers == nil {
		return assumedGateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(*peers) + 1
	for _, at := range l.left {
		if time.Since(at) < recentGateways {
			n++
		}
	}
	return n
}

// listed returns the number of gateways on the list, this one included.
func (l *gatewayList) listed() int { return len(l.others()) + 1 }

// others returns the addresses of the other gateways by name.
func (l *gatewayList) others() map[string]string {
	if peers := l.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

func (l *gatewayList) apply(v mirror.View, logger *log.Logger) {
	next := make(map[string]string)
	for key, e := range v.Entries {
		name, ok := strings.CutPrefix(key, gatewaysPrefix)
		if !ok || name == l.own {
			continue
		}
		var entry gatewayEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			logger.Warn("entry of the gateway list ignored", "key", key, "err", err)
			continue
		}
		if _, err := netip.ParseAddrPort(entry.Peer); err != nil {
			logger.Warn("entry of the gateway list ignored", "key", key, "field", "peer", "err", err)
			continue
		}
		next[name] = entry.Peer
	}
	l.note(l.others(), next)
	l.peers.Store(&next)
}

// note remembers which gateways left the list.
func (l *gatewayList) note(before, after map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.left == nil {
		l.left = make(map[string]time.Time)
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			l.left[name] = now
		}
	}
	for name, at := range l.left {
		if _, back := after[name]; back || now.Sub(at) > recentGateways {
			delete(l.left, name)
		}
	}
}

// joinGateways puts this gateway on the list and exchanges loads with the others.
func joinGateways(p GatewayProcess, l *gatewayList, g *gateway.Gateway, m *gossip.Metrics, b *background, lc fx.Lifecycle) error {
	value, err := json.Marshal(gatewayEntry{Peer: p.Settings.Listen.Peer})
	if err != nil {
		return err
	}
	keeper := &presence.Registrar{Store: p.Adapter.Presence, Key: gatewaysPrefix + p.Settings.Instance, Value: value, Logger: p.Logger}
	node := gossip.New(gossip.Options{
		Name:        p.Settings.Instance,
		Incarnation: rand.Uint64(),
		Conn:        p.PeerConn,
		Peers:       l.others,
		State:       g.PeerState,
		OnPeerState: g.ReceivePeerState,
		Metrics:     m,
		Logger:      p.Logger,
	})
	g.OnLoadChange(node.Announce)
	lc.Append(fx.StartHook(func() {
		b.run("presence", keeper.Run)
		b.run("gossip", node.Run)
		b.run("scheduler", g.Run)
	}))
	return nil
}
