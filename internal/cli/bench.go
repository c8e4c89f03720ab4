package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/bench"
)

type benchCommand struct {
	env   Env
	cfg   bench.Config
	json  bool
	sweep bool
	out   string
	seeds int
}

// Bench returns the command that measures the policies in a discrete-event simulation.
func Bench(env Env) subcommands.Command { return &benchCommand{env: env} }

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "measure goodput and wasted prefill of the policies" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return "bench [-profile P] [-load L] [-policy P] [-seed N] [-seeds N] [-fault F] [-json]\n" +
		"bench -sweep -out DIR [-profile P] [-seed N] [-seeds N]\n"
}

// SetFlags implements subcommands.Command.
func (b *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&b.cfg.Profile, "profile", "consortium", "installation and settings: huronbay or consortium")
	f.Float64Var(&b.cfg.Load, "load", 1, "demand as a multiple of the capacity that the upper bound gives")
	f.StringVar(&b.cfg.Policy, "policy", bench.PolicyFescueslip, "fescueslip, random-fcfs or least-loaded")
	f.Uint64Var(&b.cfg.Seed, "seed", 1, "seed of arrivals and choices")
	f.StringVar(&b.cfg.Fault, "fault", bench.FaultNone, "none, crash, stall, cancel or mixed")
	f.Float64Var(&b.cfg.Anticipation, "anticipation", bench.ProfileAnticipation, "0 to 1; negative: the profile's setting")
	f.DurationVar(&b.cfg.Duration, "duration", bench.DefaultDuration, "time during which requests arrive")
	f.StringVar(&b.cfg.SettingsProfile, "settings", "", "use the settings of this profile instead of the profile's own")
	f.BoolVar(&b.json, "json", false, "print the result as JSON")
	f.BoolVar(&b.sweep, "sweep", false, "run all policies over loads and anticipations and write CSV and PNG")
	f.StringVar(&b.out, "out", "", "directory for -sweep")
	f.IntVar(&b.seeds, "seeds", 1, "number of consecutive seeds, starting at -seed; the figures are means")
}

// Execute implements subcommands.Command.
func (b *benchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := b.run(); err != nil {
		b.env.errorf("bench: %v\n", err)
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

func (b *benchCommand) run() error {
	if b.sweep {
		return bench.Sweep(bench.SweepConfig{Base: b.cfg, Seeds: b.seeds, Dir: b.out})
	}
	result, err := bench.RunSeeds(b.cfg, b.seeds)
	if err != nil {
		return err
	}
	if b.json {
		b.env.printJSON(result)
		return nil
	}
	b.print(result)
	return nil
}

func (b *benchCommand) print(r bench.Result) {
	row := func(name string, value any) { b.env.printf("%-28s %v\n", name, value) }
	row("offered", r.Offered)
	row("finished", r.Finished)
	row("refused, not run", r.RefusedNotExecuted)
	row("goodput ratio", round(r.GoodputRatio))
	row("upper bound", round(r.UpperBoundGoodput))
	row("wasted prefill ratio", round(r.WastedPrefillRatio))
	row("first token p50", milliseconds(r.TTFTP50ms))
	row("first token p95", milliseconds(r.TTFTP95ms))
	row("per token p95", milliseconds(r.TPOTP95ms))
	row("fairness max/min", round(r.FairnessMaxOverMin))
	row("quiet caller, first token", round(r.QuietCallerTTFTRatio))
	row("lookup p95", milliseconds(r.LookupP95ms))
	row("lookup p95, models idle", milliseconds(r.IdleLookupP95ms))
	row("leaked tokens", r.LeakedTokens)
	row("duplicate runs", r.DuplicateRuns)
}

func round(v float64) string { return fmt.Sprintf("%.4f", v) }

func milliseconds(v float64) string {
	return time.Duration(v * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}
