package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/demo"
	"github.com/fescueslip/fescueslip/internal/telemetry"
)

const (
	defaultBasePort  = 18080
	demoStartTimeout = 10 * time.Second
)

type demoCommand struct {
	env      Env
	basePort int
	duration time.Duration
	logLevel string
	load     demo.Load
}

// Demo returns the command that runs the whole system on loopback, with stand-ins
// for the engines, the services and the platform.
func Demo(env Env) subcommands.Command { return &demoCommand{env: env} }

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run the whole system on loopback" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-base-port P] [-for 20s [-seed N] [-model-rate R] [-lookup-rate R] [-booking-rate R]]
  Entries for callers on ports P and P+1, their admin ports on P+10 and P+11,
  the stand-ins' control on P+9, the platform's key-value service on P+2 and its
  instance list on P+3. With -for it runs a mixed load that long,
  prints a table and exits with 1 if a promise broke.
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.basePort, "base-port", defaultBasePort, "first port")
	f.DurationVar(&c.duration, "for", 0, "run a mixed load this long, then exit")
	c.load = demo.DefaultLoad(0)
	f.Float64Var(&c.load.ModelRate, "model-rate", c.load.ModelRate, "with -for: model requests per second")
	f.Float64Var(&c.load.LookupRate, "lookup-rate", c.load.LookupRate, "with -for: lookups per second")
	f.Float64Var(&c.load.BookingRate, "booking-rate", c.load.BookingRate, "with -for: bookings per second")
	f.Uint64Var(&c.load.Seed, "seed", c.load.Seed, "with -for: seed of the load")
	f.StringVar(&c.logLevel, "log-level", "error", "debug, info, warn or error")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger, err := telemetry.NewLogger(c.env.Stderr, telemetry.LogTerminal, c.logLevel)
	if err != nil {
		c.env.errorf("demo: %v\n", err)
		return exitInvalidInput
	}
	options := demo.DefaultOptions()
	options.Network = new(demo.TCPNetwork)
	options.Addresses = demo.LoopbackAddresses(c.basePort)
	options.Logger = logger
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	fleet, err := demo.Start(startCtx, options)
	if err != nil {
		c.env.errorf("demo: %v\n", err)
		return subcommands.ExitFailure
	}
	defer fleet.Stop()
	c.env.printf("ready\n")
	printExamples(c.env.Stdout, c.basePort)
	if c.duration <= 0 {
		<-ctx.Done()
		return subcommands.ExitSuccess
	}
	c.load.Duration = c.duration
	report := fleet.Run(ctx, c.load)
	report.Print(c.env.Stdout)
	if len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printExamples(w io.Writer, basePort int) {
	_, _ = fmt.Fprintf(w, `
curl -N http://127.0.0.1:%[1]d/v1/chat/completions -H 'Authorization: Bearer demo-caller-a' \
  -d '{"model":"demo-model","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello there"}]}'
curl http://127.0.0.1:%[2]d/v1/completions -H 'Authorization: Bearer demo-caller-b' \
  -d '{"model":"demo-model","max_tokens":20,"prompt":"Hello there"}'
curl http://127.0.0.1:%[1]d/orders/book -H 'Authorization: Bearer demo-caller-a' -H 'Idempotency-Key: k1' -d '{"id":"order-1"}'
curl http://127.0.0.1:%[2]d/orders/status/order-1 -H 'Authorization: Bearer demo-caller-a'
curl http://127.0.0.1:%[2]d/v1/outcomes/k1 -H 'Authorization: Bearer demo-caller-a'
curl http://127.0.0.1:%[3]d/faults -d '{"target":"decode-1","kind":"crash","for":"5s"}'
curl http://127.0.0.1:%[3]d/state
curl http://127.0.0.1:%[4]d/debug/state
fescueslip ticket list -kv http://127.0.0.1:%[5]d

`, basePort, basePort+1, basePort+9, basePort+10, basePort+2)
}
