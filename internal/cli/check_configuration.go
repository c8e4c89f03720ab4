package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/platform"
)

// configurationReport is the JSON output of the check of a configuration.
type configurationReport struct {
	OK       bool                          `json:"ok"`
	Faults   []platform.ConfigurationFault `json:"faults,omitempty"`
	Warnings []platform.ConfigurationFault `json:"warnings,omitempty"`
	Error    string                        `json:"error,omitempty"`
}

// checkGatewayConfiguration checks the configuration with the code of the gateway.
func (c *checkCommand) checkGatewayConfiguration() subcommands.ExitStatus {
	value, err := c.readGatewayConfiguration()
	if err != nil {
		if c.json {
			c.env.printJSON(configurationReport{Error: err.Error()})
		} else {
			c.env.errorf("check: %v; name a readable file with -gateway-configuration\n", err)
		}
		return exitInvalidInput
	}
	table, warnings, err := platform.CheckConfiguration(value)
	var faults platform.ConfigurationFaults
	errors.As(err, &faults)
	if c.json {
		c.env.printJSON(configurationReport{OK: err == nil, Faults: faults, Warnings: warnings})
	} else {
		c.printConfigurationReport(table, faults, warnings)
	}
	if err != nil {
		return exitInvalidInput
	}
	return subcommands.ExitSuccess
}

func (c *checkCommand) readGatewayConfiguration() ([]byte, error) {
	if c.gateway == "-" {
		return io.ReadAll(c.env.Stdin)
	}
	return os.ReadFile(c.gateway)
}

func (c *checkCommand) printConfigurationReport(table *routing.Table, faults, warnings []platform.ConfigurationFault) {
	for _, f := range faults {
		c.env.errorf("%s: %s\n", c.gateway, f)
	}
	for _, w := range warnings {
		c.env.errorf("%s: warning: %s\n", c.gateway, w)
	}
	if len(faults) > 0 {
		c.env.errorf("%s: faults: %d, warnings: %d; gateways would keep the version before this one\n", c.gateway, len(faults), len(warnings))
		return
	}
	accounts := "no accounts, so requests need no key"
	if table.Accounts != nil {
		accounts = fmt.Sprintf("%d accounts", len(table.Accounts.All()))
	}
	c.env.printf("%s: no faults, warnings: %d (version %d, %d routes, %s)\n", c.gateway, len(warnings), table.Version, table.RouteCount(), accounts)
}
