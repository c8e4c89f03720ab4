package gateway

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/account"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// authenticate finds the account of the call and its priority. It returns an error if the
// route needs a key and the call presents none of the table's accounts.
func (g *Gateway) authenticate(c *Call, t *routing.Table) *fault.Error {
	c.Priority = c.Route.Priority
	if t.Accounts == nil {
		return nil
	}
	if c.Credential.Problem == "" {
		c.Account = t.Accounts.Find(c.Credential.Key)
	}
	switch {
	case c.Account != nil:
		if p := c.Account.Priority; p != nil {
			c.Priority = *p
		}
		return nil
	case c.Route.Public:
		return nil
	case c.Credential.Problem != "":
		return invalidKeyError(c.Credential.Problem)
	case g.StoreContact(time.Now()) <= 0:
		return keyNotKnownYetError()
	default:
		return invalidKeyError("no account has this key")
	}
}

// checkCredential returns an error if the configuration in force no longer gives the call the
// account that it was accepted for. It is called right before each send, since the call may
// have waited for long.
func (g *Gateway) checkCredential(c *Call) error {
	t := g.Tables.Table()
	if t.Version == c.Version || t.Accounts == nil || c.Route.Public {
		return nil
	}
	if c.Account == nil {
		// The call was accepted when there were no accounts.
		if c.Credential.Problem != "" {
			return invalidKeyError(c.Credential.Problem)
		}
		return accountChangedError()
	}
	now := t.Accounts.Find(c.Credential.Key)
	switch {
	case now == nil:
		return invalidKeyError("the key was revoked while the request waited")
	case now.Name != c.Account.Name:
		return accountChangedError()
	default:
		return nil
	}
}

// refusalIn returns the refusal of a call by the gateway itself in the chain of err, or nil.
func refusalIn(err error) *fault.Error {
	var refusal *fault.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// invalidKeyError refuses a call that presents no valid key.
func invalidKeyError(problem string) *fault.Error {
	return fault.New(fault.KindInvalidAPIKey, "send one valid key of a client account", "%s", problem)
}

// RefuseKey implements reqhead.Refuser. Without accounts, no key is refused.
func (g *Gateway) RefuseKey(problem string) []byte {
	t := g.Tables.Table()
	if t == nil || t.Accounts == nil {
		return nil
	}
	e := invalidKeyError(problem)
	g.Metrics.refused(e.Kind, "")
	g.Logger.Info("request refused", "kind", string(e.Kind), "status", e.Status(), "cause", causeText(e),
		"config_version", t.Version)
	return e.Response()
}

// keyNotKnownYetError is for keys that a newer configuration may have, which this gateway
// cannot read at the moment.
func keyNotKnownYetError() *fault.Error {
	return fault.New(fault.KindNotReady, "send the request again after Retry-After",
		"this instance does not know the key, and cannot read the current configuration").WithRetryAfter(notReadyRetryAfter)
}

// accountChangedError is for a call whose key has another account now than when it was
// accepted.
func accountChangedError() *fault.Error {
	return fault.New(fault.KindNotReady, "send the request again", "the account of the key changed while the request waited").
		WithRetryAfter(accountChangedRetryAfter)
}

// accountChangedRetryAfter is short because the new account is in force already.
const accountChangedRetryAfter = 10 * time.Millisecond

// cost returns what the call uses of the quota of its account, in units.
func cost(c *Call, q account.Quota) float64 {
	switch {
	case q.Unit == account.Requests:
		return 1
	case c.Model.Declared:
		return float64(c.Model.PromptTokens) + float64(c.Model.MaxOutputTokens)
	default:
		return q.DefaultCost
	}
}
