package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/entry"
)

type fairnessCommand struct {
	admin adminFlag
	json  bool
}

// Fairness returns the command that prints what each caller asked for and got
// over several entries.
func Fairness(env Env) subcommands.Command { return &fairnessCommand{admin: adminFlag{env: env}} }

// Name implements subcommands.Command.
func (*fairnessCommand) Name() string { return "fairness" }

// Synopsis implements subcommands.Command.
func (*fairnessCommand) Synopsis() string { return "compare what callers asked for and got" }

// Usage implements subcommands.Command.
func (*fairnessCommand) Usage() string {
	return "fairness [-json] [-admin host:port,…]\n  Counts since the start of each entry; times in milliseconds. No content of any caller is shown.\n"
}

// SetFlags implements subcommands.Command.
func (c *fairnessCommand) SetFlags(f *flag.FlagSet) {
	c.admin.register(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *fairnessCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	byCaller := map[string]*entry.CallerStats{}
	for _, address := range c.admin.list() {
		accounts, err := fetchAccounts(ctx, address)
		if err != nil {
			c.admin.env.errorf("fairness: %v\n", err)
			return subcommands.ExitFailure
		}
		for _, a := range accounts {
			mergeAccount(byCaller, a)
		}
	}
	var list []entry.CallerStats
	for _, name := range slices.Sorted(maps.Keys(byCaller)) {
		list = append(list, *byCaller[name])
	}
	if c.json {
		c.admin.env.printJSON(list)
		return subcommands.ExitSuccess
	}
	printAccounts(c.admin.env.Stdout, list)
	return subcommands.ExitSuccess
}

func fetchAccounts(ctx context.Context, address string) ([]entry.CallerStats, error) {
	s, err := fetchState(ctx, address)
	if err != nil {
		return nil, err
	}
	raw, ok := s.Parts["entry"]
	if !ok {
		return nil, nil
	}
	var part entry.State
	if err := json.Unmarshal(raw, &part); err != nil {
		return nil, err
	}
	return part.Accounts, nil
}

// mergeAccount adds the counts of one entry to the sum of all.
func mergeAccount(sums map[string]*entry.CallerStats, a entry.CallerStats) {
	sum, ok := sums[a.Caller]
	if !ok {
		sums[a.Caller] = &a
		return
	}
	sum.Add(a)
}

func printAccounts(out io.Writer, list []entry.CallerStats) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "CALLER\tSHARE\tOFFERED\tFINISHED\tREFUSED\tFAILED\tCANCELLED\tPROMPT TOKENS\tOUTPUT TOKENS\tGRANT WAIT MS\tTTFT MS\t")
	for _, a := range list {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", a.Caller, a.Share, a.Offered, a.Finished,
			a.Refused, a.Failed, a.Cancelled, a.PromptTokens, a.OutputTokens, a.MeanGrantWaitMs, a.MeanTTFTMs)
	}
	_ = w.Flush()
}
