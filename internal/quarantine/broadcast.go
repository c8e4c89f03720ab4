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

// CrashPath is the path on the peer port where entries exchange crashes.
const CrashPath = "/quarantine/crash"

const (
	// broadcastTimeout limits the wait for one entry. A silent entry must not long
	// delay the innocent requests that shared an engine with the crash. The other
	// entry may need up to a second to answer, see Replica.OnPeerCrash.
	broadcastTimeout = 1500 * time.Millisecond
	maxParallelPeers = 32
	maxCrashBytes    = 64 << 10
	roleEntry        = "entry"
)

// Broadcaster reports a crash to the other entries at once and merges the crashes
// that they know of. The record in the key-value service spreads crashes too, but
// more slowly, and not while the service is unavailable.
type Broadcaster struct {
	Replica *Replica
	Members membership.View
	Self    string
	Client  *http.Client
	Secret  string
}

// Broadcast exchanges the known crashes of a fingerprint with all other entries. An
// entry that does not respond in time learns of them from the key-value service.
func (b *Broadcaster) Broadcast(ctx context.Context, f Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelPeers)
	for _, m := range b.Members.Members() {
		if m.Role != roleEntry || m.Name == b.Self {
			continue
		}
		g.Go(func() error {
			known, err := b.exchangeCrash(ctx, m.PeerAddress, b.Replica.crash(f))
			if err == nil {
				b.Replica.Merge(known)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// exchangeCrash sends a crash to the entry at address and returns the crash of the
// same fingerprint that the entry answers with.
func (b *Broadcaster) exchangeCrash(ctx context.Context, address string, c Crash) (Crash, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Crash{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CrashPath, bytes.NewReader(raw))
	if err != nil {
		return Crash{}, err
	}
	wire.SetSecret(req.Header, b.Secret)
	resp, err := b.Client.Do(req)
	if err != nil {
		return Crash{}, errors.Wrapf(err, "send crash to entry %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Crash{}, errors.Errorf("entry %s refused a crash with status %s", address, resp.Status)
	}
	return readCrash(resp.Body)
}

func readCrash(r io.Reader) (Crash, error) {
	var c Crash
	err := json.NewDecoder(io.LimitReader(r, maxCrashBytes)).Decode(&c)
	return c, err
}

// ServeHTTP responds to Broadcast of another entry. It must be mounted behind
// wire.RequireSecret.
func (rep *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := readCrash(r.Body)
	if err != nil {
		http.Error(w, "malformed crash", http.StatusBadRequest)
		return
	}
	rep.Merge(c)
	if f := rep.onPeerCrash.Load(); f != nil {
		(*f)(r.Context(), c.Fingerprint)
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the other entry is gone and needs no response.
	_ = json.NewEncoder(w).Encode(rep.crash(c.Fingerprint))
}

// OnPeerCrash sets a function that waits until this entry no longer runs any copy of
// the request that started before the crash was known. Only after that does the
// response to Broadcast include every crash that a copy on this entry took part in.
func (rep *Replica) OnPeerCrash(f func(context.Context, Fingerprint)) { rep.onPeerCrash.Store(&f) }

// Merge adds the crashes of a fingerprint that another entry knows of.
func (rep *Replica) Merge(c Crash) {
	if len(c.Upstreams) == 0 {
		return
	}
	rep.applyChange(func(r *Record) bool {
		changed := false
		for _, upstream := range c.Upstreams {
			if r.ReportCrash(c.Fingerprint, upstream) {
				changed = true
			}
		}
		return changed
	})
}

// crash returns the known crashes of a fingerprint.
func (rep *Replica) crash(f Fingerprint) Crash {
	r := rep.current.Load()
	if i := r.find(f); i >= 0 {
		return r.Crashes[i]
	}
	return Crash{Fingerprint: f}
}

// CrashedUpstreams returns the upstreams that crashed while they ran the
// fingerprint.
func (rep *Replica) CrashedUpstreams(f Fingerprint) []string { return rep.crash(f).Upstreams }
