package cli

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/config"
)

type listCommand struct{ storeFlags }

// Name implements subcommands.Command.
func (*listCommand) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*listCommand) Synopsis() string { return "list the most recent tickets, newest first" }

// Usage implements subcommands.Command.
func (*listCommand) Usage() string { return "list (-kv URL | -config FILE) [-json]\n" }

// listReport is the output of the command.
type listReport struct {
	Revision uint64                `json:"revision"`
	Tickets  []config.TicketRecord `json:"tickets"`
}

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	store, closeStore, err := c.openStore()
	if err != nil {
		return c.reportError(err)
	}
	defer closeStore()
	state, err := store.LoadTickets(ctx)
	if err != nil {
		return c.reportError(err)
	}
	report := listReport{Revision: state.Head.Revision}
	if report.Tickets, err = state.Tickets(); err != nil {
		return c.reportError(err)
	}
	slices.Reverse(report.Tickets)
	if c.json {
		c.env.printJSON(report)
		return subcommands.ExitSuccess
	}
	c.env.printf("configuration revision %d\n", report.Revision)
	w := tabwriter.NewWriter(c.env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TICKET\tREVISION\tOBJECTS\tACCEPTED")
	for _, r := range report.Tickets {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%s\n", r.Ticket, r.Revision, r.Objects,
			time.Unix(r.AcceptedUnix, 0).UTC().Format(time.RFC3339))
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}
