package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueslip/fescueslip/internal/account"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/lending"
	"github.com/fescueslip/fescueslip/internal/routing"
	"github.com/fescueslip/fescueslip/internal/wait"
)

// QuotaLimits say how far the gateways together may exceed the quota of an account.
type QuotaLimits struct {
	// Window is the time over which quotas are checked.
	Window time.Duration
	// OvershootRatio is the part of a quota by which it may be exceeded in a window, in
	// addition to OvershootFixed units.
	OvershootRatio float64
	OvershootFixed float64
}

const (
	// quotaLoan is how long a gateway counts on the unused part of another one after its
	// last report. Two reports in a row may be lost.
	quotaLoan = 700 * time.Millisecond
	// maxQuotaWait limits how long a request waits because the gateway has not heard the
	// others yet.
	maxQuotaWait = 400 * time.Millisecond
	// quotaWaitStep is the interval in which a waiting request asks again.
	quotaWaitStep = 20 * time.Millisecond
	// announcedShare is the part of a burst above which the other gateways learn of a use
	// at once, not with the next heartbeat.
	announcedShare = 0.02
	// cheapShare is the part of a burst up to which a request counts as cheap, and
	// cheapReserve the part of the burst that other requests leave for cheap ones. Without
	// it, one model request would use up what a hundred plain calls need.
	cheapShare   = 0.01
	cheapReserve = 0.05
	// burstAllowanceShare is the part of the permitted overshoot by which the bucket of an
	// account is deeper than its burst. The rest is for what gateways admit before they
	// hear of each other.
	burstAllowanceShare = 0.5
	// quotaRetrySpread is the largest part by which Retry-After is lengthened at random, so
	// that refused clients do not all return at the same time.
	quotaRetrySpread = 0.25
)

// allowance returns by how much the gateways together may exceed the quota in a window, in
// units.
func (l QuotaLimits) allowance(q account.Quota) float64 {
	return l.OvershootRatio*(q.Rate*l.Window.Seconds()+q.Burst) + l.OvershootFixed
}

// capacity returns the bucket that holds an account to its quota. It is deeper than the
// burst by half of the permitted overshoot: a single request may cost as much as the burst
// of a small account, so a bucket of the burst alone would refuse one of two requests that
// arrive together although the account is far below its limit in a window.
func (l QuotaLimits) capacity(q account.Quota) lending.Capacity {
	return lending.Capacity{Rate: q.Rate, Burst: q.Burst + burstAllowanceShare*l.allowance(q)}
}

// quotas enforces the quotas of client accounts over all gateways.
type quotas struct {
	limits QuotaLimits
	pool   *lending.Pool
	clock  func() time.Duration
	// gateways returns the number of gateways, including this one.
	gateways func() int
	// limited is set while the table has accounts with a quota.
	limited atomic.Bool
}

// newQuotas returns the quotas of a gateway without accounts. Of the permitted overshoot,
// the pool gets what the depth of the buckets leaves.
func newQuotas(l QuotaLimits, incarnation uint64, gateways func() int, clock func() time.Duration) *quotas {
	const rest = 1 - burstAllowanceShare
	terms := lending.Terms{Loan: quotaLoan, Window: l.Window, OvershootRatio: rest * l.OvershootRatio, OvershootFixed: rest * l.OvershootFixed}
	return &quotas{limits: l, pool: lending.New(terms, incarnation, clock()), clock: clock, gateways: gateways}
}

// resourceOf returns the identifier of the quota of an account.
func resourceOf(a *account.Account) lending.ID { return lending.ID(xxhash.Sum64String(a.Name)) }

// apply puts the quotas of a table in force.
func (q *quotas) apply(t *routing.Table) {
	capacities := make(map[lending.ID]lending.Capacity)
	if t.Accounts != nil {
		for _, a := range t.Accounts.All() {
			if !a.Quota.Unlimited() {
				capacities[resourceOf(a)] = q.limits.capacity(a.Quota)
			}
		}
	}
	q.pool.SetCapacities(func(id lending.ID) (lending.Capacity, bool) {
		c, ok := capacities[id]
		return c, ok
	}, q.clock())
	q.limited.Store(len(capacities) > 0)
}

// report returns the report to send to the other gateways, or nil if no account has a
// quota.
func (q *quotas) report(onlyChanged bool) *lending.Report {
	if !q.limited.Load() {
		return nil
	}
	now := q.clock()
	q.pool.SetHolders(q.gateways(), now)
	r := q.pool.Report(onlyChanged, now)
	return &r
}

// receive applies the report of another gateway.
func (q *quotas) receive(peer string, r *lending.Report) {
	if r != nil {
		q.pool.Receive(peer, *r, q.clock())
	}
}

// reserveFor returns the units of a quota that a request leaves to cheap ones.
func reserveFor(q account.Quota, units float64) float64 {
	if units > cheapShare*q.Burst {
		return cheapReserve * q.Burst
	}
	return 0
}

// take takes units from the quota of an account. A request waits for a moment if only the
// other gateways are to be heard from.
func (q *quotas) take(ctx context.Context, a *account.Account, units float64) lending.Decision {
	id, reserve := resourceOf(a), reserveFor(a.Quota, units)
	// A gateway that has no peer sends no report, so the number of gateways is also set here.
	// Otherwise the pool would take this gateway for the only one.
	q.pool.SetHolders(q.gateways(), q.clock())
	for end := q.clock() + maxQuotaWait; ; {
		now := q.clock()
		settled := q.pool.Settled(now)
		d := q.pool.TakeLeaving(id, units, reserve, now)
		unheard := d.Reason == lending.Unconfirmed || d.Reason == lending.Exhausted && !settled
		if d.Granted || !unheard || now >= end || !wait.For(ctx, quotaWaitStep) {
			return d
		}
	}
}

// usesQuota reports whether the call counts against the quota of its account.
func usesQuota(c *Call) bool {
	return c.Account != nil && !c.Account.Quota.Unlimited() && !c.Route.Public
}

// chargeQuota takes the cost of the call from the quota of its account.
func (g *Gateway) chargeQuota(ctx context.Context, c *Call) *fault.Error {
	if !usesQuota(c) {
		return nil
	}
	units := cost(c, c.Account.Quota)
	d := g.quotas.take(ctx, c.Account, units)
	if d.Granted {
		c.quotaCost = units
		g.Metrics.quotaUsed(c.Account.Name, units)
		if q := c.Account.Quota; units > announcedShare*q.Burst {
			// Until the others know that there is no more, another one may admit a request too much,
			// and the next one that fits is refused for it.
			g.announceChange(d.Level < units+reserveFor(q, units))
		}
		return nil
	}
	g.Logger.Info("quota exceeded", "request", c.ID, "account", c.Account.Name, "units", units, "level", int64(d.Level), "share", d.Share,
		"unconfirmed", d.Reason == lending.Unconfirmed, "retry_after_ms", d.RetryAfter.Milliseconds(), "config_version", c.Version)
	return quotaExceededError(c.Account.Name, d.RetryAfter)
}

// returnQuota gives the cost of a call that has not run back to the quota of its account.
func (g *Gateway) returnQuota(c *Call) {
	if c.quotaCost == 0 {
		return
	}
	g.quotas.pool.Return(resourceOf(c.Account), c.quotaCost, g.quotas.clock())
	g.Metrics.quotaUsed(c.Account.Name, -c.quotaCost)
	c.quotaCost = 0
}

// quotaExceededError tells the client when its request will fit, a little later at random so
// that refused clients do not all return at the same time.
func quotaExceededError(account string, after time.Duration) *fault.Error {
	after += time.Duration(quotaRetrySpread * rand.Float64() * float64(after))
	return fault.New(fault.KindQuotaExceeded, "send the request again after Retry-After, or ask the operator for a higher quota",
		"account %s has used up its quota", account).WithRetryAfter(max(after, minRetryDelay))
}
