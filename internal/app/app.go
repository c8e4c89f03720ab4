// Package app assembles the processes of the system with fx. Entries and sidecars
// share one module and have one module for each role; GatewayOptions assembles a
// gateway.
package app

import (
	"context"
	"net"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// Process holds the external dependencies of an entry or a sidecar: its settings,
// listeners, clients and logger. The demo passes listeners and a dialer of its own.
type Process struct {
	Settings *settings.Settings
	// Incarnation distinguishes the runs of the same instance; it grows with each start.
	Incarnation uint64

	CallerListener net.Listener // entries only
	PeerListener   net.Listener
	AdminListener  net.Listener

	// KillContext simulates a crash: once it is cancelled, stopping the process skips
	// the graceful shutdown. Nil means that the shutdown is always graceful.
	KillContext context.Context

	Dial      wire.DialFunc
	KV        kvservice.KV
	Instances kvservice.InstanceLister
	Logger    *log.Logger
}

func (p Process) killed() bool { return p.KillContext != nil && p.KillContext.Err() != nil }

// Options returns the fx options of an entry or a sidecar.
func Options(p Process) fx.Option {
	role := entryModule
	if p.Settings.Role == settings.RoleSidecar {
		role = sidecarModule
	}
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(p),
		commonModule,
		role,
	)
}
