package kvservice

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// CallError is a failed call. It matches ErrUnavailable when the call may or
// may not have taken effect.
type CallError struct {
	Op, Key string
	Cause   error
	// ambiguous is false when the service itself rejected the call.
	ambiguous bool
}

// Error implements error.
func (e *CallError) Error() string {
	if e.ambiguous {
		return fmt.Sprintf("%s %s: %v: %v", e.Op, e.Key, ErrUnavailable, e.Cause)
	}
	return fmt.Sprintf("%s %s: %v; check platform.kv and the rights of this process", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Is reports whether target is ErrUnavailable and the outcome is open.
func (e *CallError) Is(target error) bool { return e.ambiguous && target == ErrUnavailable }

func unavailable(op, key string, cause error) error {
	return &CallError{Op: op, Key: key, Cause: cause, ambiguous: true}
}

func statusError(op, key string, status int) error {
	rejected := status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
	cause := errors.Errorf("status %d %s", status, http.StatusText(status))
	return &CallError{Op: op, Key: key, Cause: cause, ambiguous: !rejected}
}

const (
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 16
)

func newHTTPClient(dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConns,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func baseURL(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return "", errors.Errorf("%q is not a URL; use one such as http://127.0.0.1:8500", raw)
	}
	return strings.TrimSuffix(u.Scheme+"://"+u.Host+u.Path, "/"), nil
}
