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

	"github.com/fescueslip/fescueslip/internal/exchange"
)

const (
	// DefaultCallTimeout bounds a short call. It leaves time for a busy engine
	// and still detects a connection that passes no data within 3 s.
	DefaultCallTimeout = time.Second
	// DefaultLongCallTimeout bounds a prefill or an import whose request sets no
	// timeout.
	DefaultLongCallTimeout = time.Minute
	// DecodeIdleTimeout bounds the time between two lines of a decode stream.
	DecodeIdleTimeout = 2 * time.Second
	// maxIdleConns allows one idle connection for each request that a decode
	// engine runs concurrently.
	maxIdleConns    = 64
	idleConnTimeout = time.Minute
	// maxBodyBytes bounds a response body; the longest is the list of requests.
	maxBodyBytes = 8 << 20
	maxLineBytes = 1 << 20
)

// DialFunc opens a connection. Tests pass the Dial method of an in-memory network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// HTTPOptions configures an HTTPClient.
type HTTPOptions struct {
	// BaseURL is the engine's address, for example http://127.0.0.1:9000.
	BaseURL string
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// CallTimeout bounds each short call; 0 selects DefaultCallTimeout.
	CallTimeout time.Duration
}

// HTTPClient implements Client over net/http. Long calls (prefill, import,
// decode) and short calls use separate connection pools, so that a short call
// never waits behind a long one.
type HTTPClient struct {
	baseURL     string
	callTimeout time.Duration
	shortCalls  *http.Client
	longCalls   *http.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client for the engine at o.BaseURL.
func NewHTTPClient(o HTTPOptions) *HTTPClient {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: DefaultCallTimeout}).DialContext
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &HTTPClient{
		baseURL:     strings.TrimSuffix(o.BaseURL, "/"),
		callTimeout: o.CallTimeout,
		shortCalls:  newHTTPClient(o.Dial),
		longCalls:   newHTTPClient(o.Dial),
	}
}

func newHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: exchange.MaxHeadBytes,
		},
		// An engine answers itself; another address is never asked in its place.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() {
	c.shortCalls.CloseIdleConnections()
	c.longCalls.CloseIdleConnections()
}

// Health implements Client.
func (c *HTTPClient) Health(ctx context.Context) error {
	return c.shortCall(ctx, http.MethodGet, "/healthz", nil, nil)
}

// Info implements Client.
func (c *HTTPClient) Info(ctx context.Context) (Info, error) {
	var out Info
	err := c.shortCall(ctx, http.MethodGet, "/v1/info", nil, &out)
	return out, err
}

// Prefill implements Client.
func (c *HTTPClient) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	var out PrefillResult
	err := c.do(ctx, c.longCalls, longCallTimeout(r.Timeout), http.MethodPost, "/v1/prefill", r, &out)
	return out, err
}

// Release implements Client.
func (c *HTTPClient) Release(ctx context.Context, handle string) error {
	body := struct {
		Handle string `json:"handle"`
	}{handle}
	return c.shortCall(ctx, http.MethodPost, "/v1/kv/release", body, nil)
}

// Import implements Client.
func (c *HTTPClient) Import(ctx context.Context, r ImportRequest) (ImportResult, error) {
	var out ImportResult
	err := c.do(ctx, c.longCalls, longCallTimeout(r.Timeout), http.MethodPost, "/v1/kv/import", r, &out)
	return out, err
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, requestID string) (CancelResult, error) {
	body := struct {
		RequestID string `json:"request_id"`
	}{requestID}
	var out CancelResult
	err := c.shortCall(ctx, http.MethodPost, "/v1/cancel", body, &out)
	return out, err
}

// Requests implements Client.
func (c *HTTPClient) Requests(ctx context.Context) ([]RequestInfo, error) {
	var out struct {
		Requests []RequestInfo `json:"requests"`
	}
	err := c.shortCall(ctx, http.MethodGet, "/v1/requests", nil, &out)
	return out.Requests, err
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context) (Load, error) {
	var out Load
	err := c.shortCall(ctx, http.MethodGet, "/v1/load", nil, &out)
	return out, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	var out CacheEvents
	err := c.shortCall(ctx, http.MethodGet, "/v1/cache/events?"+q.Encode(), nil, &out)
	return out, err
}

// IssueOrder implements Client.
func (c *HTTPClient) IssueOrder(ctx context.Context, o Order) error {
	return c.shortCall(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// CurrentOrder implements Client.
func (c *HTTPClient) CurrentOrder(ctx context.Context) (Order, bool, error) {
	var out Order
	err := c.shortCall(ctx, http.MethodGet, "/v1/orders/current", nil, &out)
	var api *APIError
	if errors.As(err, &api) && api.Status == http.StatusNotFound {
		return Order{}, false, nil
	}
	return out, err == nil, err
}

// longCallTimeout returns d, or DefaultLongCallTimeout when d is not positive.
func longCallTimeout(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultLongCallTimeout
	}
	return d
}

// shortCall sends one request with the timeout of short calls.
func (c *HTTPClient) shortCall(ctx context.Context, method, path string, in, out any) error {
	return c.do(ctx, c.shortCalls, c.callTimeout, method, path, in, out)
}

// do sends one request with hc and decodes the response into out.
func (c *HTTPClient) do(ctx context.Context, hc *http.Client, timeout time.Duration, method, path string, in, out any) error {
	callCtx, cancel := context.WithTimeoutCause(ctx, timeout, ErrTimeout)
	defer cancel()
	resp, err := c.send(callCtx, hc, method, path, in)
	if err != nil {
		return c.classifyError(ctx, callCtx, err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return c.classifyError(ctx, callCtx, err, path)
	}
	if resp.StatusCode != http.StatusOK {
		return parseAPIError(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrapf(err, "parse the engine's response to %s", path)
	}
	return nil
}

// send encodes in as the JSON body and sends the request. The caller closes the
// body of the response.
func (c *HTTPClient) send(ctx context.Context, hc *http.Client, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrapf(err, "encode the engine request to %s", path)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, errors.Wrapf(err, "create the engine request to %s", path)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return hc.Do(req)
}

// classifyError converts a transport error into ErrTimeout or ErrUnreachable. If
// the caller's context was cancelled, the cause is returned unchanged; if its
// deadline passed, the result is ErrTimeout as well.
func (c *HTTPClient) classifyError(parent, callCtx context.Context, err error, path string) error {
	if parent.Err() != nil && !errors.Is(parent.Err(), context.DeadlineExceeded) {
		return context.Cause(parent)
	}
	if callCtx.Err() != nil {
		c.Close()
		return errors.Wrap(ErrTimeout, path)
	}
	return errors.Wrapf(ErrUnreachable, "%s (%v)", path, err)
}

// parseAPIError returns the error that an error response describes.
func parseAPIError(status int, body []byte) error {
	var b errorBody
	_ = json.Unmarshal(body, &b)
	return b.toError(status)
}
