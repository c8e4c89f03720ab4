package demo

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"github.com/fescueslip/fescueslip/internal/app"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
)

// phase is where a node is in its life.
type phase int

const (
	down phase = iota
	running
	stopping
)

// node is one process of the system inside the demo. It can be stopped
// gracefully, killed, and started again as a new incarnation.
type node struct {
	fleet    *Fleet
	settings settings.Settings

	mu          sync.Mutex
	phase       phase
	incarnation uint64
	host        *host
	app         *fx.App
	end         context.CancelFunc // marks the process as killed
	peer, admin string
}

func (n *node) name() string { return n.settings.Instance }

// start runs the process and registers it on the platform's list.
func (n *node) start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.host = newHost(n.fleet.network)
	p, err := n.process()
	if err != nil {
		return errors.Wrapf(err, "start %s", n.name())
	}
	n.app = fx.New(app.Options(p))
	if err := n.app.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", n.name())
	}
	n.peer, n.admin = p.PeerListener.Addr().String(), p.AdminListener.Addr().String()
	n.phase = running
	n.register()
	return nil
}

func (n *node) process() (app.Process, error) {
	s := n.settings
	life, end := context.WithCancel(context.Background())
	n.end = end
	p := app.Process{
		Settings:    &s,
		Incarnation: n.incarnation,
		KillContext: life,
		Dial:        n.host.dial,
		Logger:      n.fleet.logger.With("instance", n.name()),
	}
	if err := n.listen(&p); err != nil {
		return p, err
	}
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: s.Platform.KV, Dial: n.host.dial})
	if err != nil {
		return p, err
	}
	list, err := kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: s.Platform.Instances, Dial: n.host.dial})
	if err != nil {
		return p, err
	}
	p.KV, p.Instances = kv, list
	return p, nil
}

func (n *node) listen(p *app.Process) error {
	open := []struct {
		addr string
		into *net.Listener
	}{
		{n.settings.Listen.Caller, &p.CallerListener},
		{n.settings.Listen.Peer, &p.PeerListener},
		{n.settings.Listen.Admin, &p.AdminListener},
	}
	for _, o := range open {
		if o.addr == "" {
			continue
		}
		l, err := n.host.listen(o.addr)
		if err != nil {
			return err
		}
		*o.into = l
	}
	return nil
}

func (n *node) register() {
	n.fleet.list.Register(instances.Instance{
		Name:          n.name(),
		Role:          string(n.settings.Role),
		Upstream:      n.settings.Upstream.Name,
		FailureDomain: n.settings.FailureDomain,
		Region:        n.settings.Region,
		PeerAddress:   n.peer,
		AdminAddress:  n.admin,
		Incarnation:   n.incarnation,
	})
}

// restart stops the process gracefully and starts it again after d. A process
// that is already down or stopping is left alone.
func (n *node) restart(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase != running {
		return
	}
	n.phase = stopping
	old, oldHost := n.app, n.host
	n.fleet.list.MarkLeaving(n.name())
	n.fleet.cleanup.Go(func() {
		if err := old.Stop(context.Background()); err != nil {
			n.fleet.logger.Error("graceful stop failed", "instance", n.name(), "err", err)
		}
		oldHost.kill()
		n.fleet.list.Remove(n.name())
		n.startAfter(d)
	})
}

// crash kills the process in the middle of whatever it does and starts it again
// after d. A process that is stopping loses its graceful shutdown.
func (n *node) crash(d time.Duration) {
	if n.kill() {
		n.fleet.cleanup.Go(func() { n.startAfter(d) })
	}
}

// kill ends the process without a graceful shutdown; its goroutines are cleaned
// up without a network. It reports whether the process was running.
func (n *node) kill() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.app == nil {
		return false
	}
	n.end()
	n.host.kill()
	if n.phase != running {
		return false
	}
	n.phase = down
	dead := n.app
	n.fleet.cleanup.Go(func() { _ = dead.Stop(context.Background()) })
	return true
}

func (n *node) startAfter(d time.Duration) {
	n.mu.Lock()
	n.phase = down
	n.mu.Unlock()
	if !n.fleet.sleep(d) {
		return
	}
	if err := n.start(context.Background()); err != nil {
		n.fleet.logger.Error("instance did not start again", "err", err)
	}
}

func (n *node) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host.silence()
}

func port(n int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(n)) }
