package demo

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/standin/control"
)

// listener shortens the signature of reopenListener.
type listener = net.Listener

// controlServer serves the control API, through which faults are injected into
// the stand-ins and the nodes.
type controlServer struct{ http *http.Server }

func (c *controlServer) close() {
	if c != nil {
		_ = c.http.Close()
	}
}

func (c *Cluster) startControl(context.Context) error {
	c.registerFaultTargets()
	l, err := c.network.Listen(c.options.Addresses.Control)
	if err != nil {
		return err
	}
	c.control = &controlServer{http: &http.Server{Handler: c.registry.Handler(), ReadHeaderTimeout: time.Second}}
	go func() { _ = c.control.http.Serve(l) }()
	return nil
}

func (c *Cluster) registerFaultTargets() {
	for _, e := range c.engines {
		c.registry.AddEngine(e)
		c.registry.AddTarget("link-"+e.Name(), map[string]control.FaultFunc{
			"stall_transfer": func(d time.Duration) error { e.StallTransfers(d); return nil },
		})
	}
	c.registry.AddBookings(c.orders)
	for _, b := range c.bookings {
		c.registry.AddTarget(b.Name(), b.Faults())
	}
	c.registry.AddTarget("store", c.kv.Faults())
	c.registry.AddTarget("list", c.instanceList.Faults())
	for _, n := range c.nodes() {
		c.registry.AddTarget(n.name(), map[string]control.FaultFunc{
			"crash":   func(d time.Duration) error { n.crash(d); return nil },
			"silence": func(time.Duration) error { n.blackholeConns(); return nil },
			"down":    func(d time.Duration) error { n.restart(d); return nil },
		})
	}
}

// readyPollInterval is the time between two readiness checks of all processes.
const readyPollInterval = 50 * time.Millisecond

// waitReady waits until every process is ready and every entry sees all
// processes as serving members. It returns the last check's error if ctx ends
// first.
func (c *Cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DialContext: c.network.Dial}}
	defer client.CloseIdleConnections()
	for {
		err := c.checkReady(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "wait until all processes are ready")
		case <-time.After(readyPollInterval):
		}
	}
}

// checkReady returns an error if a process is not ready or an entry does not see all
// processes as serving.
func (c *Cluster) checkReady(ctx context.Context, client *http.Client) error {
	for _, n := range c.nodes() {
		if err := c.checkStatusOK(ctx, client, "http://"+n.adminAddress+"/readyz"); err != nil {
			return errors.Wrapf(err, "check readiness of %s", n.name())
		}
	}
	return c.checkMembership(ctx, client)
}

// membershipState is the part of /debug/state that lists the members known to
// a process.
type membershipState struct {
	Parts struct {
		Members []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"members"`
	} `json:"parts"`
}

// checkMembership returns an error if an entry sees fewer serving members than the
// cluster has processes.
func (c *Cluster) checkMembership(ctx context.Context, client *http.Client) error {
	for _, n := range c.entries {
		var state membershipState
		if err := getJSON(ctx, client, "http://"+n.adminAddress+"/debug/state", &state); err != nil {
			return err
		}
		serving := 0
		for _, m := range state.Parts.Members {
			if m.State == "serving" {
				serving++
			}
		}
		if want := len(c.nodes()); serving < want {
			return errors.Errorf("%s sees %d of %d members as serving", n.name(), serving, want)
		}
	}
	return nil
}

func getJSON(ctx context.Context, client *http.Client, url string, target any) error {
	return get(ctx, client, url, func(body io.Reader) error { return json.NewDecoder(body).Decode(target) })
}

func (c *Cluster) checkStatusOK(ctx context.Context, client *http.Client, url string) error {
	return get(ctx, client, url, func(io.Reader) error { return nil })
}

func get(ctx context.Context, client *http.Client, url string, readBody func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("GET %s: unexpected status %s", url, resp.Status)
	}
	return readBody(resp.Body)
}
