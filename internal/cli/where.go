package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/admin"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/gateway"
)

// maxWhereAnswer limits the size of an explanation, in bytes. One of 1,000 engines takes
// about 500 KB.
const maxWhereAnswer = 16 << 20

type whereCommand struct {
	env     Env
	gateway string
	json    bool
	request gateway.WhereRequest
	prompt  int
	output  int
	// expected is the client's estimate of the output length.
	expected int
}

// Where returns the command that tells where a request would be placed.
func Where(env Env) subcommands.Command { return &whereCommand{env: env} }

// Name implements subcommands.Command.
func (*whereCommand) Name() string { return "where" }

// Synopsis implements subcommands.Command.
func (*whereCommand) Synopsis() string {
	return "tell where a request would be placed now, and why, without sending it"
}

// Usage implements subcommands.Command.
func (*whereCommand) Usage() string {
	return `where -gateway ADMIN -path PATH [-host HOST] [-method METHOD] [-account NAME]
      [-prompt-tokens N -max-output N] [-expected-output N] [-deadline DURATION] [-json]
  ADMIN is the admin address of the gateway to ask, its setting listen.admin. The
  account is given by its name. Nothing is sent to an upstream, counted, reserved
  or charged. Exit code 1 if the gateway does not answer, has no configuration, or
  its configuration has no such route, account or service.
`
}

// SetFlags implements subcommands.Command.
func (c *whereCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateway, "gateway", "", "admin address of the gateway, host:port")
	f.BoolVar(&c.json, "json", false, "print the answer as JSON")
	f.StringVar(&c.request.Method, "method", http.MethodPost, "method of the request")
	f.StringVar(&c.request.Host, "host", "", "host of the request")
	f.StringVar(&c.request.Path, "path", "", "path of the request")
	f.StringVar(&c.request.Account, "account", "", "name of the client account; without it, the request has no key")
	f.IntVar(&c.prompt, "prompt-tokens", -1, "length of the prompt, in tokens")
	f.IntVar(&c.output, "max-output", -1, "maximum length of the output, in tokens")
	f.IntVar(&c.expected, "expected-output", 0, "the client's estimate of the output length, in tokens; 0 for none")
	f.DurationVar(&c.request.Timeout, "deadline", 0, "time limit that the client sends; 0 for none")
}

// Execute implements subcommands.Command.
func (c *whereCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case c.gateway == "" || c.request.Path == "":
		c.env.errorf("where: name the gateway with -gateway ADMIN and the request with -path PATH\n")
		return subcommands.ExitUsageError
	case (c.prompt < 0) != (c.output < 0):
		c.env.errorf("where: give both -prompt-tokens and -max-output, or none\n")
		return subcommands.ExitUsageError
	}
	if c.prompt >= 0 {
		c.request.Tokens = gateway.ModelParams{PromptTokens: c.prompt, MaxOutputTokens: c.output, Declared: true}
	}
	c.request.Tokens.ExpectedOutputTokens = c.expected
	explanation, raw, err := c.fetch(ctx)
	if err != nil {
		c.env.errorf("where: %v\n", err)
		return subcommands.ExitFailure
	}
	if c.json {
		c.env.printJSON(raw)
	} else {
		printExplanation(c.env.Stdout, explanation)
	}
	if slices.ContainsFunc(explanation.Services, func(s gateway.ExplainedService) bool { return s.Model == nil && s.Plain == nil }) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// fetch asks the gateway.
func (c *whereCommand) fetch(ctx context.Context) (*gateway.Explanation, json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.gateway+admin.WherePath+"?"+admin.WhereQuery(c.request).Encode(), nil)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "invalid admin address %q", c.gateway)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "request to %s failed; check that the gateway runs and that its setting listen.admin has this address", c.gateway)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereAnswer))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read the answer of %s", c.gateway)
	}
	if resp.StatusCode != http.StatusOK {
		var p admin.WhereProblem
		if json.Unmarshal(raw, &p) == nil && p.Problem != "" {
			return nil, nil, errors.Errorf("gateway %s: %s", c.gateway, p.Problem)
		}
		return nil, nil, errors.Errorf("%s answered %s; check that it is the setting listen.admin of a gateway of this version", c.gateway, resp.Status)
	}
	var e gateway.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, nil, errors.Wrapf(err, "decode the answer of %s", c.gateway)
	}
	return &e, raw, nil
}

// explanationPrinter prints an explanation as text.
type explanationPrinter struct{ out io.Writer }

func (p explanationPrinter) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}

// table prints lines whose columns are separated by tabs.
func (p explanationPrinter) table(lines []string) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
	_ = w.Flush()
	for line := range strings.Lines(text.String()) {
		p.printf("%s\n", strings.TrimRight(line, " \n"))
	}
}

func printExplanation(out io.Writer, e *gateway.Explanation) {
	p := explanationPrinter{out}
	p.printf("gateway   %s (%s) at %s, configuration %d\n", e.Gateway, orNone(e.FailureDomain), e.At.Format(time.RFC3339Nano), e.ConfigVersion)
	p.refusal(e.Refusal)
	r := e.Route
	p.printf("route     %s: %s, %d ms until the deadline, latency target %d ms\n", r.Name, r.Kind, r.TimeoutMs, r.LatencyTargetMs)
	if r.RetryAgeMs > 0 {
		p.printf("  taken for a repetition of a request that is %d ms old, because of its short time limit\n", r.RetryAgeMs)
	}
	p.printf("account   %s, priority %d\n", orNone(e.Account.Name), e.Account.Priority)
	p.refusal(e.Account.Refusal)
	p.quota(e.Quota)
	if e.Suspensions > 0 {
		p.printf("suspended %d sets of requests; whether this one belongs to them depends on its body\n", e.Suspensions)
	}
	for i := range e.Services {
		p.service(&e.Services[i], e.At)
	}
	p.printf("reports   of %d of %d other gateways, %d to %d ms old\n", e.Reports.Heard, e.Reports.Listed, e.Reports.NewestMs, e.Reports.OldestMs)
}

func (p explanationPrinter) refusal(r *gateway.ExplainedRefusal) {
	if r != nil {
		p.printf("  refused with %d %s: %s\n", r.Status, r.Kind, r.Message)
	}
}

func (p explanationPrinter) quota(q *gateway.ExplainedQuota) {
	if q == nil {
		return
	}
	decision := "admitted"
	if !q.Admitted {
		decision = fmt.Sprintf("refused, available in %d ms", q.AvailableInMs)
	}
	p.printf("quota     %s: costs %.0f %s of %.0f left (rate %.0f/s, burst %.0f)\n", decision, q.Cost, q.Unit, q.Level, q.Rate, q.Burst)
	p.printf("  decided by a share of %.2f: of %d other gateways, %d are heard and %d lend their parts, the oldest loan is %d ms old\n",
		q.Share, q.Gateways-1, q.Heard, q.Lenders, q.OldestReportMs)
	if q.Unconfirmed {
		p.printf("  this gateway has admitted much, and has to hear the others before it admits more\n")
	}
	if !q.Settled {
		p.printf("  this gateway has just started and has not heard the others; a real request waits for a moment\n")
	}
	p.refusal(q.Refusal)
}

func (p explanationPrinter) service(s *gateway.ExplainedService, began time.Time) {
	p.printf("service   %s (%.0f%% of the route), %.1f ms later\n", s.Name, s.Share*100, float64(s.At.Sub(began))/float64(time.Millisecond))
	p.printf("  %s\n", s.Outcome)
	switch {
	case s.Model != nil:
		p.model(s.Model)
	case s.Plain != nil:
		p.queue(&s.Plain.Queue, &s.Plain.Arrival)
		p.instances(s.Plain.Instances)
	}
}

func (p explanationPrinter) queue(q *gateway.ExplainedQueue, a *gateway.ExplainedArrival) {
	p.printf("  queue: %d ahead; here %s; at other gateways %s\n", q.Ahead, waitingText(q.Here), waitingText(q.Others))
	p.printf("  arrival: %s", a.Action)
	if a.Judged {
		p.printf(", %d surely ahead, forecast wait %d ms, whole queue %d ms, displaces %d", a.Place, a.WaitMs, a.QueueMs, a.Displaced)
	}
	p.printf("; would be refused after %d ms\n", a.RefusedInMs)
}

func waitingText(list []gateway.ExplainedWaiting) string {
	if len(list) == 0 {
		return "nothing waits"
	}
	parts := make([]string, 0, len(list))
	for _, w := range list {
		parts = append(parts, fmt.Sprintf("%d on time and %d late of priority %d", w.OnTime, w.Late, w.Priority))
	}
	return strings.Join(parts, ", ")
}

func (p explanationPrinter) model(m *gateway.ExplainedModel) {
	p.printf("  expected output %d tokens, slack %d ms\n", m.MedianOutputTokens, m.SlackMs)
	p.queue(&m.Queue, &m.Arrival)
	p.printf("  limits: %d ms wait for a prefill, %.2f of an engine's memory; random part of costs %.3f\n", m.MaxPrefillWaitMs, m.FillLimit, m.RandomCost)
	prefill := []string{"RANK\tPREFILL\tDOMAIN\tBACKLOG\tWAIT_MS\tPROMPT_MS\tTOKENS/S\tFAILURES\tCOST\tEXCLUDED"}
	decode := []string{"RANK\tDECODE\tDOMAIN\tSLOTS\tMEMORY\tPEAK\tWITH_IT\tTOKENS/S\tFIRST_EVENT_MS\tFAILURES\tCOST\tEXCLUDED"}
	for i := range m.Engines {
		e := &m.Engines[i]
		if e.Prefill != nil || e.Role == fleet.RolePrefill.String() {
			prefill = append(prefill, prefillLine(e))
		} else {
			decode = append(decode, decodeLine(e))
		}
	}
	p.table(prefill)
	p.table(decode)
}

// prefillLine returns the line of the table of prefill engines. An engine that was excluded
// early has no forecast.
func prefillLine(e *gateway.ExplainedEngine) string {
	f := e.Prefill
	if f == nil {
		return fmt.Sprintf("-\t%s\t%s\t-\t-\t-\t-\t%.2f\t-\t%s", e.ID, orNone(e.FailureDomain), e.FailureShare, e.Excluded)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%.2f\t%s\t%s", rankText(e.Rank), e.ID, orNone(e.FailureDomain),
		f.BacklogTokens, f.WaitMs, f.PromptMs, f.TokensPerS, e.FailureShare, costText(e), e.Excluded)
}

// decodeLine is prefillLine for the table of decode engines.
func decodeLine(e *gateway.ExplainedEngine) string {
	d := e.Decode
	if d == nil {
		return fmt.Sprintf("-\t%s\t%s\t-\t-\t-\t-\t-\t-\t%.2f\t-\t%s", e.ID, orNone(e.FailureDomain), e.FailureShare, e.Excluded)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d/%d\t%d/%d\t%d\t%d\t%.0f\t%d\t%.2f\t%s\t%s", rankText(e.Rank), e.ID, orNone(e.FailureDomain),
		d.Requests, d.Slots, d.MemoryNow, d.MemoryTokens, d.MemoryPeak, d.PeakWithRequest, d.TokensPerS, d.FirstEventMs, e.FailureShare, costText(e), e.Excluded)
}

func (p explanationPrinter) instances(list []gateway.ExplainedInstance) {
	lines := []string{"RANK\tINSTANCE\tDOMAIN\tCALLS_HERE\tCALLS_ELSEWHERE\tSLOTS\tLATENCY_MS\tFAILURES\tEXCLUDED OR AVOIDED"}
	for i := range list {
		e := &list[i]
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%.0f\t%.2f\t%s", rankText(e.Rank), e.ID, orNone(e.FailureDomain),
			e.InFlight, e.InFlightOthers, e.Slots, e.LatencyMs, e.FailureShare, e.Excluded+e.Avoided))
	}
	p.table(lines)
}

// rankText returns the rank, or a dash for none.
func rankText(rank int) string {
	if rank == 0 {
		return "-"
	}
	return fmt.Sprint(rank)
}

// costText returns the cost of an engine, or a dash if it is excluded.
func costText(e *gateway.ExplainedEngine) string {
	if e.Rank == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", e.Cost)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
