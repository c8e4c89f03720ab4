package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/admin"
)

type explainCommand struct {
	admin   adminFlag
	request string
	logs    bool
}

// Explain returns the command that prints the events of one request in all processes.
func Explain(env Env) subcommands.Command { return &explainCommand{admin: adminFlag{env: env}} }

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell what happened to one request" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain -request ID [-admin host:port,…]
explain -request ID -logs [FILE…]
  ID is the response header X-Request-Id; behind a gateway, the id that the client
  sent. With -logs, the request's way is read from log lines in the files, or from
  standard input. Exit code 1 when nothing is known of the request.
`
}

// SetFlags implements subcommands.Command.
func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	e.admin.register(f)
	f.StringVar(&e.request, "request", "", "request id")
	f.BoolVar(&e.logs, "logs", false, "read log lines of gateways instead of asking processes")
}

// Execute implements subcommands.Command.
func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.request == "" {
		e.admin.env.errorf("explain: name the request with -request ID\n")
		return subcommands.ExitUsageError
	}
	if e.logs {
		return e.explainFromLogs(f.Args())
	}
	var events []admin.ProcessEvent
	for _, address := range e.admin.addressList() {
		found, err := fetchEvents(ctx, address, e.request)
		if err != nil {
			e.admin.env.errorf("explain: %v\n", err)
			continue
		}
		events = append(events, found...)
	}
	if len(events) == 0 {
		e.admin.env.errorf("explain: no process remembers the request; each keeps its recent requests only\n")
		return subcommands.ExitFailure
	}
	printEvents(e.admin.env.Stdout, events)
	return subcommands.ExitSuccess
}

func fetchEvents(ctx context.Context, address, request string) ([]admin.ProcessEvent, error) {
	raw, err := getAdminJSON(ctx, address, "/debug/explain/"+url.PathEscape(request))
	if err != nil {
		return nil, err
	}
	var list []admin.ProcessEvent
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrapf(err, "decode the events of request %s from %s", request, address)
	}
	return list, nil
}

func printEvents(out io.Writer, events []admin.ProcessEvent) {
	slices.SortStableFunc(events, func(a, b admin.ProcessEvent) int { return a.Time.Compare(b.Time) })
	first := events[0].Time
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "AFTER\tPROCESS\tATTEMPT\tEVENT\tUPSTREAM\tDETAIL")
	for _, e := range events {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", e.Time.Sub(first).Round(time.Millisecond),
			e.Process, e.Attempt, e.Kind, e.Upstream, e.Detail)
	}
	_ = w.Flush()
}
