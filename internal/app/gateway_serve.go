package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// serveReady answers the balancer's probe.
func serveReady(p GatewayProcess, t *topology, g *gateway.Gateway, lc fx.Lifecycle) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/ready", func(c *gin.Context) {
		if g.ShuttingDown() || !t.ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	serveHTTP(p.ReadyListener, engine, p.Logger, lc)
}

// serveGatewayAdmin serves metrics and the state dump.
func serveGatewayAdmin(p GatewayProcess, t *topology, g *gateway.Gateway, m meterParts, lc fx.Lifecycle) {
	engine := gin.New()
	metrics := promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
	engine.GET("/metrics", gin.WrapH(metrics))
	engine.GET("/debug/state", func(c *gin.Context) {
		c.JSON(http.StatusOK, dumpGateway(p, t, g))
	})
	serveHTTP(p.AdminListener, engine, p.Logger, lc)
}

func serveHTTP(l net.Listener, h http.Handler, logger *log.Logger, lc fx.Lifecycle) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: logger.StandardLog()}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// adminHeaderTimeout bounds the header of a request to the ready and admin ports.
const adminHeaderTimeout = 3 * time.Second

// serveClients serves the client port until the shutdown has drained it.
func serveClients(p GatewayProcess, g *gateway.Gateway, tables *routing.Holder, b *background, lc fx.Lifecycle) {
	server := newClientServer(p.ClientListener, g, p.Logger)
	tables.OnReplace(func(t *routing.Table) { server.setLimits(t.Limits) })
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.run("clients", server.run)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.KillContext != nil && p.KillContext.Err() != nil {
				server.close()
				return nil
			}
			p.Logger.Info("shutdown begins", "in_flight", g.InFlight())
			drainClients(ctx, g, p.Settings.Shutdown.Grace)
			p.Logger.Info("client port closes", "in_flight", g.InFlight())
			server.close()
			return nil
		},
	})
}

const (
	// stopReserve is the part of the grace period that the end of the process needs.
	stopReserve = 500 * time.Millisecond
	// balancerNotice is how long the balancer goes on sending new connections to
	// an instance that is not ready: two probes, a second apart, and their time-outs.
	balancerNotice = 3500 * time.Millisecond
	// drainPoll is how often the requests in progress are counted.
	drainPoll = 20 * time.Millisecond
)

// drainClients waits until no request is in progress and none can come, but no
// longer than the grace period.
func drainClients(ctx context.Context, g *gateway.Gateway, grace time.Duration) {
	began := time.Now()
	g.BeginShutdown(began)
	for {
		waited := time.Since(began)
		if waited >= grace-stopReserve || ctx.Err() != nil {
			return
		}
		if waited >= balancerNotice && g.InFlight() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// meterParts receives the registry that the metrics are read from.
type meterParts struct {
	fx.In
	Registry *prometheus.Registry
}
