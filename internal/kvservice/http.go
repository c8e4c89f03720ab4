package kvservice

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
)

// CallError describes a failed call. It matches ErrUnavailable if it is unknown whether
// the call took effect.
type CallError struct {
	Op, Key string
	Cause   error
	// outcomeUnknown is false if the service rejected the call, so that it certainly had
	// no effect.
	outcomeUnknown bool
}

// Error implements error.
func (e *CallError) Error() string {
	if e.outcomeUnknown {
		return fmt.Sprintf("%s %s: %v: %v", e.Op, e.Key, ErrUnavailable, e.Cause)
	}
	return fmt.Sprintf("%s %s: %v; check the address of the service in the settings and the access rights of this process", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Is reports whether target is ErrUnavailable and the outcome of the call is unknown.
func (e *CallError) Is(target error) bool { return e.outcomeUnknown && target == ErrUnavailable }

// newUnavailableError returns the error for a call of which it is unknown whether it
// took effect.
func newUnavailableError(op, key string, cause error) error {
	return &CallError{Op: op, Key: key, Cause: cause, outcomeUnknown: true}
}

// newStatusError returns the error for a response with an unexpected status. A client
// error means that the service rejected the call, except for statuses that only ask to
// try again.
func newStatusError(op, key string, status int) error {
	rejected := status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
	cause := errors.Errorf("status %d %s", status, http.StatusText(status))
	return &CallError{Op: op, Key: key, Cause: cause, outcomeUnknown: !rejected}
}

const (
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 16
)

// newHTTPClient returns an HTTP client that does not follow redirects. It uses the default
// dialer if dial is nil.
func newHTTPClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConns,
			// Responses have few headers; a longer head is that of no KV service.
			MaxResponseHeaderBytes: exchange.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// parseBaseURL checks that raw is an HTTP URL and returns it without a trailing slash.
func parseBaseURL(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return "", errors.Errorf("%q is not a URL; use one such as http://127.0.0.1:8500", raw)
	}
	return strings.TrimSuffix(u.Scheme+"://"+u.Host+u.Path, "/"), nil
}
