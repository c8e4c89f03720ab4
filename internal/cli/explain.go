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

	"github.com/fescueslip/fescueslip/internal/telemetry"
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

type explainedEvent struct {
	process string
	event   telemetry.Event
}

// Execute implements subcommands.Command.
func (e *Explain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.request == "" {
		fmt.Fprintln(os.Stderr, "explain: name the request with -request ID")
		return subcommands.ExitUsageError
	}
	var events []explainedEvent
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

func fetchEvents(ctx context.Context, address, request string) ([]explainedEvent, error) {
	raw, err := adminGet(ctx, address, "/debug/explain/"+url.PathEscape(request))
	if err != nil {
		return nil, err
	}
	var list []telemetry.Event
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	var out []explainedEvent
	for _, ev := range list {
		out = append(out, explainedEvent{process: address, event: ev})
	}
	return out, nil
}

func printEvents(events []explainedEvent) {
	slices.SortStableFunc(events, func(a, b explainedEvent) int { return a.event.Time.Compare(b.event.Time) })
	first := events[0].event.Time
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "AFTER\tPROCESS\tATTEMPT\tEVENT\tUPSTREAM\tDETAIL")
	for _, e := range events {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", e.event.Time.Sub(first).Round(time.Millisecond),
			e.process, e.event.Attempt, e.event.Kind, e.event.Upstream, e.event.Detail)
	}
	_ = w.Flush()
}
