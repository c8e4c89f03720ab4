package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// BuildVersion is the version of the binary; releases set it with -ldflags.
var BuildVersion = "dev"

// Version prints the version of the binary.
type Version struct{}

// Name implements subcommands.Command.
func (*Version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*Version) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*Version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("fescueslip %s (%s)\n", BuildVersion, runtime.Version())
	return subcommands.ExitSuccess
}
