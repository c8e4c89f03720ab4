package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

type quarantineCommand struct {
	storeFlags
	lift    string
	gateway string
}

// Quarantine returns the command that lists quarantined requests and lifts
// quarantines.
func Quarantine(env Env) subcommands.Command {
	return &quarantineCommand{storeFlags: storeFlags{env: env}}
}

// Name implements subcommands.Command.
func (*quarantineCommand) Name() string { return "quarantine" }

// Synopsis implements subcommands.Command.
func (*quarantineCommand) Synopsis() string {
	return "list requests that crashed upstreams, or let one run again"
}

// Usage implements subcommands.Command.
func (*quarantineCommand) Usage() string {
	return `quarantine (-kv URL | -config FILE | -gateway ADMIN) [-json] [-lift FINGERPRINT]
  Lists each fingerprint with the upstreams that crashed while they ran it; two
  upstreams mean that it is refused. -lift removes one. The sidecars whose engines
  crashed remember the request for an hour, or until they restart; until then it
  is quarantined again when it is sent. With -gateway, the admin address of any
  gateway: lists the suspensions in force there, and -lift lets the requests with
  a fingerprint run again at all gateways. Exit code 1 when the fingerprint is not
  on record.
`
}

// SetFlags implements subcommands.Command.
func (c *quarantineCommand) SetFlags(f *flag.FlagSet) {
	c.storeFlags.SetFlags(f)
	f.StringVar(&c.lift, "lift", "", "fingerprint to remove")
	f.StringVar(&c.gateway, "gateway", "", "admin address of a gateway, host:port")
}

// Execute implements subcommands.Command.
func (c *quarantineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.gateway != "" {
		return c.executeAtGateway(ctx)
	}
	if err := c.resolveURLs(); err != nil {
		return c.reportError(err)
	}
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: c.kv, Dial: c.env.Dial})
	if err != nil {
		return c.reportError(err)
	}
	defer kv.Close()
	if c.lift != "" {
		return c.liftFingerprint(ctx, kv)
	}
	record, err := quarantine.ReadRecord(ctx, kv)
	if err != nil {
		return c.reportError(err)
	}
	if c.json {
		c.env.printJSON(record)
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(c.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FINGERPRINT\tUPSTREAMS THAT CRASHED")
	for _, crash := range record.Crashes {
		name, _ := crash.Fingerprint.MarshalText()
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, strings.Join(crash.Upstreams, ", "))
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}

func (c *quarantineCommand) liftFingerprint(ctx context.Context, kv kvservice.KV) subcommands.ExitStatus {
	var fingerprint quarantine.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(c.lift)); err != nil {
		return c.reportError(err)
	}
	found, err := quarantine.Lift(ctx, kv, fingerprint)
	if err != nil {
		return c.reportError(err)
	}
	if !found {
		c.env.errorf("quarantine: %s is not on record; list the fingerprints without -lift\n", c.lift)
		return subcommands.ExitFailure
	}
	c.env.printf("%s may run again\n", c.lift)
	return subcommands.ExitSuccess
}
