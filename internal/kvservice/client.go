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
	// DefaultCallTimeout bounds a read or write; the service answers in milliseconds.
	DefaultCallTimeout = time.Second
	// DefaultWatchWait is how long the service blocks a watch. Together with
	// watchSlack and DefaultCallTimeout it keeps a silent connection from
	// being trusted for more than 3 s.
	DefaultWatchWait = 1700 * time.Millisecond
	// watchSlack allows for the jitter that the service adds to a wait (wait/16).
	watchSlack = 200 * time.Millisecond

	readTries        = 2
	firstReadBackoff = 20 * time.Millisecond
	firstWatchDelay  = 100 * time.Millisecond
	maxWatchDelay    = 2 * time.Second

	// maxResponseBytes holds the largest value in base64 with its envelope.
	maxResponseBytes = MaxValueBytes*4/3 + 64<<10
	indexHeader      = "X-Consul-Index"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions configures a Client. Zero values mean the defaults.
type ClientOptions struct {
	// URL is the base URL of the service, such as http://127.0.0.1:8500.
	URL  string
	Dial DialFunc
	// CallTimeout bounds each try of a read, each write, and the wait for the budget.
	CallTimeout time.Duration
	// WatchWait is how long the service may block one watch.
	WatchWait  time.Duration
	RateLimits RateLimits
}

// Client is the HTTP client of the key-value service. It implements KV and is
// safe for concurrent use. Reads are repeated after a failure, writes never are.
type Client struct {
	base        string
	http        *http.Client
	callTimeout time.Duration
	watchWait   time.Duration
	reads       *meter
	writes      *meter
	watches     *meter

	mu sync.Mutex
	// watchDelay is the pause before the next watch; nil after a success.
	watchDelay *backoff.ExponentialBackOff
}

var _ KV = (*Client)(nil)

// NewClient returns a client of the key-value service.
func NewClient(o ClientOptions) (*Client, error) {
	base, err := baseURL(o.URL)
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
		reads:       newMeter(o.RateLimits.Reads),
		writes:      newMeter(o.RateLimits.Writes),
		watches:     newMeter(o.RateLimits.Watches),
	}, nil
}

// Counts returns how many calls of each kind were made.
func (c *Client) Counts() CallCounts {
	return CallCounts{Reads: c.reads.counts(), Writes: c.writes.counts(), Watches: c.watches.counts()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements KV. The second try uses a new connection if the first one had
// gone silent, because a timeout closes the connection.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstReadBackoff
	read := func() (reply, error) {
		if err := c.reads.take(ctx, c.callTimeout); err != nil {
			return reply{}, backoff.Permanent(err)
		}
		tryCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
		answer, err := c.get(tryCtx, c.reads, key, nil)
		if err != nil && !errors.Is(err, ErrUnavailable) {
			err = backoff.Permanent(err)
		}
		return answer, err
	}
	answer, err := backoff.Retry(ctx, read, backoff.WithBackOff(delay), backoff.WithMaxTries(readTries))
	return answer.entry, err
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, errors.Errorf("value of %s has %d bytes; keep it within %d", key, len(value), MaxValueBytes)
	}
	if err := c.writes.take(ctx, c.callTimeout); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	c.writes.begin()
	done, err := c.put(ctx, key, value, index)
	c.writes.end(err)
	return done, err
}

func (c *Client) put(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url(key, query), bytes.NewReader(value))
	if err != nil {
		return false, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot send the write a second time on
	// another connection.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return false, unavailable("write", key, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return false, unavailable("write", key, err)
	}
	if resp.StatusCode != http.StatusOK {
		return false, statusError("write", key, resp.StatusCode)
	}
	switch strings.TrimSpace(string(body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, unavailable("write", key, errors.Errorf("answer %.40q is neither true nor false", body))
	}
}

// Watch implements KV. After a failure, the next watch is delayed by an
// exponential backoff with jitter, so that a caller may call Watch in a loop.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	if err := c.pause(ctx); err != nil {
		return Entry{}, err
	}
	answer, err := c.watch(ctx, key, after)
	if err == nil && answer.entry.Index == 0 && after == 0 {
		// An absent key is watched from the index of the whole service.
		answer, err = c.watch(ctx, key, max(answer.index, 1))
	}
	if ctx.Err() != nil && err != nil {
		return Entry{}, ctx.Err()
	}
	c.setWatchDelay(err)
	return answer.entry, err
}

func (c *Client) watch(ctx context.Context, key string, after uint64) (reply, error) {
	if err := c.watches.take(ctx, maxWatchDelay); err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.watchWait+watchSlack+c.callTimeout)
	defer cancel()
	query := url.Values{}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", fmt.Sprintf("%dms", c.watchWait.Milliseconds()))
	}
	return c.get(ctx, c.watches, key, query)
}

func (c *Client) pause(ctx context.Context) error {
	c.mu.Lock()
	var delay time.Duration
	if c.watchDelay != nil {
		delay = c.watchDelay.NextBackOff()
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

func (c *Client) setWatchDelay(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.watchDelay = nil
		return
	}
	if c.watchDelay == nil {
		c.watchDelay = backoff.NewExponentialBackOff()
		c.watchDelay.InitialInterval = firstWatchDelay
		c.watchDelay.MaxInterval = maxWatchDelay
	}
}

// reply is an entry with the index that the service reports for the whole answer.
type reply struct {
	entry Entry
	index uint64
}

func (c *Client) get(ctx context.Context, m *meter, key string, query url.Values) (reply, error) {
	m.begin()
	r, err := c.fetch(ctx, key, query)
	m.end(err)
	return r, err
}

func (c *Client) fetch(ctx context.Context, key string, query url.Values) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(key, query), nil)
	if err != nil {
		return reply{}, errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, unavailable("read", key, err)
	}
	defer resp.Body.Close()
	// A missing or malformed header leaves the index at 0, which only costs a watch.
	index, _ := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	if resp.StatusCode == http.StatusNotFound {
		return reply{entry: Entry{Key: key}, index: index}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return reply{}, statusError("read", key, resp.StatusCode)
	}
	entry, err := decodeEntry(resp.Body, key)
	return reply{entry: entry, index: index}, err
}

func decodeEntry(body io.Reader, key string) (Entry, error) {
	var items []struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&items); err != nil {
		return Entry{}, unavailable("read", key, err)
	}
	if len(items) != 1 || items[0].Key != key || items[0].ModifyIndex == 0 {
		return Entry{}, unavailable("read", key, errors.New("the answer is not the entry of the key"))
	}
	return Entry{Key: key, Value: items[0].Value, Index: items[0].ModifyIndex}, nil
}

func (c *Client) url(key string, query url.Values) string {
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
