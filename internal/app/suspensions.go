package app

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// suspensionsPrefix holds a key for each request that crashes upstreams, by its
// fingerprint. Gateways that start later learn of it there.
const suspensionsPrefix = "fescueslip/suspended/"

const (
	// suspensionWriteTimeout bounds one write of a suspension.
	suspensionWriteTimeout = 2 * time.Second
	// suspensionRetry is the pause after a write that failed.
	suspensionRetry = time.Second
)

// suspensionEntry is what the store keeps of a suspension, for people.
type suspensionEntry struct {
	// By is the gateway that found it.
	By string `json:"by"`
	// Crashed are the upstreams that crashed.
	Crashed []string `json:"crashed"`
}

// shareSuspensions writes the suspensions that this gateway finds into the store.
func shareSuspensions(p GatewayProcess, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	w := suspensionWriter{own: p.Settings.Instance, store: p.Adapter.Presence, log: p.Logger}
	lc.Append(fx.StartHook(func() {
		b.run("suspensions", func(ctx context.Context) error { return w.run(ctx, g.Suspensions()) })
	}))
}

type suspensionWriter struct {
	own   string
	store presence.Store
	log   *log.Logger
}

func (w *suspensionWriter) run(ctx context.Context, found <-chan quarantine.Suspension) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-found:
			w.write(ctx, s)
		}
	}
}

// write tries until the suspension is stored or would soon be over. Several
// gateways may write the same one; the last write stays.
func (w *suspensionWriter) write(ctx context.Context, s quarantine.Suspension) {
	entry := suspensionEntry{By: w.own}
	for _, at := range s.Processes {
		entry.Crashed = append(entry.Crashed, at.Upstream)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		w.log.Error("suspension not shared", "err", err)
		return
	}
	name := s.Fingerprint.String()
	for end := time.Now().Add(quarantine.SuspensionDuration / 2); time.Now().Before(end); {
		if err = w.put(ctx, suspensionsPrefix+name, value); err == nil {
			w.log.Info("suspension shared", "fingerprint", name)
			return
		}
		if !wait.For(ctx, suspensionRetry) {
			return
		}
	}
	w.log.Warn("suspension not shared", "fingerprint", name, "err", err)
}

func (w *suspensionWriter) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, suspensionWriteTimeout)
	defer cancel()
	lease, err := w.store.Grant(ctx, quarantine.SuspensionDuration)
	if err != nil {
		return err
	}
	return w.store.Put(ctx, key, value, lease)
}

// suspensionReader takes the suspensions that other gateways stored.
type suspensionReader struct {
	gateway *gateway.Gateway
	log     *log.Logger
	// seen are the revisions that were taken over.
	seen map[string]uint64
}

func (r *suspensionReader) apply(v mirror.View) {
	for key, e := range v.Entries {
		name, ok := strings.CutPrefix(key, suspensionsPrefix)
		if !ok || r.seen[key] == e.Revision {
			continue
		}
		if r.seen == nil {
			r.seen = make(map[string]uint64)
		}
		r.seen[key] = e.Revision
		var f quarantine.Fingerprint
		if err := f.UnmarshalText([]byte(name)); err != nil {
			r.log.Warn("suspension ignored", "key", key, "store_revision", e.Revision, "err", err)
			continue
		}
		r.gateway.Suspend(f, time.Now())
		r.log.Info("request suspended by another gateway's finding", "fingerprint", name, "store_revision", e.Revision)
	}
	for key := range r.seen {
		if _, stays := v.Entries[key]; !stays {
			delete(r.seen, key)
		}
	}
}
