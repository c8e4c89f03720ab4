// Package cli implements the subcommands of the fescueslip binary.
package cli

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/cli/version"
)

// Main runs the subcommand given on the command line and returns its exit code:
// 0 for success, 1 for failure, 2 for wrong usage or invalid settings. The extra
// commands come from packages that this package must not import.
func Main(extra ...subcommands.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range append(commands(), extra...) {
		subcommands.Register(c, "")
	}
	flag.Parse()
	return int(subcommands.Execute(ctx))
}

func commands() []subcommands.Command {
	env := OSEnv()
	return []subcommands.Command{
		Serve(env),
		Gateway(env),
		Check(env),
		Ticket(env),
		Quarantine(env),
		Demo(env),
		Dump(env),
		Explain(env),
		Where(env),
		Fairness(env),
		Bench(env),
		&version.Command{},
	}
}
