// Package cli holds the subcommands of the fescueslip binary.
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

// Main runs the subcommand that the arguments name and returns its exit code:
// 0 success, 1 failure, 2 wrong usage or invalid settings. The further commands
// come from packages that this one must not depend on.
func Main(further ...subcommands.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range append(commands(), further...) {
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
		Fairness(env),
		Bench(env),
		&version.Command{},
	}
}
