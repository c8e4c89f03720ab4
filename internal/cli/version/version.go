// Package version holds the version of the binary and the command that prints it.
package version

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// Build is the version of the binary; release builds set it with -ldflags.
var Build = "dev"

// Command prints the version of the binary.
type Command struct{}

// Name implements subcommands.Command.
func (*Command) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("fescueslip %s (%s)\n", Build, runtime.Version())
	return subcommands.ExitSuccess
}
