package cli

import (
	"context"
	"flag"
	"net"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/app"
	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/telemetry"
	"github.com/fescueslip/fescueslip/platform"
)

type gatewayCommand struct {
	env    Env
	config string
}

// Gateway returns the command that runs a gateway until it is stopped.
func Gateway(env Env) subcommands.Command { return &gatewayCommand{env: env} }

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string {
	return "serve clients straight at upstreams that reserve their own memory"
}

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string {
	return `gateway [-config FILE]
  Serves clients until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP
  reads the settings again. Without -config, the file is the one that the
  environment variable ` + platform.SettingsPathVariable + ` names.
  Log lines go to standard output.
  Exit code 2 when the settings have faults, 1 when the process cannot start.
`
}

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", os.Getenv(platform.SettingsPathVariable), "settings file (YAML)")
}

const (
	// heapLimitRatio is the Go memory limit as a fraction of the process's memory
	// limit. The garbage collector runs more often when the heap gets close to it.
	heapLimitRatio = 0.6
	// gcPercent is below the default of 100, which uses more processor time to save
	// memory.
	gcPercent = 60
)

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		c.env.errorf("gateway: name the settings file with -config FILE\n")
		return exitInvalidInput
	}
	reload := notifyHangup()
	s, err := settings.LoadGateway(c.config)
	if err != nil {
		return c.env.reportSettingsError("gateway", err)
	}
	debug.SetMemoryLimit(int64(float64(s.Memory.Limit) * heapLimitRatio))
	debug.SetGCPercent(gcPercent)
	logWriter := telemetry.NewAsyncWriter(c.env.Stdout)
	defer func() { _ = logWriter.Close() }()
	logger, err := telemetry.NewLogger(logWriter, telemetry.LogFormat(s.Log.Format), s.Log.Level)
	if err != nil {
		c.env.errorf("gateway: %v\n", err)
		return exitInvalidInput
	}
	logger = logger.With("instance", s.Instance)
	p, err := c.process(s, logger, reload)
	p.LogDropped = logWriter.Dropped
	if err != nil {
		logger.Error("opening the listeners failed", "err", err)
		return subcommands.ExitFailure
	}
	return runGateway(ctx, p)
}

// process returns the app.GatewayProcess for the settings, with open listeners.
func (c *gatewayCommand) process(s *settings.Gateway, logger *log.Logger, reload <-chan os.Signal) (app.GatewayProcess, error) {
	pool := exchange.NewPool(nil)
	p := app.GatewayProcess{
		Settings:     s,
		SettingsPath: c.config,
		Adapter:      platform.NewAdapter(s.StoreAddress, pool),
		Pool:         pool,
		Logger:       logger,
		Reload:       reload,
	}
	if err := p.Listen(func(address string) (net.Listener, error) { return net.Listen("tcp", address) }); err != nil {
		return p, err
	}
	var err error
	p.PeerConn, err = net.ListenPacket("udp", s.Listen.Peer)
	return p, err
}

// runGateway runs a gateway until a signal ends ctx.
func runGateway(ctx context.Context, p app.GatewayProcess) subcommands.ExitStatus {
	a := fx.New(app.GatewayOptions(p))
	if err := startProcess(ctx, a); err != nil {
		p.Logger.Error("starting the gateway failed", "err", err)
		return subcommands.ExitFailure
	}
	p.Logger.Info("started", "client", p.Settings.Listen.Client, "failure_domain", p.Settings.FailureDomain)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.StopTimeout())
	defer cancel()
	return stopProcess(stopCtx, a, p.Logger)
}
