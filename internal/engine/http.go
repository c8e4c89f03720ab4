package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// DefaultCallTimeout bounds a short call. It allows for an engine that is
	// busy, and keeps the detection of a silent connection within 3 s.
	DefaultCallTimeout = time.Second
	// DefaultWorkTimeout bounds a prefill or an import without its own bound.
	DefaultWorkTimeout = time.Minute
	// IdleTimeout bounds the time between two lines of a decode stream.
	IdleTimeout = 2 * time.Second
	// maxIdleConns keeps one connection for each request that a decode engine runs.
	maxIdleConns = 64
	idleConnTime = time.Minute
	// maxBodyBytes bounds an answer; the longest is the list of requests.
	maxBodyBytes = 8 << 20
	maxLineBytes = 1 << 20
)

// DialFunc opens a connection; tests replace it by an in-memory network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// HTTPOptions are the settings of an HTTP client.
type HTTPOptions struct {
	// BaseURL is the engine's address, for example http://127.0.0.1:9000.
	BaseURL string
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// CallTimeout bounds each short call; 0 selects DefaultCallTimeout.
	CallTimeout time.Duration
}

// HTTP is a Client over net/http. Long calls (prefill, import, decode) and
// short calls use separate connections, so that a short call never waits
// behind work.
type HTTP struct {
	base    string
	timeout time.Duration
	short   *http.Client
	work    *http.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTPClient returns a client of the engine at o.BaseURL.
func NewHTTPClient(o HTTPOptions) *HTTP {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: DefaultCallTimeout}).DialContext
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &HTTP{
		base:    strings.TrimSuffix(o.BaseURL, "/"),
		timeout: o.CallTimeout,
		short:   newHTTPClient(o.Dial),
		work:    newHTTPClient(o.Dial),
	}
}

func newHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,
	}}
}

// Close drops the idle connections.
func (c *HTTP) Close() {
	c.short.CloseIdleConnections()
	c.work.CloseIdleConnections()
}

// Health implements Client.
func (c *HTTP) Health(ctx context.Context) error {
	return c.call(ctx, http.MethodGet, "/healthz", nil, nil)
}

// Info implements Client.
func (c *HTTP) Info(ctx context.Context) (Info, error) {
	var out Info
	err := c.call(ctx, http.MethodGet, "/v1/info", nil, &out)
	return out, err
}

// Prefill implements Client.
func (c *HTTP) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	var out PrefillResult
	err := c.do(ctx, c.work, workTimeout(r.Timeout), http.MethodPost, "/v1/prefill", r, &out)
	return out, err
}

// Release implements Client.
func (c *HTTP) Release(ctx context.Context, handle string) error {
	body := struct {
		Handle string `json:"handle"`
	}{handle}
	return c.call(ctx, http.MethodPost, "/v1/kv/release", body, nil)
}

// Import implements Client.
func (c *HTTP) Import(ctx context.Context, r ImportRequest) (ImportResult, error) {
	var out ImportResult
	err := c.do(ctx, c.work, workTimeout(r.Timeout), http.MethodPost, "/v1/kv/import", r, &out)
	return out, err
}

// Cancel implements Client.
func (c *HTTP) Cancel(ctx context.Context, requestID string) (CancelResult, error) {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	var out CancelResult
	err := c.call(ctx, http.MethodPost, "/v1/cancel", body, &out)
	return out, err
}

// Requests implements Client.
func (c *HTTP) Requests(ctx context.Context) ([]RequestInfo, error) {
	var out struct {
		Requests []RequestInfo `json:"requests"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/requests", nil, &out)
	return out.Requests, err
}

// Load implements Client.
func (c *HTTP) Load(ctx context.Context) (Load, error) {
	var out Load
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &out)
	return out, err
}

// CacheEvents implements Client.
func (c *HTTP) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var out CacheEvents
	err := c.call(ctx, http.MethodGet, "/v1/cache/events?"+q.Encode(), nil, &out)
	return out, err
}

// IssueOrder implements Client.
func (c *HTTP) IssueOrder(ctx context.Context, o Order) error {
	return c.call(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// CurrentOrder implements Client.
func (c *HTTP) CurrentOrder(ctx context.Context) (Order, bool, error) {
	var out Order
	err := c.call(ctx, http.MethodGet, "/v1/orders/current", nil, &out)
	var api *APIError
	if errors.As(err, &api) && api.Status == http.StatusNotFound {
		return Order{}, false, nil
	}
	return out, err == nil, err
}

func workTimeout(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultWorkTimeout
	}
	return d
}

func (c *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	return c.do(ctx, c.short, c.timeout, method, path, in, out)
}

// do sends one request and decodes the answer into out.
func (c *HTTP) do(ctx context.Context, hc *http.Client, limit time.Duration, method, path string, in, out any) error {
	call, cancel := context.WithTimeoutCause(ctx, limit, ErrTimeout)
	defer cancel()
	resp, err := c.send(call, hc, method, path, in)
	if err != nil {
		return c.classify(ctx, call, err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return c.classify(ctx, call, err, path)
	}
	if resp.StatusCode != http.StatusOK {
		return apiError(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrapf(err, "decode the engine's answer to %s", path)
	}
	return nil
}

func (c *HTTP) send(ctx context.Context, hc *http.Client, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode engine request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build engine request")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return hc.Do(req)
}

// classify turns a transport error into ErrSilent or ErrUnreachable. The end of
// the caller's own context is passed on as it is, except that a deadline there
// also counts as silence.
func (c *HTTP) classify(parent, call context.Context, err error, path string) error {
	if parent.Err() != nil && !errors.Is(parent.Err(), context.DeadlineExceeded) {
		return context.Cause(parent)
	}
	if call.Err() != nil {
		c.Close()
		return errors.Wrap(ErrTimeout, path)
	}
	return errors.Wrapf(ErrUnreachable, "%s (%v)", path, err)
}

func apiError(status int, body []byte) error {
	var b errorBody
	_ = json.Unmarshal(body, &b)
	return b.toError(status)
}
