package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

// versionPin restricts a call to the upstreams of one software version. The zero value
// restricts nothing.
type versionPin struct {
	version string
	set     bool
}

// allows reports whether the call may be sent to the instance.
func (p versionPin) allows(i *fleet.Instance) bool { return !p.set || p.version == i.SoftwareVersion }

// StreamOrigin is the software version that began a stream.
type StreamOrigin struct {
	// Key identifies the attempt of the client that brought the first event; see
	// streamKey.
	Key     uint64
	Version string
	// Begun is the time at which the last run of the stream began.
	Begun time.Time
}

// streamKey returns the key of the stream that the client's attempt with this ID began.
func streamKey(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}

const (
	// OriginLifetime is how long the version of a stream is remembered after its last run
	// began. Clients take a stream up within their own deadline.
	OriginLifetime = 30 * time.Second
	// maxOrigins limits the streams that are remembered. The memory of one is about 100
	// bytes.
	maxOrigins = 64 << 10
	// maxReportedOrigins limits the streams in one message.
	maxReportedOrigins = 512
)

// streamOrigins remembers which software version began the streams that clients may take
// up. It is safe for concurrent use.
type streamOrigins struct {
	mu    sync.Mutex
	known map[uint64]StreamOrigin
	// own lists the streams that this gateway began, the oldest first, and reported is the
	// number of those that other gateways have been told.
	own      []StreamOrigin
	reported int
	// seen holds when each software version of a service was listed last.
	seen map[string]map[string]time.Time
	// overlaps holds the services that have had several versions lately, by what gateways
	// recorded in the store. It knows of the time before this process started.
	overlaps map[string]bool
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{known: make(map[uint64]StreamOrigin), seen: make(map[string]map[string]time.Time)}
}

// begin records a stream that this gateway begins or goes on with.
func (s *streamOrigins) begin(o StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(o)
	s.own = append(s.own, o)
}

// add remembers a stream. The caller holds s.mu.
func (s *streamOrigins) add(o StreamOrigin) {
	if old, known := s.known[o.Key]; known && old.Begun.After(o.Begun) {
		return
	}
	if len(s.known) < maxOrigins {
		s.known[o.Key] = o
	}
}

// find returns the version that began the stream, if it is known.
func (s *streamOrigins) find(key uint64, now time.Time) (version string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.known[key]
	return o.Version, known && now.Sub(o.Begun) < OriginLifetime
}

// report returns the streams of this gateway that other gateways have not been told, or
// all of them.
func (s *streamOrigins) report(onlyNew bool, now time.Time) []StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	from := 0
	if onlyNew {
		from = s.reported
	}
	s.reported = len(s.own)
	from = max(from, len(s.own)-maxReportedOrigins)
	return append([]StreamOrigin(nil), s.own[from:]...)
}

// apply takes over what another gateway reports.
func (s *streamOrigins) apply(reports []StreamOrigin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range reports {
		s.add(o)
	}
}

// expire forgets old streams. The caller holds s.mu.
func (s *streamOrigins) expire(now time.Time) {
	old := 0
	for old < len(s.own) && now.Sub(s.own[old].Begun) >= OriginLifetime {
		old++
	}
	s.own = s.own[old:]
	s.reported = max(0, s.reported-old)
}

// prune forgets old streams and versions, and records the versions that are listed.
func (s *streamOrigins) prune(f *fleet.Snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for key, o := range s.known {
		if now.Sub(o.Begun) >= OriginLifetime {
			delete(s.known, key)
		}
	}
	f.Each(func(u *fleet.Upstream) { s.noteVersion(u.Instance(), now) })
	for service, versions := range s.seen {
		for version, at := range versions {
			if now.Sub(at) >= OriginLifetime {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(s.seen, service)
		}
	}
}

// noteVersion records that a version is listed. The caller holds s.mu.
func (s *streamOrigins) noteVersion(i *fleet.Instance, now time.Time) {
	versions := s.seen[i.Service]
	if versions == nil {
		versions = make(map[string]time.Time)
		s.seen[i.Service] = versions
	}
	versions[i.SoftwareVersion] = now
}

// replaceOverlaps replaces the services that have had several versions lately.
func (s *streamOrigins) replaceOverlaps(services map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overlaps = services
}

// onlyVersion returns the software version of a service if no other has been listed within
// OriginLifetime, by what this process has seen and what was recorded before.
func (s *streamOrigins) onlyVersion(service string, listed []string, now time.Time) (version string, only bool) {
	if len(listed) != 1 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overlaps[service] {
		return "", false
	}
	for version, at := range s.seen[service] {
		if version != listed[0] && now.Sub(at) < OriginLifetime {
			return "", false
		}
	}
	return listed[0], true
}

// originOf returns the ID of the client's attempt that began the stream of the call.
func originOf(c *Call) string {
	if c.ResumeAfter != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// pinVersion returns the restriction for a call that takes a stream up: the version that
// began it. It is an error if that version is not known and there are several, or if no
// upstream of it takes requests.
func (g *Gateway) pinVersion(c *Call, now time.Time) (versionPin, *fault.Error) {
	if c.ResumeAfter == "" || !c.Route.Resumable {
		return versionPin{}, nil
	}
	snapshot := g.Fleet.Snapshot()
	version, known := g.origins.find(streamKey(originOf(c)), now)
	if !known {
		version, known = g.origins.onlyVersion(c.Service.Name, snapshot.SoftwareVersions(c.Service.Name), now)
	}
	if !known {
		return versionPin{}, originUnknownError(g.modelRetryAfter()).WithCause(errors.Errorf("stream of attempt %s", originOf(c)))
	}
	pin := versionPin{version: version, set: true}
	if !g.canGoOn(c.Service.Name, pin) {
		return pin, versionGoneError(version)
	}
	return pin, nil
}

// ReplaceVersionOverlaps tells the gateway which services have had several software versions within
// OriginLifetime, by what gateways recorded. The map must not be changed afterwards.
func (g *Gateway) ReplaceVersionOverlaps(services map[string]bool) {
	g.origins.replaceOverlaps(services)
}

// canGoOn reports whether a stream with this restriction can be run now.
func (g *Gateway) canGoOn(service string, pin versionPin) bool {
	for _, u := range g.Fleet.Snapshot().Service(service) {
		i := u.Instance()
		if u.Usable() && pin.allows(i) && i.Role != fleet.RolePrefill {
			return true
		}
	}
	return false
}

// recordOrigin records that an upstream begins or goes on with the stream of the call, and
// tells the other gateways: clients may take the stream up at any of them.
func (g *Gateway) recordOrigin(c *Call, i *fleet.Instance) {
	if !c.Route.Resumable {
		return
	}
	g.origins.begin(StreamOrigin{Key: streamKey(originOf(c)), Version: i.SoftwareVersion, Begun: time.Now()})
	g.announce()
}
