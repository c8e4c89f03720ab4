// Package admin serves the operator's port of a process: the state dump,
// metrics and health.
package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// State is the dump of one process. It holds no secrets: callers' keys appear
// as hashes only.
type State struct {
	Instance       string         `json:"instance"`
	Role           string         `json:"role"`
	Upstream       string         `json:"upstream,omitempty"`
	FailureDomain  string         `json:"failure_domain"`
	Incarnation    uint64         `json:"incarnation"`
	Version        string         `json:"version"`
	ConfigRevision uint64         `json:"config_revision"`
	Ready          bool           `json:"ready"`
	Leaving        bool           `json:"leaving"`
	Parts          map[string]any `json:"parts"`
}

// ProcessEvent is an event of a request and the process that recorded it.
type ProcessEvent struct {
	Process string `json:"process"`
	telemetry.Event
}

// Options are the dependencies of the admin handler.
type Options struct {
	State    func() State
	Ready    func() error
	Registry *prometheus.Registry
	// Explain returns the events of a request that this process and the
	// sidecars it used recorded.
	Explain func(ctx context.Context, requestID string) []ProcessEvent
	// Drain starts a graceful shutdown.
	Drain func(ctx context.Context) error
}

// NewHandler returns the handler of the admin port.
func NewHandler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.State()) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := o.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /debug/explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, o.Explain(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		if err := o.Drain(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{}))
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// A failed write means that the reader is gone.
	_ = enc.Encode(v)
}
