package kvservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
)

const (
	// DefaultCallTimeout is the timeout of a read or write. The service normally responds
	// within milliseconds.
	DefaultCallTimeout = time.Second
	// DefaultWatchWait is how long the service blocks a watch. The timeout of a watch is
	// the sum of this wait, watchJitterAllowance and DefaultCallTimeout, so that a
	// connection on which nothing arrives any more is given up within 3 s.
	DefaultWatchWait = 1700 * time.Millisecond
	// watchJitterAllowance covers the jitter of up to wait/16 that the service adds to the
	// wait.
	watchJitterAllowance = 200 * time.Millisecond

	maxReadAttempts     = 2
	initialReadBackoff  = 20 * time.Millisecond
	initialWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff     = 2 * time.Second

	// maxResponseBytes is the size of a response with the largest value in base64 and the
	// JSON around it.
	maxResponseBytes = MaxValueBytes*4/3 + 64<<10
	indexHeader      = "X-Consul-Index"
)

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions configures a Client. URL is required; the zero value of any other field
// selects its default.
type ClientOptions struct {
	// URL is the base URL of the service, such as http://127.0.0.1:8500.
	URL string
	// Dial opens the connections; nil means the default dialer.
	Dial DialFunc
	// CallTimeout is the timeout of each attempt of a read, of each write, and of each wait
	// for the rate limit of reads and writes.
	CallTimeout time.Duration
	// WatchWait is how long the service may block one watch.
	WatchWait  time.Duration
	RateLimits RateLimits
}

// Client is an HTTP client of the key-value service. It implements KV and is safe for
// concurrent use. It retries failed reads, but never writes, because a failed write may
// have taken effect.
type Client struct {
	base        string
	http        *http.Client
	callTimeout time.Duration
	watchWait   time.Duration
	reads       *callLimiter
	writes      *callLimiter
	watches     *callLimiter

	mu sync.Mutex
	// watchBackoff determines the delay before the next watch. It is nil after a watch
	// that succeeded.
	watchBackoff *backoff.ExponentialBackOff
}

var _ KV = (*Client)(nil)

// NewClient returns a client of the key-value service at o.URL. The error about an invalid
// URL names platform.kv, the setting from which processes take the URL.
func NewClient(o ClientOptions) (*Client, error) {
	base, err := parseBaseURL(o.URL)
	if err != nil {
		return nil, errors.Wrap(err, "platform.kv")
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.RateLimits == (RateLimits{}) {
		o.RateLimits = DefaultRateLimits()
	}
	return &Client{
		base:        base,
		http:        newHTTPClient(o.Dial),
		callTimeout: o.CallTimeout,
		watchWait:   o.WatchWait,
		reads:       newCallLimiter(o.RateLimits.Reads),
		writes:      newCallLimiter(o.RateLimits.Writes),
		watches:     newCallLimiter(o.RateLimits.Watches),
	}, nil
}

// Counts returns the counters of each kind of call.
func (c *Client) Counts() CallCounts {
	return CallCounts{Reads: c.reads.counts(), Writes: c.writes.counts(), Watches: c.watches.counts()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements KV. If the first attempt times out because its connection no longer
// delivers data, the second one uses a new connection, because a timeout closes the
// connection.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialReadBackoff
	read := func() (readResponse, error) {
		if err := c.reads.acquire(ctx, c.callTimeout); err != nil {
			return readResponse{}, backoff.Permanent(err)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
		resp, err := c.countedRead(attemptCtx, c.reads, key, nil)
		if err != nil && !errors.Is(err, ErrUnavailable) {
			err = backoff.Permanent(err)
		}
		return resp, err
	}
	resp, err := backoff.Retry(ctx, read, backoff.WithBackOff(delay), backoff.WithMaxTries(maxReadAttempts))
	return resp.entry, err
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, errors.Errorf("value of %s has %d bytes; keep it within %d", key, len(value), MaxValueBytes)
	}
	if err := c.writes.acquire(ctx, c.callTimeout); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	c.writes.recordStart()
	swapped, err := c.sendWrite(ctx, key, value, index)
	c.writes.recordEnd(err)
	return swapped, err
}

// sendWrite sends one conditional write and reports whether the service applied it.
func (c *Client) sendWrite(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.keyURL(key, query), bytes.NewReader(value))
	if err != nil {
		return false, errors.Wrapf(err, "build request to write %s", key)
	}
	// Without GetBody, the HTTP transport cannot send the write again on another
	// connection.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return false, newUnavailableError("write", key, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return false, newUnavailableError("write", key, err)
	}
	if resp.StatusCode != http.StatusOK {
		return false, newStatusError("write", key, resp.StatusCode)
	}
	switch strings.TrimSpace(string(body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, newUnavailableError("write", key, errors.Errorf("the response %.40q is neither true nor false", body))
	}
}

// Watch implements KV. After a failure, it delays the next watch by an exponential
// backoff with jitter, so that it may be called in a loop.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	if err := c.waitWatchBackoff(ctx); err != nil {
		return Entry{}, err
	}
	resp, err := c.sendWatch(ctx, key, after)
	if err == nil && resp.entry.Index == 0 && after == 0 {
		// The key does not exist, so it has no index to wait for. The watch waits for a
		// change after the index of the whole service instead.
		resp, err = c.sendWatch(ctx, key, max(resp.index, 1))
	}
	if ctx.Err() != nil && err != nil {
		return Entry{}, ctx.Err()
	}
	c.updateWatchBackoff(err)
	return resp.entry, err
}

// sendWatch sends one blocking read, or a plain read if after is 0.
func (c *Client) sendWatch(ctx context.Context, key string, after uint64) (readResponse, error) {
	if err := c.watches.acquire(ctx, maxWatchBackoff); err != nil {
		return readResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.watchWait+watchJitterAllowance+c.callTimeout)
	defer cancel()
	query := url.Values{}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", fmt.Sprintf("%dms", c.watchWait.Milliseconds()))
	}
	return c.countedRead(ctx, c.watches, key, query)
}

// waitWatchBackoff waits for the delay that the last watch caused if it failed.
func (c *Client) waitWatchBackoff(ctx context.Context) error {
	c.mu.Lock()
	var delay time.Duration
	if c.watchBackoff != nil {
		delay = c.watchBackoff.NextBackOff()
	}
	c.mu.Unlock()
	if delay == 0 {
		return nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateWatchBackoff resets the backoff after a success and starts it after the first
// failure.
func (c *Client) updateWatchBackoff(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.watchBackoff = nil
		return
	}
	if c.watchBackoff == nil {
		c.watchBackoff = backoff.NewExponentialBackOff()
		c.watchBackoff.InitialInterval = initialWatchBackoff
		c.watchBackoff.MaxInterval = maxWatchBackoff
	}
}

// readResponse is an entry with the index that the service reports for the whole
// response.
type readResponse struct {
	entry Entry
	index uint64
}

// countedRead sends a read and counts it as a call of limiter's kind.
func (c *Client) countedRead(ctx context.Context, limiter *callLimiter, key string, query url.Values) (readResponse, error) {
	limiter.recordStart()
	r, err := c.sendRead(ctx, key, query)
	limiter.recordEnd(err)
	return r, err
}

func (c *Client) sendRead(ctx context.Context, key string, query url.Values) (readResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.keyURL(key, query), nil)
	if err != nil {
		return readResponse{}, errors.Wrapf(err, "build request to read %s", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return readResponse{}, newUnavailableError("read", key, err)
	}
	defer resp.Body.Close()
	// A missing or malformed header leaves the index at 0, which costs no more than an
	// additional watch.
	index, _ := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	if resp.StatusCode == http.StatusNotFound {
		return readResponse{entry: Entry{Key: key}, index: index}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return readResponse{}, newStatusError("read", key, resp.StatusCode)
	}
	entry, err := decodeEntry(resp.Body, key)
	return readResponse{entry: entry, index: index}, err
}

func decodeEntry(body io.Reader, key string) (Entry, error) {
	var items []struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&items); err != nil {
		return Entry{}, newUnavailableError("read", key, err)
	}
	if len(items) != 1 || items[0].Key != key || items[0].ModifyIndex == 0 {
		return Entry{}, newUnavailableError("read", key, errors.Errorf("the response has %d entries, expected one entry of the key with an index", len(items)))
	}
	return Entry{Key: key, Value: items[0].Value, Index: items[0].ModifyIndex}, nil
}

// keyURL returns the URL of a key. It escapes each part of the key between slashes.
func (c *Client) keyURL(key string, query url.Values) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	u := c.base + "/v1/kv/" + strings.Join(parts, "/")
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}
