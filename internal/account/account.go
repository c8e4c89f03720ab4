package account

import (
	"fmt"
	"math"
	"strings"
)

// Unit is what a quota counts.
type Unit int

// Units of quotas.
const (
	// Requests counts each request as 1.
	Requests Unit = iota
	// Tokens counts the prompt tokens and the maximum output tokens of each request.
	Tokens
)

// Quota limits what the requests of an account may use over all gateways together. The
// zero value is no limit.
type Quota struct {
	Unit Unit
	// Rate is the limit in units per second, and Burst that on what may be used at once,
	// in units.
	Rate, Burst float64
	// DefaultCost is the number of tokens that a request counts which does not declare
	// any.
	DefaultCost float64
}

// Unlimited reports whether the quota does not limit anything.
func (q Quota) Unlimited() bool { return q.Rate == 0 && q.Burst == 0 }

// Account is a client account.
type Account struct {
	Name string
	// Keys are the digests of the account's keys. An account whose last key was revoked
	// has none.
	Keys []KeyDigest
	// Priority is the rank of the account's requests, where 0 is the most urgent. Nil
	// means that the priority of the route applies.
	Priority *int
	Quota    Quota
}

// Directory holds all client accounts of one version of the configuration.
type Directory struct {
	accounts []*Account
	byKey    Index[*Account]
}

// Fault is a fault of an account in a list of accounts.
type Fault struct {
	// Index is the place of the account in the list.
	Index           int
	Name            string
	Problem, Remedy string
}

// Faults lists all faults of a list of accounts.
type Faults []Fault

// Error implements error, with a line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("account %d (%q): %s; %s", fault.Index, fault.Name, fault.Problem, fault.Remedy))
	}
	return strings.Join(lines, "\n")
}

// NewDirectory returns a directory of the accounts. Its error is of type Faults and lists
// all of them.
func NewDirectory(accounts []*Account) (*Directory, error) {
	d := &Directory{accounts: accounts}
	names := make(map[string]struct{}, len(accounts))
	var faults Faults
	for i, a := range accounts {
		add := func(remedy, problem string, args ...any) {
			faults = append(faults, Fault{Index: i, Name: a.Name, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
		}
		a.validate(add)
		if _, taken := names[a.Name]; taken && a.Name != "" {
			add("give each account its own name", "the name %q is taken", a.Name)
		}
		names[a.Name] = struct{}{}
		for _, key := range a.Keys {
			if other, taken := d.byKey.Add(key, a); taken && other != a {
				add("give each its own key", "accounts %q and %q have the same key", other.Name, a.Name)
			}
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// validate reports the faults of the account itself.
func (a *Account) validate(report func(remedy, problem string, args ...any)) {
	if a.Name == "" {
		report("give the account a name", "the name is missing")
	}
	for _, field := range []struct {
		name  string
		value float64
	}{{"rate", a.Quota.Rate}, {"burst", a.Quota.Burst}, {"cost of requests that declare no tokens", a.Quota.DefaultCost}} {
		if math.IsNaN(field.value) || math.IsInf(field.value, 0) || field.value < 0 {
			report("use a number that is not negative", "the %s is %v", field.name, field.value)
		}
	}
}

// Find returns the account of the key, or nil if no account has it.
func (d *Directory) Find(key KeyDigest) *Account {
	a, _ := d.byKey.Find(key)
	return a
}

// All returns all accounts. The caller must not modify them.
func (d *Directory) All() []*Account { return d.accounts }

// WithoutKey returns the names of the accounts that no request can use, because they have
// no key.
func (d *Directory) WithoutKey() []string {
	var names []string
	for _, a := range d.accounts {
		if len(a.Keys) == 0 {
			names = append(names, a.Name)
		}
	}
	return names
}
