package kvservice

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	instancesPath = "/v1/health/service/fescueslip"
	// statusPassing is the check status of an instance that accepts new work. Any other
	// status means that the instance is leaving.
	statusPassing = "passing"
	// maxListBytes is about three times the size of a list with 4,940 instances, which have
	// about 600 bytes each.
	maxListBytes = 10 << 20
)

// InstancesOptions configures an InstancesClient. URL is required; the zero value of any
// other field selects its default.
type InstancesOptions struct {
	// URL is the base URL of the instance list.
	URL string
	// Dial opens the connections; nil means the default dialer.
	Dial DialFunc
	// CallTimeout is the timeout of each call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// InstancesClient is an HTTP client of the instance list. It implements InstanceLister.
type InstancesClient struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ InstanceLister = (*InstancesClient)(nil)

// NewInstancesClient returns a client of the instance list at o.URL. The error about an
// invalid URL names platform.instances, the setting from which processes take the URL.
func NewInstancesClient(o InstancesOptions) (*InstancesClient, error) {
	base, err := parseBaseURL(o.URL)
	if err != nil {
		return nil, errors.Wrap(err, "platform.instances")
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return &InstancesClient{base: base, http: newHTTPClient(o.Dial), timeout: o.CallTimeout}, nil
}

// Close closes idle connections.
func (c *InstancesClient) Close() { c.http.CloseIdleConnections() }

// serviceEntry is one item of the instance list in the form of Consul's health API.
type serviceEntry struct {
	Node struct {
		Datacenter string
	}
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
	Checks []struct {
		Status string
	}
}

// List implements InstanceLister.
func (c *InstancesClient) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+instancesPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request for the instance list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, newUnavailableError("list", "instances", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, newStatusError("list", "instances", resp.StatusCode)
	}
	var entries []serviceEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&entries); err != nil {
		return nil, newUnavailableError("list", "instances", err)
	}
	list := make([]Instance, 0, len(entries))
	for i := range entries {
		if entries[i].Service.ID != "" {
			list = append(list, entries[i].toInstance())
		}
	}
	return list, nil
}

func (e *serviceEntry) toInstance() Instance {
	meta := e.Service.Meta
	// A malformed incarnation becomes 0, which any announcement of the process itself
	// overrides.
	incarnation, _ := strconv.ParseUint(meta["incarnation"], 10, 64)
	region := meta["region"]
	if region == "" {
		region = e.Node.Datacenter
	}
	return Instance{
		Name:          e.Service.ID,
		Role:          meta["role"],
		Upstream:      meta["upstream"],
		FailureDomain: meta["failure_domain"],
		Region:        region,
		PeerAddress:   net.JoinHostPort(e.Service.Address, strconv.Itoa(e.Service.Port)),
		AdminAddress:  meta["admin_address"],
		Incarnation:   incarnation,
		Leaving:       e.leaving(),
	}
}

// leaving reports whether a check of the instance is not passing.
func (e *serviceEntry) leaving() bool {
	for _, check := range e.Checks {
		if check.Status != statusPassing {
			return true
		}
	}
	return false
}
