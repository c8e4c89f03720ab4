package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/lending"
)

// AccountState is the state of an account's quota, as this gateway knows it.
type AccountState struct {
	Name string
	// Rate and Burst are those of the quota, in units per second and in units.
	Rate, Burst float64
	// Level is what is left of the quota over all gateways, in units; a debt is negative.
	Level float64
	// Idle is the time since the last use that this gateway knows of.
	Idle time.Duration
}

// QuotaState is the state of all quotas.
type QuotaState struct {
	lending.State
	// Accounts lists the accounts that were used last, the one with the least left first.
	Accounts []AccountState
}

// maxAccountStates limits the accounts of a QuotaState.
const maxAccountStates = 100

// QuotaState returns the state of the quotas; ok is false if no account has one.
func (g *Gateway) QuotaState() (state QuotaState, ok bool) {
	table := g.Tables.Table()
	if table == nil || !g.quotas.limited.Load() {
		return QuotaState{}, false
	}
	now := g.quotas.clock()
	state.State = g.quotas.pool.State(now)
	levels := g.quotas.pool.Levels(now)
	for _, a := range table.Accounts.All() {
		if l, used := levels[resourceOf(a)]; used {
			state.Accounts = append(state.Accounts, AccountState{Name: a.Name, Rate: a.Quota.Rate, Burst: a.Quota.Burst, Level: l.Units, Idle: l.Idle})
		}
	}
	slices.SortFunc(state.Accounts, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(a.Level/max(1, a.Burst), b.Level/max(1, b.Burst)), cmp.Compare(a.Name, b.Name))
	})
	state.Accounts = state.Accounts[:min(len(state.Accounts), maxAccountStates)]
	return state, true
}

// accountLabels bounds the names of accounts that appear as labels of metrics.
type accountLabels struct {
	mu    sync.Mutex
	names map[string]struct{}
}

const (
	// maxAccountLabels is the number of accounts with a label of their own: those that a
	// process saw first. A time series for each of many thousand accounts would cost more
	// than the process itself.
	maxAccountLabels = 100
	// otherAccounts is the label of all other accounts.
	otherAccounts = "other"
)

// label returns the label of an account.
func (l *accountLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.names[name]; ok {
		return name
	}
	if len(l.names) >= maxAccountLabels {
		return otherAccounts
	}
	if l.names == nil {
		l.names = make(map[string]struct{})
	}
	l.names[name] = struct{}{}
	return name
}
