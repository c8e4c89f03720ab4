package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/fleet"
)

// UpstreamKey identifies one start of an upstream in few bytes. Two upstreams of a
// deployment may have the same key; their loads then count for both.
type UpstreamKey uint32

// PlainLoad is the number of calls that a gateway has in progress at an upstream of a
// plain service.
type PlainLoad struct {
	Upstream UpstreamKey
	Calls    int
}

const (
	// plainLoadMaxAge is how long a peer's report of its calls is used: two heartbeats.
	plainLoadMaxAge = 700 * time.Millisecond
	// overfull is the number of calls of all gateways at an upstream, as a multiple of
	// its slots, from which on each gateway uses only its share. Reports are up to 300 ms
	// old, so that a smaller excess does not show that no slot is free.
	overfull = 1.5
)

// upstreamKeyOf returns the key of an instance.
func upstreamKeyOf(i *fleet.Instance) UpstreamKey {
	return UpstreamKey(xxhash.Sum64String(i.ID + "/" + strconv.FormatInt(i.Incarnation, 10)))
}

// plainLoads returns the calls in progress at upstreams of the plain services whose calls
// differ in priority. Those of other services never wait, so no gateway needs them.
func (g *Gateway) plainLoads() []PlainLoad {
	mixed := g.plainQueue.mixedServices()
	if len(mixed) == 0 {
		return nil
	}
	var loads []PlainLoad
	g.Fleet.Snapshot().Each(func(u *fleet.Upstream) {
		i := u.Instance()
		if n := u.InFlight.Load(); n > 0 && i.Slots > 0 && i.Role != fleet.RoleDecode && i.Role != fleet.RolePrefill && slices.Contains(mixed, i.Service) {
			loads = append(loads, PlainLoad{Upstream: upstreamKeyOf(i), Calls: int(n)})
		}
	})
	return loads
}

// callsOfPeers returns the number of calls that other gateways have in progress at the
// upstream, as far as they have reported it lately.
func (t *loadTable) callsOfPeers(u *fleet.Upstream, now time.Time) int {
	key := upstreamKeyOf(u.Instance())
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := 0
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) > plainLoadMaxAge {
			continue
		}
		for _, l := range p.plainLoads {
			if l.Upstream == key {
				calls += l.Calls
			}
		}
	}
	return calls
}
