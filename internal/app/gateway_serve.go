package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/admin"
	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// serveReady serves the readiness probe of the load balancer.
func serveReady(p GatewayProcess, t *topology, g *gateway.Gateway, lc fx.Lifecycle) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/ready", func(c *gin.Context) {
		if g.Shutdown.HasBegun() || !t.ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	serveHTTP(p.ReadyListener, engine, p.Logger, lc)
}

// serveGatewayAdmin serves the metrics, the state dump, the explanation of placements and
// the lifting of suspensions on the admin port.
func serveGatewayAdmin(p GatewayProcess, t *topology, g *gateway.Gateway, w *suspensionWriter, m metricsRegistry, lc fx.Lifecycle) {
	engine := gin.New()
	metrics := promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
	engine.GET("/metrics", gin.WrapH(metrics))
	engine.GET("/debug/state", func(c *gin.Context) {
		c.JSON(http.StatusOK, newGatewayState(p, t, g))
	})
	engine.GET(admin.WherePath, gin.WrapH(admin.WhereHandler(g.Where)))
	engine.POST(LiftPath+":fingerprint", func(c *gin.Context) { liftSuspension(c, w, g) })
	serveHTTP(p.AdminListener, engine, p.Logger, lc)
}

// LiftPath is the path on a gateway's admin port, followed by a fingerprint, to which a
// POST lets the requests with this fingerprint run again. It answers 204; 400 if the
// fingerprint is malformed, 404 if it is not suspended, and 503 if the other gateways
// cannot learn of it because the store is away.
const LiftPath = "/suspensions/lift/"

func liftSuspension(c *gin.Context, w *suspensionWriter, g *gateway.Gateway) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(c.Param("fingerprint"))); err != nil {
		c.String(http.StatusBadRequest, "%v", err)
		return
	}
	switch err := w.lift(c, g, f); {
	case errors.Is(err, errNotSuspended):
		c.String(http.StatusNotFound, "%v", err)
	case err != nil:
		c.String(http.StatusServiceUnavailable, "%v", err)
	default:
		c.Status(http.StatusNoContent)
	}
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

// serveClients serves the client port. A planned stop drains it first, unless the process is
// killed.
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
			d := clientDrain{gateway: g, server: server, log: p.Logger}
			d.run(ctx, p.Settings.Shutdown.Grace)
			return nil
		},
	})
}

// metricsRegistry holds the registry that the metrics endpoint reads.
type metricsRegistry struct {
	fx.In
	Registry *prometheus.Registry
}
