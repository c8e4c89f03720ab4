// Package app wires the packages of a process with fx: one module that all
// roles share, and one module for each role.
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

// Process is what a process gets from outside: its settings and its contact
// with the network. Tests and the demo pass listeners of their own.
type Process struct {
	Settings *settings.Settings
	// Incarnation tells lives of the same process apart; it grows with each start.
	Incarnation uint64

	CallerListener net.Listener // entries only
	PeerListener   net.Listener
	AdminListener  net.Listener

	// Life ends when the process is killed: the stop that follows skips the
	// graceful shutdown. Nil means that the process is only ever stopped.
	KillContext context.Context

	Dial      wire.DialFunc
	KV        kvservice.KV
	Instances kvservice.InstanceLister
	Logger    *log.Logger
}

func (p Process) killed() bool { return p.KillContext != nil && p.KillContext.Err() != nil }

// Options returns the fx options of a process.
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
