package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/fairqueue"
)

const (
	// priorRequests is the number of requests of mean work that each account counts as
	// having had. It keeps single requests of quiet accounts from changing the order.
	priorRequests = 2
	// accountRetention is how long an account without new work is remembered. By then
	// its usage has decayed to 5%.
	accountRetention = 3 * fairqueue.UsageTimeConstant
	// workWeight is the weight of a new request in the moving mean of the work of one
	// request.
	workWeight = 0.05
	// yieldShare is the part of the span by which an account with twice its share, or
	// more, goes later, and one without work earlier. With 0.25, TestHotAccount loses up
	// to 4 in 100 requests of quiet accounts, with 0.35 at most 1.
	yieldShare = 0.35
)

// Accounts holds the work that client accounts had lately, at this gateway and, by their
// reports, at the others. The unit is the caller's: tokens, or seconds at upstreams. It decays
// as in package fairqueue. It is not safe for concurrent use. Times are durations since an
// arbitrary start.
type Accounts struct {
	accounts map[string]*accountWork
	// total is the work of all accounts at this gateway.
	total     fairqueue.Usage
	meanWork  float64
	lastSweep time.Duration
	// reports holds the last report of each other gateway, and reported their sum by account.
	reports  map[string]*receivedReport
	reported map[string]*accountWork
	// sums caches the result of all for one moment, at which all waiting requests are ranked.
	sums struct {
		valid  bool
		at     time.Duration
		work   float64
		active int
	}
}

// accountWork is the work that one account had lately.
type accountWork struct {
	usage    fairqueue.Usage
	lastUsed time.Duration
}

// AccountsReport tells the other gateways about the accounts with the most work at one.
type AccountsReport struct {
	// Total is the work of all accounts, those that Accounts omits included.
	Total float64
	// Active is the number of accounts that had work lately.
	Active int
	// Accounts are those with the most work.
	Accounts []AccountWork
}

// AccountWork is the recent work of one account.
type AccountWork struct {
	Name string
	Work float64
}

// receivedReport is the last report of another gateway. Without a newer one, its work
// decays, since it was done all the same.
type receivedReport struct {
	total      fairqueue.Usage
	active     int
	accounts   map[string]fairqueue.Usage
	receivedAt time.Duration
}

// NewAccounts returns an empty Accounts.
func NewAccounts() *Accounts {
	return &Accounts{accounts: make(map[string]*accountWork), reports: make(map[string]*receivedReport), reported: make(map[string]*accountWork)}
}

// workOf returns the entry of an account, creating it if necessary.
func workOf(m map[string]*accountWork, account string, now time.Duration) *accountWork {
	w, ok := m[account]
	if !ok {
		w = &accountWork{}
		m[account] = w
	}
	w.lastUsed = now
	return w
}

// Record adds the work of a request that was admitted.
func (a *Accounts) Record(now time.Duration, account string, work float64) {
	a.sweep(now)
	a.sums.valid = false
	workOf(a.accounts, account, now).usage.Add(now, work)
	a.total.Add(now, work)
	if a.meanWork == 0 {
		a.meanWork = work
	}
	a.meanWork += (work - a.meanWork) * workWeight
}

// Correct changes the work of a request that was recorded with an estimate.
func (a *Accounts) Correct(now time.Duration, account string, estimate, work float64) {
	a.sums.valid = false
	workOf(a.accounts, account, now).usage.Add(now, work-estimate)
	a.total.Add(now, work-estimate)
	a.meanWork = max(0, a.meanWork+(work-estimate)*workWeight)
}

// MeanWork returns the moving mean of the work of one request, or 0 before the first.
func (a *Accounts) MeanWork() float64 { return a.meanWork }

// sweep forgets the accounts that had no work for accountRetention, and the reports that are
// as old, so that memory is bounded by the number of recently active accounts and gateways.
func (a *Accounts) sweep(now time.Duration) {
	if now-a.lastSweep < accountRetention {
		return
	}
	a.lastSweep = now
	for _, m := range []map[string]*accountWork{a.accounts, a.reported} {
		maps.DeleteFunc(m, func(_ string, w *accountWork) bool { return now-w.lastUsed >= accountRetention })
	}
	maps.DeleteFunc(a.reports, func(_ string, r *receivedReport) bool { return now-r.receivedAt >= accountRetention })
}

// Report returns the work at this gateway, with at most limit accounts.
func (a *Accounts) Report(now time.Duration, limit int) AccountsReport {
	a.sweep(now)
	r := AccountsReport{Total: a.total.At(now), Active: len(a.accounts)}
	for name, w := range a.accounts {
		entry := AccountWork{Name: name, Work: w.usage.At(now)}
		i, _ := slices.BinarySearchFunc(r.Accounts, entry, func(x, y AccountWork) int {
			return cmp.Or(cmp.Compare(y.Work, x.Work), cmp.Compare(x.Name, y.Name))
		})
		if i < limit {
			r.Accounts = slices.Insert(r.Accounts, i, entry)
			r.Accounts = r.Accounts[:min(limit, len(r.Accounts))]
		}
	}
	return r
}

// Receive replaces the report of another gateway.
func (a *Accounts) Receive(now time.Duration, gateway string, r AccountsReport) {
	a.sweep(now)
	a.sums.valid = false
	if old := a.reports[gateway]; old != nil {
		for name, usage := range old.accounts {
			if w := a.reported[name]; w != nil {
				w.usage.Add(now, -usage.At(now))
			}
		}
	}
	if r.Active == 0 {
		delete(a.reports, gateway)
		return
	}
	latest := &receivedReport{active: r.Active, accounts: make(map[string]fairqueue.Usage), receivedAt: now}
	latest.total.Add(now, r.Total)
	for _, w := range r.Accounts {
		var usage fairqueue.Usage
		usage.Add(now, w.Work)
		latest.accounts[w.Name] = usage
		workOf(a.reported, w.Name, now).usage.Add(now, w.Work)
	}
	a.reports[gateway] = latest
}

// all returns the work of all accounts at all gateways, and the number of active accounts.
// Accounts that no report names are counted only as far as one gateway has more than are
// known here.
func (a *Accounts) all(now time.Duration) (work float64, active int) {
	if a.sums.valid && a.sums.at == now {
		return a.sums.work, a.sums.active
	}
	work, active = a.total.At(now), len(a.accounts)
	for name := range a.reported {
		if a.accounts[name] == nil {
			active++
		}
	}
	for _, r := range a.reports {
		work += r.total.At(now)
		active = max(active, r.active)
	}
	a.sums.valid, a.sums.at, a.sums.work, a.sums.active = true, now, work, active
	return work, active
}

// Standing compares the recent work of an account with the mean of all active accounts:
// 0 means that it had the mean, 1 that it had twice as much or more, and values down to
// -1 that it had less.
func (a *Accounts) Standing(now time.Duration, account string) float64 {
	work, active := a.all(now)
	if active < 2 {
		return 0
	}
	own := 0.0
	for _, m := range []map[string]*accountWork{a.accounts, a.reported} {
		if w, ok := m[account]; ok {
			own += w.usage.At(now)
		}
	}
	prior := priorRequests * a.meanWork
	mean := work/float64(active) + prior
	if mean <= 0 {
		return 0
	}
	return max(-1, min(1, (own+prior)/mean-1))
}

// Yield returns by how much a request of an account with this standing is ordered later
// among those of equal priority and lateness. span is the time over which such requests
// are ordered: the latency target of those on time, or the time from there to the
// deadline of late ones. The result is a fraction of it, so that the most urgent
// requests still go first.
func Yield(standing float64, span time.Duration) time.Duration {
	return time.Duration(yieldShare * standing * float64(span))
}
