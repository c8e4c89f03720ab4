package cli

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/app"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/internal/wire"
)

type serveCommand struct {
	env    Env
	config string
}

// Serve returns the command that runs an entry or a sidecar until it is stopped.
func Serve(env Env) subcommands.Command { return &serveCommand{env: env} }

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an entry or a sidecar" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -config FILE
  Runs the role that the settings name until SIGTERM or SIGINT, then shuts down
  gracefully: it refuses new work and waits for the requests in progress.
  A second signal ends the process at once. SIGHUP has no effect.
  Exit code 2 when the settings have faults, 1 when the process cannot start.
`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file (YAML)")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		c.env.errorf("serve: name the settings file with -config FILE\n")
		return exitInvalidInput
	}
	hangup := notifyHangup()
	s, err := settings.Load(c.config)
	if err != nil {
		return c.env.reportSettingsError("serve", err)
	}
	process, err := c.process(ctx, s)
	if err != nil {
		c.env.errorf("serve: %v\n", err)
		return subcommands.ExitFailure
	}
	return c.run(ctx, process, hangup)
}

// process returns the app.Process for the settings, with open listeners and with
// clients of the platform's services.
func (c *serveCommand) process(ctx context.Context, s *settings.Settings) (app.Process, error) {
	logger, err := telemetry.NewLogger(c.env.Stderr, telemetry.LogFormat(s.Log.Format), s.Log.Level)
	if err != nil {
		return app.Process{}, err
	}
	p := app.Process{
		Settings: s,
		Dial:     wire.DefaultDial(),
		Logger:   logger.With("instance", s.Instance),
	}
	if p.KV, err = kvservice.NewClient(kvservice.ClientOptions{URL: s.Platform.KV}); err != nil {
		return p, err
	}
	if p.Instances, err = kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: s.Platform.Instances}); err != nil {
		return p, err
	}
	p.Incarnation = incarnation(ctx, p)
	return p, listen(&p)
}

// incarnationTimeout limits the read of the instance list at startup.
const incarnationTimeout = 2 * time.Second

// incarnation returns a number above the incarnations of the instance's earlier
// runs. The clock alone is not enough, because it may have stepped back since the
// previous run; the instance list still shows the incarnation of that run.
func incarnation(ctx context.Context, p app.Process) uint64 {
	next := uint64(time.Now().UnixNano())
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	list, err := p.Instances.List(ctx)
	if err != nil {
		p.Logger.Warn("instance list cannot be read at startup; the incarnation is derived from the clock alone", "err", err)
		return next
	}
	for _, instance := range list {
		if instance.Name == p.Settings.Instance {
			next = max(next, instance.Incarnation+1)
		}
	}
	return next
}

// listen opens the listeners of the process's role at the addresses in the settings.
func listen(p *app.Process) error {
	s := p.Settings
	var err error
	if s.Role == settings.RoleEntry {
		if p.CallerListener, err = net.Listen("tcp", s.Listen.Caller); err != nil {
			return err
		}
	}
	if p.PeerListener, err = net.Listen("tcp", s.Listen.Peer); err != nil {
		return err
	}
	p.AdminListener, err = net.Listen("tcp", s.Listen.Admin)
	return err
}

// run runs the role until it is told to stop.
func (c *serveCommand) run(ctx context.Context, p app.Process, hangup <-chan os.Signal) subcommands.ExitStatus {
	a := fx.New(app.Options(p))
	if err := startProcess(ctx, a); err != nil {
		c.env.errorf("serve: %v\n", err)
		return subcommands.ExitFailure
	}
	p.Logger.Info("started", "role", p.Settings.Role, "peer", p.PeerListener.Addr().String(), "admin", p.AdminListener.Addr().String())
	awaitStop(ctx, a, hangup, p.Logger)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.StopTimeout())
	defer cancel()
	second := make(chan os.Signal, 1)
	signal.Notify(second, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(second)
	go func() {
		select {
		case <-second:
			p.Logger.Error("second signal received; aborting the requests in progress")
			cancel()
		case <-stopCtx.Done():
		}
	}()
	return stopProcess(stopCtx, a, p.Logger)
}

// notifyHangup returns a channel that receives SIGHUP, which ends the process before.
func notifyHangup() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// startProcess starts a process. A signal, which ends ctx, does not break the start off: what has
// been started is stopped in order then.
func startProcess(ctx context.Context, a *fx.App) error {
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.StartTimeout())
	defer cancel()
	return a.Start(startCtx)
}

// awaitStop waits until the process is told to stop: by a signal, which ends ctx, or by an
// operator who drains it.
func awaitStop(ctx context.Context, a *fx.App, hangup <-chan os.Signal, logger *log.Logger) {
	done := a.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case <-hangup:
			logger.Warn("SIGHUP ignored: the settings are read at the start only; restart the process to change them")
		}
	}
}

// stopProcess shuts a process down, logs the result and returns the exit code.
func stopProcess(ctx context.Context, a *fx.App, logger *log.Logger) subcommands.ExitStatus {
	if err := a.Stop(ctx); err != nil {
		logger.Error("shutdown failed", "err", err)
		return subcommands.ExitFailure
	}
	logger.Info("stopped")
	return subcommands.ExitSuccess
}
