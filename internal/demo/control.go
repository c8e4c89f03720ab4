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

type listener = net.Listener

// controlServer serves the stand-ins' control port.
type controlServer struct{ http *http.Server }

func (c *controlServer) close() {
	if c != nil {
		_ = c.http.Close()
	}
}

func (f *Fleet) startControl(context.Context) error {
	f.registerTargets()
	l, err := f.network.Listen(f.options.Addresses.Control)
	if err != nil {
		return err
	}
	f.control = &controlServer{http: &http.Server{Handler: f.registry.Handler(), ReadHeaderTimeout: time.Second}}
	go func() { _ = f.control.http.Serve(l) }()
	return nil
}

func (f *Fleet) registerTargets() {
	for _, e := range f.engines {
		f.registry.AddEngine(e)
		f.registry.AddTarget("link-"+e.Name(), map[string]control.FaultFunc{
			"stall_transfer": func(d time.Duration) error { e.StallTransfers(d); return nil },
		})
	}
	f.registry.AddBookings(f.orders)
	for _, b := range f.bookings {
		f.registry.AddTarget(b.Name(), b.Faults())
	}
	f.registry.AddTarget("store", f.kv.Faults())
	f.registry.AddTarget("list", f.list.Faults())
	for _, n := range f.nodes() {
		f.registry.AddTarget(n.name(), map[string]control.FaultFunc{
			"crash":   func(d time.Duration) error { n.crash(d); return nil },
			"silence": func(time.Duration) error { n.silence(); return nil },
			"down":    func(d time.Duration) error { n.restart(d); return nil },
		})
	}
}

// readyPoll is the time between two looks at the processes' readiness.
const readyPoll = 50 * time.Millisecond

// waitReady returns when every process is ready and every entry knows every
// sidecar.
func (f *Fleet) waitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DialContext: f.network.Dial}}
	defer client.CloseIdleConnections()
	for {
		err := f.notReady(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "not ready in time")
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) notReady(ctx context.Context, client *http.Client) error {
	for _, n := range f.nodes() {
		if err := f.probe(ctx, client, "http://"+n.admin+"/readyz"); err != nil {
			return errors.Wrap(err, n.name())
		}
	}
	return f.notKnown(ctx, client)
}

// knownMembers is the part of a state dump that tells whom a process knows.
type knownMembers struct {
	Parts struct {
		Members []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"members"`
	} `json:"parts"`
}

func (f *Fleet) notKnown(ctx context.Context, client *http.Client) error {
	for _, n := range f.entries {
		var state knownMembers
		if err := getJSON(ctx, client, "http://"+n.admin+"/debug/state", &state); err != nil {
			return err
		}
		serving := 0
		for _, m := range state.Parts.Members {
			if m.State == "serving" {
				serving++
			}
		}
		if want := len(f.nodes()); serving < want {
			return errors.Errorf("%s knows %d of %d serving members", n.name(), serving, want)
		}
	}
	return nil
}

func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	return get(ctx, client, url, func(body io.Reader) error { return json.NewDecoder(body).Decode(into) })
}

func (f *Fleet) probe(ctx context.Context, client *http.Client, url string) error {
	return get(ctx, client, url, func(io.Reader) error { return nil })
}

func get(ctx context.Context, client *http.Client, url string, read func(io.Reader) error) error {
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
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return read(resp.Body)
}
