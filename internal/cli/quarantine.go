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
	lift string
}

// Quarantine returns the command that lists and lifts quarantines.
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
	return `quarantine (-kv URL | -config FILE) [-json] [-lift FINGERPRINT]
  Lists each fingerprint with the upstreams that crashed while they ran it; two
  upstreams mean that it is refused. -lift removes one. The sidecars whose engines
  crashed remember the request for an hour, or until they restart; until then it
  is quarantined again when it is sent. Exit code 1 when the fingerprint is not
  on record.
`
}

// SetFlags implements subcommands.Command.
func (c *quarantineCommand) SetFlags(f *flag.FlagSet) {
	c.storeFlags.SetFlags(f)
	f.StringVar(&c.lift, "lift", "", "fingerprint to remove")
}

// Execute implements subcommands.Command.
func (c *quarantineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.resolve(); err != nil {
		return c.fail(err)
	}
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: c.kv, Dial: c.env.Dial})
	if err != nil {
		return c.fail(err)
	}
	defer kv.Close()
	if c.lift != "" {
		return c.remove(ctx, kv)
	}
	record, err := quarantine.ReadRecord(ctx, kv)
	if err != nil {
		return c.fail(err)
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

func (c *quarantineCommand) remove(ctx context.Context, kv kvservice.KV) subcommands.ExitStatus {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(c.lift)); err != nil {
		return c.fail(err)
	}
	found, err := quarantine.Lift(ctx, kv, f)
	if err != nil {
		return c.fail(err)
	}
	if !found {
		c.env.errorf("quarantine: %s is not on record; list the fingerprints without -lift\n", c.lift)
		return subcommands.ExitFailure
	}
	c.env.printf("%s may run again\n", c.lift)
	return subcommands.ExitSuccess
}
