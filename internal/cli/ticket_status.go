package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

const (
	maxParallelQueries = 64
	queryTimeout       = 2 * time.Second
	maxStateBytes      = 64 << 20
)

type statusCommand struct{ storeFlags }

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "tell where a ticket is in force" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status N (-kv URL -instances URL | -config FILE) [-json]\n" +
		"  Exit code 0: in force on every listed instance. Exit code 1: not accepted, or not confirmed everywhere.\n"
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.storeFlags.SetFlags(f)
	f.StringVar(&c.instances, "instances", "", "URL of the instance list; default: the URL given by -kv")
}

// instanceStatus is the configuration revision of one instance, or the error of the
// attempt to read it.
type instanceStatus struct {
	Instance     string `json:"instance"`
	AdminAddress string `json:"admin_address,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	Revision     uint64 `json:"config_revision"`
	Error        string `json:"error,omitempty"`
}

// ticketStatus is the result of the command.
type ticketStatus struct {
	Ticket   uint64 `json:"ticket"`
	Accepted bool   `json:"accepted"`
	// Revision is the revision that applied the ticket. If the ticket's record is no
	// longer kept, it is the oldest revision on record, which includes the ticket.
	Revision uint64           `json:"revision,omitempty"`
	InForce  []instanceStatus `json:"in_force"`
	Behind   []instanceStatus `json:"behind"`
	NoAnswer []instanceStatus `json:"no_answer"`
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	number, err := parseTicketNumber(f)
	if err != nil {
		c.env.errorf("ticket status: %v\n", err)
		return subcommands.ExitUsageError
	}
	store, closeStore, err := c.openStore()
	if err != nil {
		return c.reportError(err)
	}
	defer closeStore()
	status, err := findTicket(ctx, store, number)
	if err != nil {
		return c.reportError(err)
	}
	if status.Accepted {
		if err := c.queryInstances(ctx, status); err != nil {
			return c.reportError(err)
		}
	}
	c.printStatus(status)
	if status.Accepted && len(status.Behind)+len(status.NoAnswer) == 0 {
		return subcommands.ExitSuccess
	}
	return subcommands.ExitFailure
}

// parseTicketNumber parses the ticket number; flags may come before or after it.
func parseTicketNumber(f *flag.FlagSet) (uint64, error) {
	number, err := strconv.ParseUint(f.Arg(0), 10, 64)
	if err != nil || number == 0 {
		return 0, errors.Errorf("%q is not a ticket number; use: ticket status 17", f.Arg(0))
	}
	if err := f.Parse(f.Args()[1:]); err != nil {
		return 0, err
	}
	if f.NArg() > 0 {
		return 0, errors.Errorf("unexpected argument %q; give one ticket number", f.Arg(0))
	}
	return number, nil
}

// findTicket looks the ticket up among the recent tickets and, if it is not there,
// among the tickets of the objects in effect.
func findTicket(ctx context.Context, store *configstore.Store, number uint64) (*ticketStatus, error) {
	status := &ticketStatus{Ticket: number}
	state, err := store.LoadWithTickets(ctx)
	if err != nil {
		return nil, err
	}
	records, err := state.Tickets()
	if err != nil || len(records) == 0 {
		return status, err
	}
	for _, r := range records {
		if r.Ticket == number {
			status.Accepted, status.Revision = true, r.Revision
			return status, nil
		}
	}
	current, err := state.Configuration()
	if err != nil {
		return nil, err
	}
	status.Accepted = slices.ContainsFunc(current.Objects(), func(o config.Object) bool { return o.Ticket == number })
	if status.Accepted {
		status.Revision = records[0].Revision
	}
	return status, nil
}

// queryInstances asks every listed instance for its current configuration revision.
func (c *statusCommand) queryInstances(ctx context.Context, status *ticketStatus) error {
	if c.instances == "" {
		c.instances = c.kv
	}
	client, err := kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: c.instances, Dial: c.env.Dial})
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.List(ctx)
	if err != nil {
		return errors.Wrap(err, "read the instance list; check -instances")
	}
	slices.SortFunc(list, func(a, b kvservice.Instance) int { return strings.Compare(a.Name, b.Name) })
	results := make([]instanceStatus, len(list))
	httpClient := &http.Client{Transport: &http.Transport{DialContext: c.env.Dial}, Timeout: queryTimeout}
	defer httpClient.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i, instance := range list {
		group.Go(func() error {
			results[i] = queryInstance(ctx, httpClient, instance)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for _, result := range results {
		switch {
		case result.Error != "":
			status.NoAnswer = append(status.NoAnswer, result)
		case result.Revision >= status.Revision:
			status.InForce = append(status.InForce, result)
		default:
			status.Behind = append(status.Behind, result)
		}
	}
	return nil
}

func queryInstance(ctx context.Context, client *http.Client, instance kvservice.Instance) instanceStatus {
	result := instanceStatus{Instance: instance.Name, AdminAddress: instance.AdminAddress, Leaving: instance.Leaving}
	revision, err := fetchRevision(ctx, client, instance.AdminAddress)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	result.Revision = revision
	return result
}

func fetchRevision(ctx context.Context, client *http.Client, adminAddress string) (uint64, error) {
	if adminAddress == "" {
		return 0, errors.New("the instance list has no admin_address for it")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/debug/state", nil)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("GET /debug/state: status %d", resp.StatusCode)
	}
	var state struct {
		ConfigRevision *uint64 `json:"config_revision"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return 0, errors.Wrap(err, "decode /debug/state")
	}
	if state.ConfigRevision == nil {
		return 0, errors.New("/debug/state has no config_revision")
	}
	return *state.ConfigRevision, nil
}

func (c *statusCommand) printStatus(s *ticketStatus) {
	if c.json {
		c.env.printJSON(s)
		return
	}
	if !s.Accepted {
		c.env.printf("ticket %d was not accepted, or none of its objects is in force any more\n", s.Ticket)
		return
	}
	total := len(s.InForce) + len(s.Behind) + len(s.NoAnswer)
	c.env.printf("ticket %d was accepted as revision %d; in force on %d of %d instances\n",
		s.Ticket, s.Revision, len(s.InForce), total)
	c.printGroup("in force", s.InForce)
	c.printGroup("behind", s.Behind)
	c.printGroup("no answer", s.NoAnswer)
}

func (c *statusCommand) printGroup(title string, list []instanceStatus) {
	for _, s := range list {
		leaving := ""
		if s.Leaving {
			leaving = " (leaving)"
		}
		if s.Error != "" {
			c.env.printf("  %-9s  %s%s: %s\n", title, s.Instance, leaving, s.Error)
			continue
		}
		c.env.printf("  %-9s  %s%s at revision %d\n", title, s.Instance, leaving, s.Revision)
	}
}
