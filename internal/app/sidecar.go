package app

import (
	"context"
	"net/http"
	"net/url"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/plain"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/sidecar"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

var sidecarModule = fx.Module("sidecar",
	fx.Provide(newSidecarComponents),
	fx.Invoke(servePeers, drainOnStop),
)

type sidecarDeps struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Process    Process
	Background *background
	Config     config.Source
	Holder     *config.Holder
	KV         kvservice.KV
	Events     *telemetry.FlightRecorder
	Meter      metric.Meter
	Logger     *log.Logger
}

func newSidecarComponents(d sidecarDeps) (roleComponents, error) {
	if d.Process.Settings.Upstream.Kind == settings.UpstreamService {
		return newServiceSidecar(d)
	}
	return newModelSidecar(d)
}

func newServiceSidecar(d sidecarDeps) (roleComponents, error) {
	s := d.Process.Settings
	sc := plain.NewSidecar(plain.SidecarOptions{
		Upstream: s.Upstream.Name,
		Instance: s.Instance,
		Target:   &url.URL{Scheme: "http", Host: s.Upstream.Address},
		Dial:     d.Process.Dial,
		Config:   d.Config,
		Logger:   d.Logger,
	})
	return roleComponents{
		streams:    map[string]http.Handler{"/plain/": sc.Handler()},
		stateParts: func() map[string]any { return map[string]any{"service": sc.State()} },
		drain:      sc.Drain,
	}, sc.RegisterMetrics(d.Meter)
}

func newModelSidecar(d sidecarDeps) (roleComponents, error) {
	s := d.Process.Settings
	engineURL := "http://" + s.Upstream.Address
	client := engine.NewHTTPClient(engine.HTTPOptions{BaseURL: engineURL, Dial: engine.DialFunc(d.Process.Dial)})
	sc := sidecar.New(sidecar.Options{
		Upstream:    s.Upstream.Name,
		Instance:    s.Instance,
		Incarnation: d.Process.Incarnation,
		Engine:      client,
		EngineURL:   engineURL,
		Config:      d.Config,
		Events:      d.Events,
		Logger:      d.Logger,
		KV:          d.KV,
	})
	d.Lifecycle.Append(fx.StartHook(func() {
		d.Background.run("sidecar", func(ctx context.Context) error {
			// Without a policy the sidecar cannot decide which request to grant.
			if _, err := d.Holder.WaitForRevision(ctx, 1); err != nil {
				return err
			}
			return sc.Run(ctx)
		})
	}))
	return roleComponents{
		streams:    map[string]http.Handler{"/stream/": sc.Handler()},
		stateParts: func() map[string]any { return map[string]any{"engine": sc.State()} },
		drain:      sc.Drain,
	}, sc.Observe(d.Meter)
}
