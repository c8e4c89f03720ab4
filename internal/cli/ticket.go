package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

type ticketCommand struct{ env Env }

// Ticket returns the command that applies tickets and reports on them.
func Ticket(env Env) subcommands.Command { return &ticketCommand{env: env} }

// Name implements subcommands.Command.
func (*ticketCommand) Name() string { return "ticket" }

// Synopsis implements subcommands.Command.
func (*ticketCommand) Synopsis() string {
	return "apply change tickets and see where they are in force"
}

// Usage implements subcommands.Command.
func (*ticketCommand) Usage() string {
	return "ticket apply -f FILE | ticket status N | ticket list, each with -kv URL or -config FILE, and -json\n"
}

// SetFlags implements subcommands.Command.
func (*ticketCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *ticketCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet("ticket", flag.ContinueOnError)
	flags.SetOutput(c.env.Stderr)
	commander := subcommands.NewCommander(flags, "ticket")
	commander.Output, commander.Error = c.env.Stdout, c.env.Stderr
	commander.Register(&applyCommand{storeFlags: storeFlags{env: c.env}}, "")
	commander.Register(&listCommand{storeFlags: storeFlags{env: c.env}}, "")
	commander.Register(&statusCommand{storeFlags: storeFlags{env: c.env}}, "")
	if err := flags.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

// storeFlags holds the flags that locate the platform's services, and -json.
type storeFlags struct {
	env       Env
	kv        string
	instances string
	config    string
	json      bool
}

// SetFlags implements subcommands.Command.
func (s *storeFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.kv, "kv", "", "URL of the key-value service")
	f.StringVar(&s.config, "config", "", "settings file that has the URLs of the platform's services")
	f.BoolVar(&s.json, "json", false, "print JSON")
}

// resolveURLs sets the URLs that have no flag from the settings file.
func (s *storeFlags) resolveURLs() error {
	if s.config == "" {
		if s.kv == "" {
			return errors.New("give the key-value service with -kv URL or a settings file with -config FILE")
		}
		return nil
	}
	data, err := os.ReadFile(s.config)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	// These commands do not call peers, so they work without the peer secret in the
	// environment.
	loaded, err := settings.Parse(s.config, data, func(string) (string, bool) { return "not needed by this command", true })
	if err != nil {
		return err
	}
	if s.kv == "" {
		s.kv = loaded.Platform.KV
	}
	if s.instances == "" {
		s.instances = loaded.Platform.Instances
	}
	return nil
}

// openStore opens the configuration store. The caller must call the returned function
// to close it.
func (s *storeFlags) openStore() (*configstore.Store, func(), error) {
	if err := s.resolveURLs(); err != nil {
		return nil, nil, err
	}
	client, err := kvservice.NewClient(kvservice.ClientOptions{URL: s.kv, Dial: s.env.Dial})
	if err != nil {
		return nil, nil, err
	}
	return configstore.New(configstore.Options{KV: client}), client.Close, nil
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Kind    string             `json:"kind"`
	Message string             `json:"message"`
	Remedy  string             `json:"remedy,omitempty"`
	Refusal *config.Refusal    `json:"refusal,omitempty"`
	Faults  []strictyaml.Fault `json:"faults,omitempty"`
}

// newErrorReport classifies err for scripts that read the JSON output.
func newErrorReport(err error) errorReport {
	var (
		invalid  *strictyaml.Error
		refusal  *config.Refusal
		storeErr *configstore.StoreError
	)
	switch {
	case errors.As(err, &invalid):
		return errorReport{Kind: "invalid", Message: err.Error(), Faults: invalid.Faults}
	case errors.As(err, &refusal):
		return errorReport{Kind: string(refusal.Kind), Message: refusal.Message, Remedy: refusal.Remedy, Refusal: refusal}
	case errors.As(err, &storeErr) && storeErr.OutcomeUnknown:
		return errorReport{Kind: "outcome_unknown", Message: err.Error()}
	case errors.Is(err, kvservice.ErrUnavailable):
		return errorReport{Kind: "store_unavailable", Message: err.Error()}
	default:
		return errorReport{Kind: "failed", Message: err.Error()}
	}
}

// reportError prints err and returns the exit code: 2 for invalid input, 1 for other
// errors.
func (s *storeFlags) reportError(err error) subcommands.ExitStatus {
	p := newErrorReport(err)
	if s.json {
		s.env.printJSON(struct {
			Accepted bool        `json:"accepted"`
			Error    errorReport `json:"error"`
		}{Error: p})
	} else {
		s.env.errorf("%v\n", err)
	}
	if len(p.Faults) > 0 {
		return exitInvalidInput
	}
	return subcommands.ExitFailure
}

type applyCommand struct {
	storeFlags
	file string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "apply a ticket" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return "apply -f FILE (-kv URL | -config FILE) [-json]\n" +
		"  Applying the same ticket again is safe. Exit code 1: not accepted. Exit code 2: the file has faults.\n"
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.storeFlags.SetFlags(f)
	f.StringVar(&c.file, "f", "", "ticket file, or - for standard input")
}

// applyReport is the JSON output of the command for an accepted ticket.
type applyReport struct {
	Accepted bool `json:"accepted"`
	Already  bool `json:"already"`
	config.TicketRecord
	BytesWritten int `json:"bytes_written"`
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		c.env.errorf("ticket apply: give a ticket file with -f\n")
		return subcommands.ExitUsageError
	}
	ticket, err := c.readTicket()
	if err != nil {
		return c.reportError(err)
	}
	store, closeStore, err := c.openStore()
	if err != nil {
		return c.reportError(err)
	}
	defer closeStore()
	result, err := store.Accept(ctx, ticket)
	if err != nil {
		return c.reportError(err)
	}
	c.printResult(result)
	return subcommands.ExitSuccess
}

func (c *applyCommand) readTicket() (*config.Ticket, error) {
	if c.file == "-" {
		data, err := io.ReadAll(io.LimitReader(c.env.Stdin, config.MaxTicketBytes+1))
		if err != nil {
			return nil, errors.Wrap(err, "read ticket from standard input")
		}
		return config.ParseTicket("standard input", data)
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, errors.Wrap(err, "read ticket; check the path given by -f")
	}
	return config.ParseTicket(c.file, data)
}

func (c *applyCommand) printResult(r configstore.Result) {
	if c.json {
		c.env.printJSON(applyReport{Accepted: true, Already: r.AlreadyAccepted, TicketRecord: r.TicketRecord, BytesWritten: r.BytesWritten})
		return
	}
	switch {
	case r.AlreadyAccepted && r.Revision == 0:
		c.env.printf("ticket %d had been accepted before and is in force\n", r.Ticket)
	case r.AlreadyAccepted:
		c.env.printf("ticket %d had been accepted before, as revision %d\n", r.Ticket, r.Revision)
	default:
		c.env.printf("ticket %d accepted as revision %d (%d objects)\n", r.Ticket, r.Revision, r.Objects)
	}
	c.env.printf("see where it is in force: fescueslip ticket status %d\n", r.Ticket)
}
