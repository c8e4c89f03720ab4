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

// serveReady serves the readiness probe of the load balancer.
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

// serveGatewayAdmin serves the metrics and the state dump on the admin port.
func serveGatewayAdmin(p GatewayProcess, t *topology, g *gateway.Gateway, m metricsRegistry, lc fx.Lifecycle) {
	engine := gin.New()
	metrics := promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
	engine.GET("/metrics", gin.WrapH(metrics))
	engine.GET("/debug/state", func(c *gin.Context) {
		c.JSON(http.StatusOK, newGatewayState(p, t, g))
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

// adminHeaderTimeout limits the time to read a request header on the ready, admin
// and control ports.
const adminHeaderTimeout = 3 * time.Second

// serveClients serves the client port. At shutdown it waits for the requests in
// progress, unless the process is killed.
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
			p.Logger.Info("closing the client port", "in_flight", g.InFlight())
			server.close()
			return nil
		},
	})
}

const (
	// shutdownReserve is the part of the grace period that is kept for the rest of the
	// shutdown.
	shutdownReserve = 500 * time.Millisecond
	// balancerDetectionTime is how long the load balancer keeps sending new connections
	// to an instance that is not ready: two probes, one second apart, and their
	// timeouts.
	balancerDetectionTime = 3500 * time.Millisecond
	// drainPollInterval is how often the number of requests in progress is checked.
	drainPollInterval = 20 * time.Millisecond
)

// drainClients waits until no request is in progress and the load balancer sends no
// new ones, but no longer than the grace period minus shutdownReserve.
func drainClients(ctx context.Context, g *gateway.Gateway, grace time.Duration) {
	start := time.Now()
	g.BeginShutdown(start)
	for {
		waited := time.Since(start)
		if waited >= grace-shutdownReserve || ctx.Err() != nil {
			return
		}
		if waited >= balancerDetectionTime && g.InFlight() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// metricsRegistry holds the registry that the metrics endpoint reads.
type metricsRegistry struct {
	fx.In
	Registry *prometheus.Registry
}
