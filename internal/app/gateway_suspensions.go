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

// suspensionsPrefix is the prefix of the store keys of requests that are suspended
// because they crash upstreams; the rest of the key is the request's fingerprint.
// Gateways that start later learn of the suspensions from these keys.
const suspensionsPrefix = "fescueslip/suspended/"

const (
	// suspensionWriteTimeout limits one attempt to write a suspension.
	suspensionWriteTimeout = 2 * time.Second
	// suspensionRetryDelay is the delay after a failed write.
	suspensionRetryDelay = time.Second
)

// suspensionEntry is the value of a suspension in the store. Only operators read it.
type suspensionEntry struct {
	// By is the gateway that detected the crashes.
	By string `json:"by"`
	// Crashed lists the upstreams that crashed while running the request.
	Crashed []string `json:"crashed"`
}

// shareSuspensions writes this gateway's own suspensions to the store.
func shareSuspensions(p GatewayProcess, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	w := suspensionWriter{ownName: p.Settings.Instance, store: p.Adapter.Presence, log: p.Logger}
	lc.Append(fx.StartHook(func() {
		b.run("suspensions", func(ctx context.Context) error { return w.run(ctx, g.Suspensions()) })
	}))
}

// suspensionWriter writes the suspensions that this gateway found to the store.
type suspensionWriter struct {
	ownName string
	store   presence.Store
	log     *log.Logger
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

// write stores the suspension and retries for up to half of its duration. Several
// gateways may write the same suspension; the last write wins.
func (w *suspensionWriter) write(ctx context.Context, s quarantine.Suspension) {
	entry := suspensionEntry{By: w.ownName}
	for _, process := range s.Processes {
		entry.Crashed = append(entry.Crashed, process.Upstream)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		w.log.Error("suspension not shared", "err", err)
		return
	}
	name := s.Fingerprint.String()
	for deadline := time.Now().Add(quarantine.SuspensionDuration / 2); time.Now().Before(deadline); {
		if err = w.put(ctx, suspensionsPrefix+name, value); err == nil {
			w.log.Info("suspension shared", "fingerprint", name)
			return
		}
		if !wait.For(ctx, suspensionRetryDelay) {
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

// suspensionReader applies the suspensions that other gateways stored.
type suspensionReader struct {
	gateway *gateway.Gateway
	log     *log.Logger
	// appliedRevisions maps keys to the store revision that was applied last.
	appliedRevisions map[string]uint64
}

// apply suspends the requests whose suspensions in the view were not applied yet, and
// forgets those that are no longer in the view.
func (r *suspensionReader) apply(view mirror.View) {
	for key, entry := range view.Entries {
		name, ok := strings.CutPrefix(key, suspensionsPrefix)
		if !ok || r.appliedRevisions[key] == entry.Revision {
			continue
		}
		if r.appliedRevisions == nil {
			r.appliedRevisions = make(map[string]uint64)
		}
		r.appliedRevisions[key] = entry.Revision
		var fingerprint quarantine.Fingerprint
		if err := fingerprint.UnmarshalText([]byte(name)); err != nil {
			r.log.Warn("suspension has an invalid fingerprint; ignoring it", "key", key, "store_revision", entry.Revision, "err", err)
			continue
		}
		r.gateway.Suspend(fingerprint, time.Now())
		r.log.Info("request suspended because another gateway stored its suspension", "fingerprint", name, "store_revision", entry.Revision)
	}
	for key := range r.appliedRevisions {
		if _, present := view.Entries[key]; !present {
			delete(r.appliedRevisions, key)
		}
	}
}
