package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/admin"
)

// Explain tells one request's way through the processes.
type Explain struct {
	admin   adminFlag
	request string
}

// Name implements subcommands.Command.
func (*Explain) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Explain) Synopsis() string { return "tell what happened to one request" }

// Usage implements subcommands.Command.
func (*Explain) Usage() string {
	return "explain -request ID [-admin host:port,…]\n  ID is the response header X-Request-Id. Exit code 1 when no process remembers it.\n"
}

// SetFlags implements subcommands.Command.
func (e *Explain) SetFlags(f *flag.FlagSet) {
	e.admin.register(f)
	f.StringVar(&e.request, "request", "", "request id")
}

// Execute implements subcommands.Command.
func (e *Explain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.request == "" {
		fmt.Fprintln(os.Stderr, "explain: name the request with -request ID")
		return subcommands.ExitUsageError
	}
	var events []admin.ProcessEvent
	for _, address := range e.admin.list() {
		found, err := fetchEvents(ctx, address, e.request)
		if err != nil {
			fmt.Fprintln(os.Stderr, "explain:", err)
			continue
		}
		events = append(events, found...)
	}
	if len(events) == 0 {
		fmt.Fprintln(os.Stderr, "explain: no process remembers the request; each keeps its recent requests only")
		return subcommands.ExitFailure
	}
	printEvents(events)
	return subcommands.ExitSuccess
}

func fetchEvents(ctx context.Context, address, request string) ([]admin.ProcessEvent, error) {
	raw, err := adminGet(ctx, address, "/debug/explain/"+url.PathEscape(request))
	if err != nil {
		return nil, err
	}
	var list []admin.ProcessEvent
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	return list, nil
}

func printEvents(events []admin.ProcessEvent) {
	slices.SortStableFunc(events, func(a, b admin.ProcessEvent) int { return a.Time.Compare(b.Time) })
	first := events[0].Time
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "AFTER\tPROCESS\tATTEMPT\tEVENT\tUPSTREAM\tDETAIL")
	for _, e := range events {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", e.Time.Sub(first).Round(time.Millisecond),
			e.Process, e.Attempt, e.Kind, e.Upstream, e.Detail)
	}
	_ = w.Flush()
}
