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

// roleComponents holds what a role adds to the components that all roles share.
type roleComponents struct {
	// streams maps paths to the handlers that the peer port serves in addition to the
	// control service.
	streams map[string]http.Handler
	// stateParts returns the role's parts of the state dump, by name.
	stateParts func() map[string]any
	// drain refuses new work and returns when all accepted work has finished.
	drain func(context.Context) error
	// commitIntent handles the ledger calls of other entries; nil on sidecars.
	commitIntent func(context.Context, *peer.CommitIntentRequest) (*peer.CommitIntentResponse, error)
}

// peerService implements the control service that peers call.
type peerService struct {
	relay  *relay.Relay
	events *telemetry.FlightRecorder
	name   string
	role   roleComponents
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
	if s.role.commitIntent == nil {
		return nil, errors.New("this process keeps no ledger; ask an entry")
	}
	return s.role.commitIntent(ctx, req)
}

// explainer collects the events of a request from this process and from the
// sidecars of the upstreams that occur in them.
type explainer struct {
	name   string
	events *telemetry.FlightRecorder
	view   membership.View
	client *http.Client
	secret string
	log    *log.Logger
}

// explainTimeout limits the call to one sidecar.
const explainTimeout = 2 * time.Second

// explain returns the events of a request that this process recorded. The first event
// that names an upstream is followed by the events that the upstream's sidecar recorded.
func (x *explainer) explain(ctx context.Context, requestID string) []admin.ProcessEvent {
	var all []admin.ProcessEvent
	queried := make(map[string]bool)
	for _, e := range x.events.Events(requestID) {
		all = append(all, admin.ProcessEvent{Process: x.name, Event: e})
		if e.Upstream == "" || queried[e.Upstream] {
			continue
		}
		queried[e.Upstream] = true
		if m, ok := x.view.SidecarOf(e.Upstream); ok && m.Name != x.name {
			all = append(all, x.fetchSidecarEvents(ctx, m, requestID)...)
		}
	}
	return all
}

// fetchSidecarEvents returns the events that a sidecar recorded of a request, or none
// if the call fails.
func (x *explainer) fetchSidecarEvents(ctx context.Context, m membership.Member, requestID string) []admin.ProcessEvent {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	resp, err := peer.NewClient(m.PeerAddress, x.client, x.secret).Explain(ctx, &peer.ExplainRequest{RequestId: requestID})
	if err != nil {
		x.log.Warn("sidecar did not return its events of a request", "request", requestID, "peer", m.Name, "err", err)
		return nil
	}
	var list []admin.ProcessEvent
	for _, e := range resp.Events {
		list = append(list, admin.ProcessEvent{Process: resp.Process, Event: telemetry.Event{
			Time:     time.Unix(0, e.UnixNanos),
			Attempt:  e.Attempt,
			Kind:     e.Kind,
			Upstream: e.Upstream,
			Detail:   e.Detail,
		}})
	}
	return list
}

func serveAdmin(lc fx.Lifecycle, p Process, c peerClient, id *identity, holder *config.Holder, r *relay.Relay, table *membership.Table,
	events *telemetry.FlightRecorder, registry *prometheus.Registry, role roleComponents, readTraffic func() controlTraffic, sd fx.Shutdowner, logger *log.Logger) {
	state := func() admin.State {
		m := id.member()
		parts := role.stateParts()
		parts["relay"] = r.State()
		parts["control"] = readTraffic()
		parts["members"] = memberStates(table.Members())
		return admin.State{
			Instance:       m.Name,
			Role:           m.Role,
			Upstream:       m.Upstream,
			FailureDomain:  m.FailureDomain,
			Incarnation:    m.Incarnation,
			Version:        version.Build,
			ConfigRevision: m.ConfigRevision,
			Ready:          checkReady(id, holder, table) == nil,
			Leaving:        id.isLeaving(),
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
		Ready:    func() error { return checkReady(id, holder, table) },
		Registry: registry,
		Explain:  explain.explain,
		Drain:    func(context.Context) error { return sd.Shutdown() },
	})
	serve(lc, p, p.AdminListener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, logger)
}

// checkReady returns an error with the reason if the process should receive no
// requests.
func checkReady(id *identity, holder *config.Holder, table *membership.Table) error {
	switch {
	case id.isLeaving():
		return errors.New("leaving: send new work to another instance")
	case holder.Snapshot() == nil:
		return errors.New("no configuration yet: check that the key-value service or a peer is reachable and that a ticket was applied")
	case len(table.Members()) == 0:
		return errors.New("no members known yet: check that the instance list or a peer is reachable")
	default:
		return nil
	}
}

// memberState is the JSON form of a member in the state of a process.
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

// serve runs a server while the process runs. A graceful stop closes connections that
// are still open after idleCloseTimeout; a killed process closes them at once.
func serve(lc fx.Lifecycle, p Process, l net.Listener, srv *http.Server, logger *log.Logger) {
	// net/http logs broken connections, which are normal, so its messages get level
	// debug.
	srv.ErrorLog = logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !p.killed() {
					logger.Error("server stopped unexpectedly", "address", l.Addr().String(), "err", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.killed() {
				return srv.Close()
			}
			// Peers keep idle connections open. They carry no requests any more, so
			// they are closed after a short wait.
			closeCtx, cancel := context.WithTimeout(ctx, idleCloseTimeout)
			defer cancel()
			if srv.Shutdown(closeCtx) != nil {
				return srv.Close()
			}
			return nil
		},
	})
}
