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
	// statusPassing is the only check status of an instance that takes new work.
	statusPassing = "passing"
	// maxListBytes holds 4,940 instances at about 600 bytes each, three times over.
	maxListBytes = 10 << 20
)

// InstancesOptions configures an InstancesClient. Zero values mean the defaults.
type InstancesOptions struct {
	// URL is the base URL of the instance list.
	URL         string
	Dial        DialFunc
	CallTimeout time.Duration
}

// InstancesClient is the HTTP client of the instance list. It implements Instances.
type InstancesClient struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ InstanceLister = (*InstancesClient)(nil)

// NewInstancesClient returns a client of the instance list.
func NewInstancesClient(o InstancesOptions) (*InstancesClient, error) {
	base, err := baseURL(o.URL)
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

// List implements Instances.
func (c *InstancesClient) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+instancesPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable("list", "instances", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError("list", "instances", resp.StatusCode)
	}
	var entries []serviceEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&entries); err != nil {
		return nil, unavailable("list", "instances", err)
	}
	list := make([]Instance, 0, len(entries))
	for i := range entries {
		if entries[i].Service.ID != "" {
			list = append(list, entries[i].instance())
		}
	}
	return list, nil
}

func (e *serviceEntry) instance() Instance {
	meta := e.Service.Meta
	// A malformed incarnation reads as 0, which any announcement of the
	// process itself overrides.
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

func (e *serviceEntry) leaving() bool {
	for _, check := range e.Checks {
		if check.Status != statusPassing {
			return true
		}
	}
	return false
}
