package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// CrashPath is the path of the peer port under which entries tell each other
// of crashes.
const CrashPath = "/quarantine/crash"

const (
	// shareTimeout bounds the wait for one entry: a silent one must not hold up
	// the innocent requests that shared an engine with the crash for long.
	// Settling takes up to a second, see Keeper.OnShare.
	shareTimeout  = 1500 * time.Millisecond
	shareParallel = 32
	maxShareBytes = 64 << 10
	roleEntry     = "entry"
)

// Broadcaster tells the other entries of a crash at once and learns what they know.
// The record in the key-value service does the same more slowly, and not at
// all while the service is down.
type Broadcaster struct {
	Replica *Replica
	Members membership.View
	Self    string
	Client  *http.Client
	Secret  string
}

// Broadcast exchanges what is known of a fingerprint with all other entries. One
// that does not answer in time learns of it from the key-value service.
func (s *Broadcaster) Broadcast(ctx context.Context, f Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(shareParallel)
	for _, m := range s.Members.Members() {
		if m.Role != roleEntry || m.Name == s.Self {
			continue
		}
		g.Go(func() error {
			known, err := s.exchange(ctx, m.PeerAddress, s.Replica.crash(f))
			if err == nil {
				s.Replica.Merge(known)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (s *Broadcaster) exchange(ctx context.Context, address string, c Crash) (Crash, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Crash{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CrashPath, bytes.NewReader(raw))
	if err != nil {
		return Crash{}, err
	}
	wire.SetSecret(req.Header, s.Secret)
	resp, err := s.Client.Do(req)
	if err != nil {
		return Crash{}, errors.Wrap(err, "share crash")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Crash{}, errors.Errorf("share crash: %s", resp.Status)
	}
	return readCrash(resp.Body)
}

func readCrash(r io.Reader) (Crash, error) {
	var c Crash
	err := json.NewDecoder(io.LimitReader(r, maxShareBytes)).Decode(&c)
	return c, err
}

// ServeHTTP answers Share of another entry. Mount it behind wire.RequireSecret.
func (k *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := readCrash(r.Body)
	if err != nil {
		http.Error(w, "malformed crash", http.StatusBadRequest)
		return
	}
	k.Merge(c)
	if f := k.settle.Load(); f != nil {
		(*f)(r.Context(), c.Fingerprint)
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the other entry is gone.
	_ = json.NewEncoder(w).Encode(k.crash(c.Fingerprint))
}

// OnPeerCrash sets a function that returns when this entry runs no copy of a
// fingerprint any more that began before the crash was known. Only then does
// the answer to Share count every crash that a copy here took part in.
func (k *Replica) OnPeerCrash(f func(context.Context, Fingerprint)) { k.settle.Store(&f) }

// Merge takes over the crashes that another entry knows of a fingerprint.
func (k *Replica) Merge(c Crash) {
	if len(c.Upstreams) == 0 {
		return
	}
	k.apply(func(r *Record) bool {
		changed := false
		for _, upstream := range c.Upstreams {
			if r.ReportCrash(c.Fingerprint, upstream) {
				changed = true
			}
		}
		return changed
	})
}

// crash returns what is known of a fingerprint.
func (k *Replica) crash(f Fingerprint) Crash {
	r := k.current.Load()
	if i := r.find(f); i >= 0 {
		return r.Crashes[i]
	}
	return Crash{Fingerprint: f}
}

// CrashedUpstreams returns the upstreams that crashed while they ran the fingerprint.
func (k *Replica) CrashedUpstreams(f Fingerprint) []string { return k.crash(f).Upstreams }
