package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/admin"
	"github.com/fescueslip/fescueslip/internal/cli/version"
	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/peer"
	"github.com/fescueslip/fescueslip/internal/relay"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

// roleParts is what a role adds to the shared parts of a process.
type roleParts struct {
	// streams are the handlers of the peer port beside the control service, by path.
	streams map[string]http.Handler
	// dump returns the role's parts of the state dump.
	dump func() map[string]any
	// drain refuses new work and returns when no accepted work is left.
	drain func(context.Context) error
	// commitIntents serves the ledger's call of other entries; nil on sidecars.
	commitIntents func(context.Context, *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error)
}

// peerService answers the control calls of other processes.
type peerService struct {
	relay  *relay.Relay
	events *telemetry.FlightRecorder
	name   string
	role   roleParts
	stop   func() error
}

// Exchange implements peer.Peer.
func (s *peerService) Exchange(ctx context.Context, req *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	return s.relay.HandleExchange(ctx, req), nil
}

// FetchConfig implements peer.Peer.
func (s *peerService) FetchConfig(_ context.Context, req *peer.FetchConfigRequest) (*peer.FetchConfigResponse, error) {
	return s.relay.HandleFetchConfig(req), nil
}

// Explain implements peer.Peer.
func (s *peerService) Explain(_ context.Context, req *peer.ExplainRequest) (*peer.ExplainResponse, error) {
	resp := &peer.ExplainResponse{Process: s.name}
	for _, e := range s.events.Events(req.RequestId) {
		resp.Events = append(resp.Events, &peer.RequestEvent{
			UnixNanos: e.Time.UnixNano(),
			Attempt:   e.Attempt,
			Kind:      e.Kind,
			Upstream:  e.Upstream,
			Detail:    e.Detail,
		})
	}
	return resp, nil
}

// Drain implements peer.Peer.
func (s *peerService) Drain(context.Context, *peer.DrainRequest) (*peer.DrainResponse, error) {
	return &peer.DrainResponse{}, s.stop()
}

// CommitIntent implements peer.Peer.
func (s *peerService) CommitIntent(ctx context.Context, req *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error) {
	if s.role.commitIntents == nil {
		return nil, errors.New("this process keeps no ledger; ask an entry")
	}
	return s.role.commitIntents(ctx, req)
}

// explainer collects the events of a request from this process and from the
// sidecars that the events name.
type explainer struct {
	name   string
	events *telemetry.FlightRecorder
	view   membership.View
	client *http.Client
	secret string
	log    *log.Logger
}

// explainTimeout bounds the call to one sidecar.
const explainTimeout = 2 * time.Second

func (x *explainer) explain(ctx context.Context, requestID string) []admin.ProcessEvent {
	var out []admin.ProcessEvent
	asked := make(map[string]bool)
	for _, e := range x.events.Events(requestID) {
		out = append(out, admin.ProcessEvent{Process: x.name, Event: e})
		if e.Upstream == "" || asked[e.Upstream] {
			continue
		}
		asked[e.Upstream] = true
		if m, ok := x.view.SidecarOf(e.Upstream); ok && m.Name != x.name {
			out = append(out, x.ask(ctx, m, requestID)...)
		}
	}
	return out
}

func (x *explainer) ask(ctx context.Context, m membership.Member, requestID string) []admin.ProcessEvent {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	resp, err := peer.NewClient(m.PeerAddress, x.client, x.secret).Explain(ctx, &peer.ExplainRequest{RequestId: requestID})
	if err != nil {
		x.log.Warn("sidecar did not tell its part of a request", "request", requestID, "peer", m.Name, "err", err)
		return nil
	}
	var out []admin.ProcessEvent
	for _, e := range resp.Events {
		out = append(out, admin.ProcessEvent{Process: resp.Process, Event: telemetry.Event{
			Time:     time.Unix(0, e.UnixNanos),
			Attempt:  e.Attempt,
			Kind:     e.Kind,
			Upstream: e.Upstream,
			Detail:   e.Detail,
		}})
	}
	return out
}

func serveAdmin(lc fx.Lifecycle, p Process, c peerClient, id *identity, holder *config.Holder, r *relay.Relay, table *membership.Table,
	events *telemetry.FlightRecorder, registry *prometheus.Registry, role roleParts, control func() controlState, sd fx.Shutdowner, logger *log.Logger) {
	state := func() admin.State {
		m := id.member()
		parts := role.dump()
		parts["relay"] = r.State()
		parts["control"] = control()
		parts["members"] = memberStates(table.Members())
		return admin.State{
			Instance:       m.Name,
			Role:           m.Role,
			Upstream:       m.Upstream,
			FailureDomain:  m.FailureDomain,
			Incarnation:    m.Incarnation,
			Version:        version.Build,
			ConfigRevision: m.ConfigRevision,
			Ready:          readiness(id, holder, table) == nil,
			Leaving:        id.leaving(),
			Parts:          parts,
		}
	}
	explain := &explainer{
		name:   p.Settings.Instance,
		events: events,
		view:   table,
		client: c.Client,
		secret: p.Settings.PeerSecret,
		log:    logger,
	}
	handler := admin.NewHandler(admin.Options{
		State:    state,
		Ready:    func() error { return readiness(id, holder, table) },
		Registry: registry,
		Explain:  explain.explain,
		Drain:    func(context.Context) error { return sd.Shutdown() },
	})
	serve(lc, p, p.AdminListener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, logger)
}

// readiness tells why the process should get no requests yet, or nil.
func readiness(id *identity, holder *config.Holder, table *membership.Table) error {
	switch {
	case id.leaving():
		return errors.New("leaving: send new work to another instance")
	case holder.Snapshot() == nil:
		return errors.New("no configuration yet: check that the key-value service or a peer is reachable and that a ticket was applied")
	case len(table.Members()) == 0:
		return errors.New("no members known yet: check that the instance list or a peer is reachable")
	default:
		return nil
	}
}

type memberState struct {
	Name           string `json:"name"`
	Role           string `json:"role"`
	Upstream       string `json:"upstream,omitempty"`
	FailureDomain  string `json:"failure_domain"`
	Incarnation    uint64 `json:"incarnation"`
	State          string `json:"state"`
	ConfigRevision uint64 `json:"config_revision"`
}

func memberStates(members []membership.Member) []memberState {
	list := make([]memberState, len(members))
	for i, m := range members {
		list[i] = memberState{
			Name:           m.Name,
			Role:           m.Role,
			Upstream:       m.Upstream,
			FailureDomain:  m.FailureDomain,
			Incarnation:    m.Incarnation,
			State:          m.State.String(),
			ConfigRevision: m.ConfigRevision,
		}
	}
	return list
}

// serve runs a server from start to stop of the process.
func serve(lc fx.Lifecycle, p Process, l net.Listener, srv *http.Server, logger *log.Logger) {
	// The HTTP library reports broken connections, which are part of normal work.
	srv.ErrorLog = logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !p.killed() {
					logger.Error("server ended", "address", l.Addr().String(), "err", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.killed() {
				return srv.Close()
			}
			// Idle connections of peers stay open; they carry no request any more.
			short, cancel := context.WithTimeout(ctx, closeTimeout)
			defer cancel()
			if srv.Shutdown(short) != nil {
				return srv.Close()
			}
			return nil
		},
	})
}
