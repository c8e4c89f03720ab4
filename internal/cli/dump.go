package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"
)

type dumpCommand struct {
	admin adminFlag
}

// Dump returns the command that prints the state of one or more processes and the
// disagreements between them.
func Dump(env Env) subcommands.Command { return &dumpCommand{admin: adminFlag{env: env}} }

// Name implements subcommands.Command.
func (*dumpCommand) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*dumpCommand) Synopsis() string { return "print the state of processes and where they disagree" }

// Usage implements subcommands.Command.
func (*dumpCommand) Usage() string {
	return "dump [-admin host:port,…]\n  Prints {\"processes\": {address: state}, \"disagreements\": […], \"unreachable\": {address: reason}} as JSON.\n  Exit code 1 when a process cannot be reached.\n"
}

// SetFlags implements subcommands.Command.
func (d *dumpCommand) SetFlags(f *flag.FlagSet) { d.admin.register(f) }

// dumpReport is the output of the command.
type dumpReport struct {
	Processes     map[string]json.RawMessage `json:"processes"`
	Disagreements []string                   `json:"disagreements"`
	Unreachable   map[string]string          `json:"unreachable,omitempty"`
}

// Execute implements subcommands.Command.
func (d *dumpCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report := dumpReport{Processes: map[string]json.RawMessage{}, Unreachable: map[string]string{}, Disagreements: []string{}}
	var states []*processState
	for _, address := range d.admin.addressList() {
		s, err := fetchState(ctx, address)
		if err != nil {
			report.Unreachable[address] = err.Error()
			continue
		}
		report.Processes[address] = s.Raw
		states = append(states, s)
	}
	report.Disagreements = append(report.Disagreements, findDisagreements(states)...)
	d.admin.env.printJSON(report)
	if len(report.Unreachable) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// findDisagreements describes the processes that have an outdated configuration
// revision, and the upstreams that two processes with different incarnations serve.
func findDisagreements(states []*processState) []string {
	var list []string
	var newest uint64
	for _, s := range states {
		newest = max(newest, s.ConfigRevision)
	}
	byUpstream := map[string]*processState{}
	for _, s := range states {
		if s.ConfigRevision != newest {
			list = append(list, fmt.Sprintf("%s has configuration revision %d; the newest here is %d", s.Instance, s.ConfigRevision, newest))
		}
		if s.Upstream == "" {
			continue
		}
		if other, ok := byUpstream[s.Upstream]; ok && other.Incarnation != s.Incarnation {
			list = append(list, fmt.Sprintf("%s and %s both serve upstream %s", other.Instance, s.Instance, s.Upstream))
		}
		byUpstream[s.Upstream] = s
	}
	slices.Sort(list)
	return list
}
