package cli

import (
	"context"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

type checkCommand struct {
	env     Env
	config  string
	gateway string
	json    bool
}

// Check returns the command that validates a settings file or a configuration of gateways.
func Check(env Env) subcommands.Command { return &checkCommand{env: env} }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string {
	return "check a settings file, or a configuration of gateways, and list all faults"
}

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check -config FILE [-json]
check -gateway-configuration FILE [-json]
  The second form checks the configuration of gateways, in the form in which the
  store holds it, as gateways do; FILE may be - for standard input. Keys of client
  accounts are never printed.
  Exit code 0: no faults; there may be warnings. Exit code 2: the file has faults
  or cannot be read.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file of the process")
	f.StringVar(&c.gateway, "gateway-configuration", "", "configuration of gateways as the store holds it (JSON), or - for standard input")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// checkReport is the JSON output of the command.
type checkReport struct {
	OK     bool               `json:"ok"`
	Faults []strictyaml.Fault `json:"faults,omitempty"`
	Error  string             `json:"error,omitempty"`
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	switch {
	case (c.config == "") == (c.gateway == ""):
		c.env.errorf("check: give either a settings file with -config or a configuration with -gateway-configuration\n")
		return subcommands.ExitUsageError
	case c.gateway != "":
		return c.checkGatewayConfiguration()
	}
	loaded, err := settings.Load(c.config)
	if err != nil {
		c.reportFaults(err)
		return exitInvalidInput
	}
	if c.json {
		c.env.printJSON(checkReport{OK: true})
		return subcommands.ExitSuccess
	}
	c.env.printf("%s: no faults (role %s, instance %s)\n", c.config, loaded.Role, loaded.Instance)
	return subcommands.ExitSuccess
}

// reportFaults prints all faults of the settings file, or the error if it cannot be
// read.
func (c *checkCommand) reportFaults(err error) {
	if !c.json {
		c.env.errorf("%v\n", err)
		return
	}
	var faults *strictyaml.Error
	if errors.As(err, &faults) {
		c.env.printJSON(checkReport{Faults: faults.Faults})
		return
	}
	c.env.printJSON(checkReport{Error: err.Error()})
}
