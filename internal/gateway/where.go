package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/account"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/lending"
	"github.com/fescueslip/fescueslip/internal/policy/overload"
	"github.com/fescueslip/fescueslip/internal/revision"
	"github.com/fescueslip/fescueslip/internal/routing"
)

var (
	// ErrNoConfiguration is returned by Where while the gateway knows no configuration.
	ErrNoConfiguration = errors.New("the gateway has no configuration yet; check that it reaches the store")
	// ErrNothingMatches is the cause of an error of Where that names the request's host and path
	// or its account. A service that the configuration lacks is part of the Explanation.
	ErrNothingMatches = errors.New("nothing in the configuration of this gateway matches; check the host, path and account of the request")
)

// WhereRequest describes a request whose placement is to be explained.
type WhereRequest struct {
	Method, Host, Path string
	// Account is the name of the client account; empty for a request without a key.
	Account string
	// Tokens holds the declared numbers of tokens of the request.
	Tokens ModelParams
	// Timeout is the time limit that the client sends, or 0 if it sends none.
	Timeout time.Duration
}

// Explanation tells where a request would be placed now, and why. Its parts are in the
// order in which a real request is processed. Each part is a consistent snapshot of its
// own, taken at the time At.
type Explanation struct {
	Gateway       string            `json:"gateway"`
	FailureDomain string            `json:"failure_domain"`
	At            time.Time         `json:"at"`
	ConfigVersion uint64            `json:"config_version"`
	FleetRevision revision.Revision `json:"fleet_revision"`
	// Refusal is set if the gateway refuses all requests.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	Route   ExplainedRoute    `json:"route"`
	Account ExplainedAccount  `json:"account"`
	// Quota is nil if the request counts against no quota.
	Quota *ExplainedQuota `json:"quota,omitempty"`
	// Suspensions is the number of suspensions in force. Whether one applies depends on the
	// body of the request.
	Suspensions int                `json:"suspensions"`
	Services    []ExplainedService `json:"services"`
	Reports     ExplainedReports   `json:"reports"`
}

// ExplainedRefusal is the refusal that the client would get.
type ExplainedRefusal struct {
	Status       int    `json:"status"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// ExplainedRoute is the route of the request.
type ExplainedRoute struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Public bool   `json:"public"`
	// TimeoutMs is the time until the deadline.
	TimeoutMs       int64 `json:"timeout_ms"`
	LatencyTargetMs int64 `json:"latency_target_ms"`
	// RetryAgeMs is the estimated time that the client spent on earlier attempts; 0 for a
	// first one.
	RetryAgeMs int64 `json:"retry_age_ms"`
}

// ExplainedAccount is the account of the request and its priority.
type ExplainedAccount struct {
	Name     string `json:"name,omitempty"`
	Priority int    `json:"priority"`
	// Refusal is set if the route needs a key that the request lacks.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedQuota is the decision about the quota of the account. All amounts are in units.
type ExplainedQuota struct {
	At       time.Time `json:"at"`
	Unit     string    `json:"unit"`
	Rate     float64   `json:"rate_units_per_s"`
	Burst    float64   `json:"burst_units"`
	Cost     float64   `json:"cost_units"`
	Level    float64   `json:"level_units"`
	Share    float64   `json:"share"`
	Admitted bool      `json:"admitted"`
	// AvailableInMs is the time until the request would be admitted if nothing else is.
	AvailableInMs int64 `json:"available_in_ms"`
	// Unconfirmed means that the gateway has to hear the others before it admits more.
	Unconfirmed bool `json:"unconfirmed"`
	// Settled is false while a starting gateway has not heard the others yet. A real request
	// then waits for a moment.
	Settled bool `json:"settled"`
	// Gateways is the number of gateways that own a part of the quota, Heard that of the others
	// that have reported lately, and Lenders that of those whose parts this gateway may use.
	// OldestReportMs is the age of the oldest report that lends a part.
	Gateways       int               `json:"gateways"`
	Heard          int               `json:"heard"`
	Lenders        int               `json:"lenders"`
	OldestReportMs int64             `json:"oldest_report_ms"`
	Refusal        *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedService is the placement at one service of the route.
type ExplainedService struct {
	At   time.Time `json:"at"`
	Name string    `json:"name"`
	// Share is the part of the route's requests that the service gets.
	Share float64 `json:"share"`
	// Outcome says in one sentence what would happen.
	Outcome string            `json:"outcome"`
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Model or Plain is set, unless the configuration has no such service.
	Model *ExplainedModel `json:"model,omitempty"`
	Plain *ExplainedPlain `json:"plain,omitempty"`
}

// ExplainedQueue is the queue of a service as the request would find it.
type ExplainedQueue struct {
	// Ahead is the number of requests of the service at this gateway that are served first.
	Ahead int `json:"ahead"`
	// Here and Others count what waits at this gateway and at others, by priority. Others
	// holds the requests that have waited for some time.
	Here   []ExplainedWaiting `json:"here"`
	Others []ExplainedWaiting `json:"others"`
}

// ExplainedWaiting counts the waiting requests of one priority.
type ExplainedWaiting struct {
	Priority int `json:"priority"`
	// OnTime counts those that can meet their target or overtake such requests.
	OnTime int `json:"on_time"`
	Late   int `json:"late"`
}

// ExplainedArrival is the verdict on the arriving request.
type ExplainedArrival struct {
	// Action is "admitted", "waits" or "refused".
	Action string `json:"action"`
	Reason string `json:"reason,omitempty"`
	// Judged is false if no classes or accounts compete. The request is then refused only
	// when its time has passed, and there is no forecast.
	Judged bool `json:"judged"`
	// Place is the number of requests that surely precede this one, here and elsewhere,
	// WaitMs the least time that they take, and QueueMs that of the whole queue.
	Place   int   `json:"place"`
	WaitMs  int64 `json:"forecast_wait_ms"`
	QueueMs int64 `json:"queue_ms"`
	// Displaced is the number of waiting requests that would be refused because of this one.
	Displaced int `json:"displaced"`
	// RefusedInMs is the time after which the request would be refused if it still waits.
	RefusedInMs int64 `json:"refused_in_ms"`
}

// Actions of an ExplainedArrival.
const (
	arrivalAdmitted = "admitted"
	arrivalWaits    = "waits"
	arrivalRefused  = "refused"
)

// ExplainedReports tells on what reports of other gateways the figures are based.
type ExplainedReports struct {
	At time.Time `json:"at"`
	// Listed is the number of other gateways in the list, and Heard that of those whose
	// load is known.
	Listed int `json:"listed"`
	Heard  int `json:"heard"`
	// NewestMs and OldestMs are the ages of the reports.
	NewestMs int64 `json:"newest_ms"`
	OldestMs int64 `json:"oldest_ms"`
}

// Where explains where a request would be placed now. It uses the decisions of the request
// path on copies of the state: nothing is sent, counted, reserved or charged. The error has
// the cause ErrNoConfiguration or ErrNothingMatches.
func (g *Gateway) Where(r WhereRequest) (*Explanation, error) {
	now := time.Now()
	table := g.Tables.Table()
	if table == nil {
		return nil, ErrNoConfiguration
	}
	c, err := g.describedCall(r, table, now)
	if err != nil {
		return nil, err
	}
	out := &Explanation{
		Gateway: g.Instance, FailureDomain: g.FailureDomain, At: now, ConfigVersion: table.Version,
		FleetRevision: g.Fleet.Snapshot().Revision, Suspensions: len(g.Suspended(now)),
		Route: ExplainedRoute{
			Name: c.Route.Name, Kind: c.Route.Kind.String(), Public: c.Route.Public, TimeoutMs: c.Remaining(now).Milliseconds(),
			LatencyTargetMs: c.Route.LatencyTarget.Milliseconds(), RetryAgeMs: c.RetryAge.Milliseconds(),
		},
	}
	if g.Shutdown.RefusesCalls(now) {
		out.Refusal = explainRefusal(shuttingDownError())
	}
	out.Account.Refusal = explainRefusal(g.authenticate(c, table))
	out.Account.Name, out.Account.Priority = accountName(c), c.Priority
	if usesQuota(c) {
		out.Quota = g.explainQuota(c)
	}
	out.Services = g.explainServices(c, table, out.firstRefusal())
	out.Reports = g.scheduler.load.explainReports(g.ListedGateways()-1, time.Now())
	return out, nil
}

// firstRefusal returns the first refusal before the request is placed, or nil.
func (e *Explanation) firstRefusal() *ExplainedRefusal {
	switch {
	case e.Refusal != nil:
		return e.Refusal
	case e.Account.Refusal != nil:
		return e.Account.Refusal
	case e.Quota != nil:
		return e.Quota.Refusal
	default:
		return nil
	}
}

// describedCall returns the call that the description stands for, without a service. Its
// credential is that of the account.
func (g *Gateway) describedCall(r WhereRequest, table *routing.Table, now time.Time) (*Call, error) {
	c := &Call{Method: r.Method, Host: r.Host, Target: r.Path, Received: now, ClientTimeout: r.Timeout, Model: r.Tokens, Version: table.Version}
	path, _, _ := strings.Cut(r.Path, "?")
	route, ok := table.Match(r.Host, path)
	if !ok {
		return nil, errors.Wrapf(ErrNothingMatches, "no route for host %q and path %q", r.Host, r.Path)
	}
	c.Route = route
	c.Deadline = deadline(c)
	if route.UsesModelEngines {
		c.RetryAge = g.retryAges.peek(route.Name, c.ClientTimeout)
	}
	c.Credential = account.NewCredential(nil)
	if r.Account == "" {
		return c, nil
	}
	a := findAccount(table, r.Account)
	if a == nil {
		return nil, errors.Wrapf(ErrNothingMatches, "no account %q", r.Account)
	}
	c.Credential = account.Credential{Problem: "the account has no key"}
	if len(a.Keys) > 0 {
		c.Credential = account.Credential{Key: a.Keys[0]}
	}
	return c, nil
}

// findAccount returns the account with the name, or nil.
func findAccount(table *routing.Table, name string) *account.Account {
	if table.Accounts == nil {
		return nil
	}
	all := table.Accounts.All()
	if i := slices.IndexFunc(all, func(a *account.Account) bool { return a.Name == name }); i >= 0 {
		return all[i]
	}
	return nil
}

// explainQuota returns what chargeQuota would decide.
func (g *Gateway) explainQuota(c *Call) *ExplainedQuota {
	q, a := g.quotas, c.Account
	units := cost(c, a.Quota)
	now := q.clock()
	// The pool learns the number of gateways with each report anyway; see quotas.take.
	q.pool.SetHolders(q.gateways(), now)
	d := q.pool.PeekLeaving(resourceOf(a), units, reserveFor(a.Quota, units), now)
	state := q.pool.State(now)
	out := &ExplainedQuota{
		At: time.Now(), Unit: "requests", Rate: a.Quota.Rate, Burst: a.Quota.Burst, Cost: units, Level: d.Level, Share: d.Share,
		Admitted: d.Granted, Unconfirmed: d.Reason == lending.Unconfirmed, AvailableInMs: d.RetryAfter.Milliseconds(),
		Settled: state.Settled, Gateways: state.Holders, Heard: state.Heard, Lenders: state.Lenders, OldestReportMs: state.OldestLoan.Milliseconds(),
	}
	if a.Quota.Unit == account.Tokens {
		out.Unit = "tokens"
	}
	if !d.Granted {
		out.Refusal = explainRefusal(quotaExceededError(a.Name, d.RetryAfter))
		// The delay for clients has a random part.
		out.Refusal.RetryAfterMs = out.AvailableInMs
	}
	return out
}

// explainServices explains the placement at each service that the route may select.
func (g *Gateway) explainServices(c *Call, table *routing.Table, refusal *ExplainedRefusal) []ExplainedService {
	var out []ExplainedService
	total := 0.0
	for _, s := range c.Route.WeightedServices {
		total += s.Weight
	}
	for _, s := range c.Route.WeightedServices {
		if s.Weight <= 0 {
			continue
		}
		c.Service = table.Services[s.Service]
		e := g.explainService(c, s.Service)
		e.Share = s.Weight / total
		if refusal != nil {
			e.Outcome = refusal.outcome()
		}
		out = append(out, e)
	}
	return out
}

// explainService explains the placement of a call whose service is known, except that it is
// nil if the configuration has none with this name.
func (g *Gateway) explainService(c *Call, name string) ExplainedService {
	out := ExplainedService{At: time.Now(), Name: name}
	switch {
	case c.Service == nil:
		out.Refusal = explainRefusal(noUpstreamError(name))
		out.Outcome = out.Refusal.outcome()
	case c.usesModelEngines():
		out.Model, out.Outcome = g.scheduler.explain(c, out.At)
	default:
		out.Plain, out.Outcome = g.explainPlain(c, out.At)
	}
	return out
}

// explainRefusal returns the refusal in the form of an explanation, or nil for none.
func explainRefusal(e *fault.Error) *ExplainedRefusal {
	if e == nil {
		return nil
	}
	return &ExplainedRefusal{Status: e.Status(), Kind: string(e.Kind), Message: e.Message, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

func (r *ExplainedRefusal) outcome() string { return "refused: " + r.Message }

// newArrival returns the verdict on a request that the policy has judged.
func newArrival(v overload.Verdict) ExplainedArrival {
	return ExplainedArrival{Judged: true, Place: v.Place, WaitMs: v.Wait.Milliseconds(), QueueMs: v.QueueTime.Milliseconds()}
}

// addWaiting adds to the counts of a priority.
func addWaiting(list []ExplainedWaiting, w overload.Waiting) []ExplainedWaiting {
	i := slices.IndexFunc(list, func(e ExplainedWaiting) bool { return e.Priority == w.Priority })
	if i < 0 {
		i = len(list)
		list = append(list, ExplainedWaiting{Priority: w.Priority})
	}
	list[i].OnTime += w.OnTime
	list[i].Late += w.Late
	return list
}

// oneWaiting returns the counts of a single request.
func oneWaiting(priority int, onTime bool) overload.Waiting {
	if onTime {
		return overload.Waiting{Priority: priority, OnTime: 1}
	}
	return overload.Waiting{Priority: priority, Late: 1}
}

// explainReports returns the ages of the reports of other gateways.
func (t *loadTable) explainReports(listed int, now time.Time) ExplainedReports {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ExplainedReports{At: now, Listed: max(0, listed), Heard: len(t.peers)}
	first := true
	for _, p := range t.peers {
		age := now.Sub(p.receivedAt).Milliseconds()
		if first || age < out.NewestMs {
			out.NewestMs = age
		}
		out.OldestMs = max(out.OldestMs, age)
		first = false
	}
	return out
}
