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

// nodePhase is the lifecycle phase of a node.
type nodePhase int

const (
	phaseDown nodePhase = iota
	phaseRunning
	phaseStopping
)

// node is one process of the system inside the demo. It can be stopped
// gracefully, killed, and started again as a new incarnation.
type node struct {
	cluster  *Cluster
	settings settings.Settings

	mu                        sync.Mutex
	phase                     nodePhase
	incarnation               uint64
	host                      *hostNetwork
	app                       *fx.App
	cancelLifetime            context.CancelFunc // tells the process that it was killed
	peerAddress, adminAddress string
}

func (n *node) name() string { return n.settings.Instance }

// start starts the process with a new incarnation and registers it in the
// platform's instance list.
func (n *node) start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.host = newHostNetwork(n.cluster.network)
	p, err := n.buildProcess()
	if err != nil {
		return errors.Wrapf(err, "start %s", n.name())
	}
	n.app = fx.New(app.Options(p))
	if err := n.app.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", n.name())
	}
	n.peerAddress, n.adminAddress = p.PeerListener.Addr().String(), p.AdminListener.Addr().String()
	n.phase = phaseRunning
	n.register()
	return nil
}

func (n *node) buildProcess() (app.Process, error) {
	s := n.settings
	lifetime, cancel := context.WithCancel(context.Background())
	n.cancelLifetime = cancel
	p := app.Process{
		Settings:    &s,
		Incarnation: n.incarnation,
		KillContext: lifetime,
		Dial:        n.host.dial,
		Logger:      n.cluster.logger.With("instance", n.name()),
	}
	if err := n.openListeners(&p); err != nil {
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

func (n *node) openListeners(p *app.Process) error {
	listeners := []struct {
		addr string
		into *net.Listener
	}{
		{n.settings.Listen.Caller, &p.CallerListener},
		{n.settings.Listen.Peer, &p.PeerListener},
		{n.settings.Listen.Admin, &p.AdminListener},
	}
	for _, spec := range listeners {
		if spec.addr == "" {
			continue
		}
		l, err := n.host.listen(spec.addr)
		if err != nil {
			return err
		}
		*spec.into = l
	}
	return nil
}

func (n *node) register() {
	n.cluster.instanceList.Register(instances.Instance{
		Name:          n.name(),
		Role:          string(n.settings.Role),
		Upstream:      n.settings.Upstream.Name,
		FailureDomain: n.settings.FailureDomain,
		Region:        n.settings.Region,
		PeerAddress:   n.peerAddress,
		AdminAddress:  n.adminAddress,
		Incarnation:   n.incarnation,
	})
}

// restart shuts the process down gracefully in the background and starts it again d
// after the shutdown has ended. It does nothing if the process is down or already
// stopping.
func (n *node) restart(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase != phaseRunning {
		return
	}
	n.phase = phaseStopping
	oldApp, oldHost := n.app, n.host
	n.cluster.instanceList.MarkLeaving(n.name())
	n.cluster.background.Go(func() {
		if err := oldApp.Stop(context.Background()); err != nil {
			n.cluster.logger.Error("graceful shutdown failed", "instance", n.name(), "err", err)
		}
		oldHost.kill()
		n.cluster.instanceList.Remove(n.name())
		n.startAfterDelay(d)
	})
}

// crash kills the process and starts it again after d. If the process is stopping,
// its graceful shutdown is cut short and the pending restart continues.
func (n *node) crash(d time.Duration) {
	if n.kill() {
		n.cluster.background.Go(func() { n.startAfterDelay(d) })
	}
}

// kill ends the process without a graceful shutdown: it closes the process's
// listeners and connections, and then stops its goroutines in the background, so
// that they can no longer reach the network. It reports whether the process was
// running.
func (n *node) kill() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.app == nil {
		return false
	}
	n.cancelLifetime()
	n.host.kill()
	if n.phase != phaseRunning {
		return false
	}
	n.phase = phaseDown
	killed := n.app
	n.cluster.background.Go(func() { _ = killed.Stop(context.Background()) })
	return true
}

// startAfterDelay marks the process as down and starts it after d, unless the cluster
// is stopped before that.
func (n *node) startAfterDelay(d time.Duration) {
	n.mu.Lock()
	n.phase = phaseDown
	n.mu.Unlock()
	if !n.cluster.sleep(d) {
		return
	}
	if err := n.start(context.Background()); err != nil {
		n.cluster.logger.Error("restart failed", "instance", n.name(), "err", err)
	}
}

func (n *node) blackholeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host.blackhole()
}

func loopbackAddress(n int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(n)) }
