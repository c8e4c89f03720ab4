package ledger

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/go-faster/errors"
)

// Record describes the outcome of a caller's key. It is the body of GET
// /v1/outcomes/{key}.
type Record struct {
	Key string `json:"key"`
	// State is "running", "done", "unknown" or "not-run".
	State   string        `json:"state"`
	Outcome fault.Outcome `json:"outcome"`
	// AgeSeconds is a lower bound of the time since the request was recorded.
	AgeSeconds float64 `json:"age_s"`
	// Status is the HTTP status of the service's response, when State is "done".
	Status int `json:"status,omitempty"`
	// Answer is the service's response, when it was small enough to keep.
	Answer *RecordAnswer `json:"answer,omitempty"`
}

// RecordAnswer is a kept response.
type RecordAnswer struct {
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body"`
}

// Lookup returns the outcome of a caller's key. It reads the key-value service, so
// that all entries give the same result.
func (l *Ledger) Lookup(ctx context.Context, caller, key string) (Record, error) {
	hash := HashKey(caller, key)
	shard := l.shards[shardOf(hash)]
	intent, now, err := shard.lookup(ctx, hash)
	if errors.Is(err, errStaleHead) {
		intent, now, err = shard.lookup(ctx, hash)
	}
	if err != nil {
		return Record{}, fault.New(fault.KindStoreUnavailable, "look the key up again later",
			"the outcome cannot be read now").WithOutcome(fault.Unknown).WithRetryAfter(retryAfterUnavailable).WithCause(err)
	}
	if intent == nil || intent.expired(now) {
		return Record{}, fault.New(fault.KindKeyNotFound, "check the key; keys are kept for 24 h",
			"no request with this key is on record").WithOutcome(fault.Unknown)
	}
	return record(key, *intent, now), nil
}

// record describes the outcome of an intent to the caller that used the key.
func record(key string, i Intent, now Clock) Record {
	state := i.StateAt(now)
	r := Record{Key: key, State: state.String(), Outcome: fault.Unknown, AgeSeconds: now.since(i.CommittedAt).Seconds()}
	switch state {
	case NotRun:
		r.Outcome = fault.NotRun
	case Done:
		r.Outcome = fault.Ran
		r.Status = i.Answer.Status
		if i.Answer.BodyKept {
			r.Answer = &RecordAnswer{ContentType: i.Answer.ContentType, Body: string(i.Answer.Body)}
		}
	}
	return r
}

// ServeOutcome serves GET /v1/outcomes/{key} for an authenticated caller.
func (l *Ledger) ServeOutcome(w http.ResponseWriter, r *http.Request, caller *config.Caller, key string) {
	rec, err := l.Lookup(r.Context(), caller.Name, key)
	if err != nil {
		fault.From(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(fault.OutcomeHeader, string(rec.Outcome))
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(rec)
}

// lookup returns the intent of a key, or nil, and the shard's clock.
func (s *shard) lookup(ctx context.Context, k KeyHash) (*Intent, Clock, error) {
	e, err := s.store.get(ctx, s.store.headKey())
	if err != nil {
		return nil, 0, err
	}
	h, err := decodeHead(e.Value)
	if err != nil {
		return nil, 0, err
	}
	now := s.clockAnchor.clockAt(e.Index, h.clock)
	if i, ok := h.intents[k]; ok {
		return &i, now, nil
	}
	if err := s.index.load(ctx, h.segments); err != nil {
		return nil, 0, err
	}
	i, err := s.index.find(ctx, h.segments, k)
	return i, now, err
}

// clockAnchor relates the clock of the newest observed head to this process's
// monotonic time. It follows one head index at a time: time that passed since an
// older head must not be added to the age of intents that were committed after it.
type clockAnchor struct {
	mu    sync.Mutex
	index uint64
	clock Clock
	at    time.Time
}

// clockAt returns the current shard clock, given the head that is in force.
func (a *clockAnchor) clockAt(index uint64, clock Clock) Clock {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at.IsZero() || index > a.index {
		a.index, a.clock, a.at = index, clock, time.Now()
	}
	if index < a.index {
		return clock
	}
	return a.clock.plus(time.Since(a.at))
}
