package admin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/gateway"
)

// WherePath is the path on a gateway's admin port that explains where a request would be
// placed. It answers 200 with a gateway.Explanation; else with a WhereProblem: 400 if a
// parameter is wrong, 404 if the configuration has no such route or account, and 503 while
// there is no configuration.
const WherePath = "/debug/where"

// Parameters of WherePath.
const (
	paramMethod       = "method"
	paramHost         = "host"
	paramPath         = "path"
	paramAccount      = "account"
	paramPromptTokens = "prompt-tokens"
	paramMaxOutput    = "max-output"
	paramDeadlineMs   = "deadline-ms"
	// paramExpectedOutput is the client's estimate of the output length.
	paramExpectedOutput = "expected-output"
)

// maxWhereTokens and maxWhereDeadlineMs are the largest numbers that a description may have.
const (
	maxWhereTokens     = 1 << 40
	maxWhereDeadlineMs = 24 * 3600 * 1000
)

// WhereProblem is the answer if there is no explanation.
type WhereProblem struct {
	Problem string `json:"problem"`
}

// WhereHandler answers WherePath with the explanations of where.
func WhereHandler(where func(gateway.WhereRequest) (*gateway.Explanation, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := ParseWhere(r.URL.Query())
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err)
			return
		}
		explanation, err := where(request)
		switch {
		case errors.Is(err, gateway.ErrNoConfiguration):
			writeProblem(w, http.StatusServiceUnavailable, err)
		case err != nil:
			writeProblem(w, http.StatusNotFound, err)
		default:
			writeJSON(w, explanation)
		}
	})
}

func writeProblem(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(WhereProblem{Problem: err.Error()})
}

// WhereQuery returns the parameters that describe the request.
func WhereQuery(r gateway.WhereRequest) url.Values {
	q := url.Values{}
	for name, value := range map[string]string{paramMethod: r.Method, paramHost: r.Host, paramPath: r.Path, paramAccount: r.Account} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if r.Tokens.Declared {
		q.Set(paramPromptTokens, strconv.Itoa(r.Tokens.PromptTokens))
		q.Set(paramMaxOutput, strconv.Itoa(r.Tokens.MaxOutputTokens))
	}
	if r.Tokens.ExpectedOutputTokens > 0 {
		q.Set(paramExpectedOutput, strconv.Itoa(r.Tokens.ExpectedOutputTokens))
	}
	if r.Timeout > 0 {
		q.Set(paramDeadlineMs, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	return q
}

// ParseWhere reads the parameters that describe a request. Unknown ones are errors: a
// misspelled one would change the answer without notice.
func ParseWhere(q url.Values) (gateway.WhereRequest, error) {
	known := []string{paramMethod, paramHost, paramPath, paramAccount, paramPromptTokens, paramMaxOutput, paramExpectedOutput, paramDeadlineMs}
	for name, values := range q {
		if !slices.Contains(known, name) {
			return gateway.WhereRequest{}, errors.Errorf("unknown parameter %q; use %v", name, known)
		}
		if len(values) > 1 {
			return gateway.WhereRequest{}, errors.Errorf("parameter %s is given more than once", name)
		}
	}
	r := gateway.WhereRequest{Method: q.Get(paramMethod), Host: q.Get(paramHost), Path: q.Get(paramPath), Account: q.Get(paramAccount)}
	if r.Path == "" {
		return r, errors.Errorf("parameter %s is missing", paramPath)
	}
	if q.Has(paramPromptTokens) != q.Has(paramMaxOutput) {
		return r, errors.Errorf("give both of %s and %s, or none", paramPromptTokens, paramMaxOutput)
	}
	r.Tokens.Declared = q.Has(paramPromptTokens)
	var errs [4]error
	r.Tokens.PromptTokens, errs[0] = whereNumber(q, paramPromptTokens, 0, maxWhereTokens)
	r.Tokens.MaxOutputTokens, errs[1] = whereNumber(q, paramMaxOutput, 0, maxWhereTokens)
	r.Tokens.ExpectedOutputTokens, errs[2] = whereNumber(q, paramExpectedOutput, 1, maxWhereTokens)
	ms, err := whereNumber(q, paramDeadlineMs, 1, maxWhereDeadlineMs)
	errs[3] = err
	r.Timeout = time.Duration(ms) * time.Millisecond
	return r, errors.Join(errs[:]...)
}

// whereNumber reads a whole number; 0 if the parameter is missing.
func whereNumber(q url.Values, name string, least, most int) (int, error) {
	if !q.Has(name) {
		return 0, nil
	}
	n, err := strconv.Atoi(q.Get(name))
	if err != nil || n < least || n > most {
		return 0, errors.Errorf("parameter %s is %q; give a whole number from %d to %d", name, q.Get(name), least, most)
	}
	return n, nil
}
