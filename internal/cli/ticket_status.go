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
	statusParallel = 64
	statusTimeout  = 2 * time.Second
	maxStateBytes  = 64 << 20
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

// instanceStatus is what one instance says about the ticket.
type instanceStatus struct {
	Instance     string `json:"instance"`
	AdminAddress string `json:"admin_address,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	Revision     uint64 `json:"config_revision"`
	Error        string `json:"error,omitempty"`
}

// ticketStatus is the report of the command.
type ticketStatus struct {
	Ticket   uint64 `json:"ticket"`
	Accepted bool   `json:"accepted"`
	// Revision is the revision that has the ticket. For a ticket that is no longer
	// remembered it is the oldest remembered revision, which has it too.
	Revision uint64           `json:"revision,omitempty"`
	InForce  []instanceStatus `json:"in_force"`
	Behind   []instanceStatus `json:"behind"`
	NoAnswer []instanceStatus `json:"no_answer"`
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	number, err := ticketArgument(f)
	if err != nil {
		c.env.errorf("ticket status: %v\n", err)
		return subcommands.ExitUsageError
	}
	store, closeStore, err := c.store()
	if err != nil {
		return c.fail(err)
	}
	defer closeStore()
	status, err := acceptedAs(ctx, store, number)
	if err != nil {
		return c.fail(err)
	}
	if status.Accepted {
		if err := c.ask(ctx, status); err != nil {
			return c.fail(err)
		}
	}
	c.report(status)
	if status.Accepted && len(status.Behind)+len(status.NoAnswer) == 0 {
		return subcommands.ExitSuccess
	}
	return subcommands.ExitFailure
}

// ticketArgument reads the number; flags may stand before or after it.
func ticketArgument(f *flag.FlagSet) (uint64, error) {
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

func acceptedAs(ctx context.Context, store *configstore.Store, number uint64) (*ticketStatus, error) {
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

// ask asks every listed instance for the revision that it has in force.
func (c *statusCommand) ask(ctx context.Context, status *ticketStatus) error {
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
	answers := make([]instanceStatus, len(list))
	httpClient := &http.Client{Transport: &http.Transport{DialContext: c.env.Dial}, Timeout: statusTimeout}
	defer httpClient.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, instance := range list {
		group.Go(func() error {
			answers[i] = askInstance(ctx, httpClient, instance)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for _, a := range answers {
		switch {
		case a.Error != "":
			status.NoAnswer = append(status.NoAnswer, a)
		case a.Revision >= status.Revision:
			status.InForce = append(status.InForce, a)
		default:
			status.Behind = append(status.Behind, a)
		}
	}
	return nil
}

func askInstance(ctx context.Context, client *http.Client, instance kvservice.Instance) instanceStatus {
	answer := instanceStatus{Instance: instance.Name, AdminAddress: instance.AdminAddress, Leaving: instance.Leaving}
	revision, err := fetchRevision(ctx, client, instance.AdminAddress)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Revision = revision
	return answer
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

func (c *statusCommand) report(s *ticketStatus) {
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
	for _, a := range list {
		leaving := ""
		if a.Leaving {
			leaving = " (leaving)"
		}
		if a.Error != "" {
			c.env.printf("  %-9s  %s%s: %s\n", title, a.Instance, leaving, a.Error)
			continue
		}
		c.env.printf("  %-9s  %s%s at revision %d\n", title, a.Instance, leaving, a.Revision)
	}
}
