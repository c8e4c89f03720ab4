package app

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/leadership"
	"github.com/fescueslip/fescueslip/internal/mirror"
	"github.com/fescueslip/fescueslip/internal/presence"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// suspensionsPrefix is the prefix of the store keys of suspensions, by which requests
// are refused because they crash upstreams. The rest of the key is the fingerprint that
// requests must have to be refused, or a hash of several such fingerprints. Gateways
// that start later learn of the suspensions from these keys.
const suspensionsPrefix = ownPrefix + "suspended/"

// liftedPrefix follows suspensionsPrefix in the keys of fingerprints that an operator
// has let run again. The rest of the key is the fingerprint.
const liftedPrefix = "lifted/"

const (
	// suspensionWriteTimeout limits one attempt to write a suspension.
	suspensionWriteTimeout = 2 * time.Second
	// suspensionRetryDelay is the delay after a failed write.
	suspensionRetryDelay = time.Second
)

// suspensionEntry is the value of a suspension in the store.
type suspensionEntry struct {
	// By is the gateway that detected the crashes.
	By string `json:"by"`
	// Crashed lists the upstreams that crashed while running the request.
	Crashed []string `json:"crashed"`
	// Subjects lists the fingerprints that a request must have to be refused. It is
	// missing in entries of an earlier release, whose key holds the only one.
	Subjects []quarantine.Fingerprint `json:"subjects,omitempty"`
	// WrittenAt is the revision at which the suspension was written first. It is missing
	// unless a restoration of the store undid that and a gateway wrote it again.
	WrittenAt *revision.Revision `json:"written_at,omitempty"`
}

// liftEntry is the value of a lift in the store.
type liftEntry struct {
	// By is the gateway that the operator asked.
	By string `json:"by"`
	// WrittenAt is as in suspensionEntry.
	WrittenAt *revision.Revision `json:"written_at,omitempty"`
}

// writtenAt returns the revision at which the value of a suspension or a lift was written
// first. It orders suspensions and lifts over restorations of the store.
func writtenAt(entry mirror.Entry) revision.Revision {
	var value struct {
		WrittenAt *revision.Revision `json:"written_at"`
	}
	if err := json.Unmarshal(entry.Value, &value); err != nil || value.WrittenAt == nil {
		return entry.Revision
	}
	return *value.WrittenAt
}

// upstreamsOf returns the names of the upstreams to which the processes belong.
func upstreamsOf(processes []quarantine.Process) []string {
	var out []string
	for _, p := range processes {
		out = append(out, p.Upstream)
	}
	return out
}

// suspensionName returns the last part of the key of a suspension.
func suspensionName(s quarantine.Suspension) string {
	if len(s.Subjects) == 1 {
		return s.Subjects[0].String()
	}
	var parts [][]byte
	for _, f := range s.Subjects {
		parts = append(parts, f[:])
	}
	return quarantine.FingerprintOf(parts...).String()
}

func newSuspensionWriter(p GatewayProcess, gateways *gatewayList) *suspensionWriter {
	return &suspensionWriter{
		ownName:    p.Settings.Instance,
		store:      p.Adapter.Presence,
		creator:    p.Adapter.Leadership,
		generation: p.Adapter.Generations.Current,
		gateways:   gateways.recentCount,
		log:        p.Logger,
		undone:     make(map[string]mirror.Entry),
	}
}

// shareSuspensions writes this gateway's own suspensions to the store, and those that a
// restoration undid.
func shareSuspensions(w *suspensionWriter, g *gateway.Gateway, b *background, lc fx.Lifecycle) {
	lc.Append(fx.StartHook(func() {
		b.run("suspensions", func(ctx context.Context) error { return w.run(ctx, g.Suspensions()) })
		b.run("undone suspensions", w.runUndone)
	}))
}

// suspensionWriter writes the suspensions that this gateway found, and the lifts that an
// operator asked it for, to the store.
type suspensionWriter struct {
	ownName string
	store   presence.Store
	creator leadership.Store
	// generation returns the generation of the store, and gateways the number of
	// gateways.
	generation func() uint64
	gateways   func() int
	log        *log.Logger

	mu sync.Mutex
	// undone holds the entries that a restoration of the store undid and that nobody has
	// written again yet, by key.
	undone map[string]mirror.Entry
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
	entry := suspensionEntry{By: w.ownName, Crashed: upstreamsOf(s.Processes), Subjects: s.Subjects}
	value, err := json.Marshal(entry)
	if err != nil {
		w.log.Error("suspension not shared", "err", err)
		return
	}
	name := suspensionName(s)
	for deadline := time.Now().Add(quarantine.SuspensionDuration / 2); time.Now().Before(deadline); {
		if err = w.put(ctx, suspensionsPrefix+name, value); err == nil {
			w.log.Info("suspension shared", "name", name)
			return
		}
		if !wait.For(ctx, suspensionRetryDelay) {
			return
		}
	}
	w.log.Warn("suspension not shared", "name", name, "err", err)
}

func (w *suspensionWriter) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, suspensionWriteTimeout)
	defer cancel()
	lease, err := w.grant(ctx)
	if err != nil {
		return err
	}
	return w.store.Put(ctx, key, value, lease)
}

// grant creates a lease for the time of a suspension.
func (w *suspensionWriter) grant(ctx context.Context) (uint64, error) {
	return w.store.Grant(ctx, quarantine.SuspensionDuration)
}

// errNotSuspended is the error of a lift of a fingerprint that is not suspended.
var errNotSuspended = errors.New("no request is suspended because of this fingerprint; /debug/state lists the suspensions")

// lift lets the requests with a fingerprint run again, here at once and at the other
// gateways as soon as they have read it from the store.
func (w *suspensionWriter) lift(ctx context.Context, g *gateway.Gateway, f quarantine.Fingerprint) error {
	if !g.LiftSuspension(f, time.Now()) {
		return errNotSuspended
	}
	value, err := json.Marshal(liftEntry{By: w.ownName})
	if err != nil {
		return err
	}
	if err := w.put(ctx, suspensionsPrefix+liftedPrefix+f.String(), value); err != nil {
		return errors.Wrap(err, "lifted here only; repeat the command when the store can be reached")
	}
	w.log.Info("suspension lifted by an operator", "subject", f)
	return nil
}

// suspensionReader applies the suspensions that other gateways stored, and the lifts.
type suspensionReader struct {
	gateway *gateway.Gateway
	writer  *suspensionWriter
	log     *log.Logger
	// appliedRevisions maps keys to the revision at which the value that was applied last
	// was written first.
	appliedRevisions map[string]revision.Revision
}

// apply suspends the requests whose suspensions in the view were not applied yet,
// lifts what operators have lifted since, and forgets keys that are no longer in the
// view.
func (r *suspensionReader) apply(view mirror.View) {
	r.writer.noteUndone(view)
	lifts := r.applyLifts(view)
	for key, entry := range view.Entries {
		name, ok := strings.CutPrefix(key, suspensionsPrefix)
		if !ok || strings.HasPrefix(name, liftedPrefix) || !r.isNew(key, writtenAt(entry)) {
			continue
		}
		suspension, err := readSuspension(name, entry.Value)
		if err != nil {
			r.log.Warn("suspension cannot be decoded; ignoring it", "key", key, "store_revision", entry.Revision, "err", err)
			continue
		}
		if lifts.after(suspension, writtenAt(entry)) {
			continue
		}
		r.gateway.Suspend(suspension, time.Now())
		r.log.Info("request suspended because another gateway stored its suspension", "subjects", suspension.Subjects, "store_revision", entry.Revision)
	}
	for key := range r.appliedRevisions {
		if _, present := view.Entries[key]; !present {
			delete(r.appliedRevisions, key)
		}
	}
}

// isNew reports whether the revision of the key was not applied yet, and records it.
func (r *suspensionReader) isNew(key string, at revision.Revision) bool {
	if r.appliedRevisions[key] == at {
		return false
	}
	if r.appliedRevisions == nil {
		r.appliedRevisions = make(map[string]revision.Revision)
	}
	r.appliedRevisions[key] = at
	return true
}

// liftRevisions maps fingerprints that operators have lifted to the store revisions of
// the lifts.
type liftRevisions map[quarantine.Fingerprint]revision.Revision

// after reports whether a subject of a suspension was lifted after the revision.
func (l liftRevisions) after(s quarantine.Suspension, at revision.Revision) bool {
	for _, f := range s.Subjects {
		if l[f].After(at) {
			return true
		}
	}
	return false
}

// applyLifts applies the lifts in the view that were not applied yet, and returns all
// lifts in the view.
func (r *suspensionReader) applyLifts(view mirror.View) liftRevisions {
	lifts := make(liftRevisions)
	for key, entry := range view.Entries {
		name, ok := strings.CutPrefix(key, suspensionsPrefix+liftedPrefix)
		if !ok {
			continue
		}
		var f quarantine.Fingerprint
		if err := f.UnmarshalText([]byte(name)); err != nil {
			if r.isNew(key, entry.Revision) {
				r.log.Warn("lift of a suspension names no fingerprint; ignoring it", "key", key, "err", err)
			}
			continue
		}
		lifts[f] = writtenAt(entry)
		if r.isNew(key, lifts[f]) && r.gateway.LiftSuspension(f, time.Now()) {
			r.log.Info("suspension lifted by an operator at another gateway", "subject", f, "store_revision", entry.Revision)
		}
	}
	return lifts
}

// readSuspension decodes a suspension. name is the last part of its key.
func readSuspension(name string, value []byte) (quarantine.Suspension, error) {
	var entry suspensionEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return quarantine.Suspension{}, errors.Wrap(err, "decode suspension")
	}
	s := quarantine.Suspension{Subjects: entry.Subjects}
	if len(s.Subjects) == 0 {
		var f quarantine.Fingerprint
		if err := f.UnmarshalText([]byte(name)); err != nil {
			return quarantine.Suspension{}, err
		}
		s.Subjects = []quarantine.Fingerprint{f}
	}
	for _, upstream := range entry.Crashed {
		s.Processes = append(s.Processes, quarantine.Process{Upstream: upstream})
	}
	return s, nil
}
