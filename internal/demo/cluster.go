// Package demo runs the whole system in one process: stand-ins for the platform
// services, the model engines and the booking servers, one sidecar per upstream,
// and the entries. The demo command serves it on loopback; tests run it on an
// in-memory network in virtual time, inject faults and check the system's
// guarantees.
package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/configstore"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
	"github.com/fescueslip/fescueslip/internal/standin/booking"
	"github.com/fescueslip/fescueslip/internal/standin/control"
	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/weights"
)

const (
	peerSecret         = "demo-peer-secret-0123456789"
	modelName          = "demo-model"
	region             = "demo"
	failureDomainCount = 3
	prefillPool        = "prefill"
	decodePool         = "decode"
	ordersPool         = "orders"
	instanceListDelay  = time.Second
	kvLatency          = 2 * time.Millisecond
	poisonMarker       = "demo-poison"
)

// callerKeys are the API keys of the demo's callers. Each key is also the name
// of its caller in the configuration.
var callerKeys = []string{"demo-caller-a", "demo-caller-b", "demo-caller-c"}

// Addresses selects the addresses on which a Cluster listens.
type Addresses struct {
	// Entry and Admin return the caller-facing and the admin address of entry i.
	Entry, Admin func(i int) string
	// Control is the address of the control API, which injects faults.
	Control string
	// Named returns the address of any other listener by its name.
	Named func(name string) string
}

// LoopbackAddresses returns the addresses of the demo command: fixed ports
// relative to basePort for the listeners that users address, and free ports for
// the rest.
func LoopbackAddresses(basePort int) Addresses {
	return Addresses{
		Entry:   func(i int) string { return loopbackAddress(basePort + i) },
		Admin:   func(i int) string { return loopbackAddress(basePort + 10 + i) },
		Control: loopbackAddress(basePort + 9),
		Named:   func(name string) string { return loopbackNamed(basePort, name) },
	}
}

// loopbackNamed returns fixed ports for the platform services, because operator
// commands take their addresses, and a free port for every other listener.
func loopbackNamed(basePort int, name string) string {
	switch name {
	case "kv":
		return loopbackAddress(basePort + 2)
	case "instances":
		return loopbackAddress(basePort + 3)
	default:
		return loopbackAddress(0)
	}
}

// InMemoryAddresses returns addresses for an in-memory network.
func InMemoryAddresses() Addresses {
	return Addresses{
		Entry:   func(i int) string { return fmt.Sprintf("entry-%d:80", i+1) },
		Admin:   func(i int) string { return fmt.Sprintf("entry-%d:81", i+1) },
		Control: "control:80",
		Named:   func(name string) string { return name + ":80" },
	}
}

// Options configures a Cluster.
type Options struct {
	Network        Network
	Addresses      Addresses
	Logger         *log.Logger
	Entries        int
	PrefillEngines int
	DecodeEngines  int
	BookingServers int
	Params         costmodel.Params
	// PoisonDecodeOnly makes poison prompts crash only decode engines.
	PoisonDecodeOnly bool
}

// DefaultOptions returns the cluster size and engine parameters of the demo
// command. Network, Addresses and Logger are left unset.
func DefaultOptions() Options {
	return Options{Entries: 2, PrefillEngines: 3, DecodeEngines: 3, BookingServers: 2, Params: costmodel.Default()}
}

// Cluster is a running instance of the whole system, stand-ins included.
type Cluster struct {
	options Options
	network Network
	logger  *log.Logger

	kv           *kvstore.Server
	instanceList *instances.Server
	weights      *weights.Store
	engines      []*engine.Engine
	journal      *engine.Journal
	orders       *booking.ExecutionLog
	bookings     []*booking.Server
	registry     *control.Registry
	control      *controlServer

	entries  []*node
	sidecars []*node

	stopped    chan struct{}
	stopOnce   sync.Once
	background sync.WaitGroup
}

// Start starts a cluster and returns when all its processes are ready. If a step
// fails, Start stops whatever it has started.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{
		options:  o,
		network:  o.Network,
		logger:   o.Logger,
		orders:   booking.NewExecutionLog(),
		registry: control.NewRegistry(),
		journal:  engine.NewJournal(),
		stopped:  make(chan struct{}),
	}
	steps := []func(context.Context) error{c.startPlatform, c.startUpstreams, c.applyInitialTicket, c.startNodes, c.startControl, c.waitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform(context.Context) error {
	kv, err := c.network.Listen(c.options.Addresses.Named("kv"))
	if err != nil {
		return err
	}
	store := kvstore.NewStore(kvstore.Options{Latency: kvLatency})
	c.kv = kvstore.Serve(store, kv, c.reopenListener(kv.Addr().String()))
	list, err := c.network.Listen(c.options.Addresses.Named("instances"))
	if err != nil {
		return err
	}
	c.instanceList = instances.Serve(instances.NewList(instanceListDelay), list)
	weightStore, err := c.network.Listen(c.options.Addresses.Named("weights"))
	if err != nil {
		return err
	}
	c.weights = weights.Serve(weights.Options{Listener: weightStore})
	return nil
}

func (c *Cluster) startUpstreams(context.Context) error {
	journal := c.journal
	for i := range c.options.PrefillEngines {
		if err := c.startEngine(fmt.Sprintf("prefill-%d", i+1), engine.RolePrefill, journal, i); err != nil {
			return err
		}
	}
	for i := range c.options.DecodeEngines {
		if err := c.startEngine(fmt.Sprintf("decode-%d", i+1), engine.RoleDecode, journal, i); err != nil {
			return err
		}
	}
	for i := range c.options.BookingServers {
		if err := c.startBooking(fmt.Sprintf("orders-%d", i+1), i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEngine(name string, role engine.Role, journal *engine.Journal, i int) error {
	l, err := c.network.Listen(c.options.Addresses.Named("engine-" + name))
	if err != nil {
		return err
	}
	poison, poisonDecode := poisonMarker, ""
	if c.options.PoisonDecodeOnly {
		poison, poisonDecode = "", poisonMarker
	}
	e := engine.New(engine.Options{
		Name:               name,
		Listener:           l,
		Relisten:           c.reopenListener(l.Addr().String()),
		Dial:               c.network.Dial,
		Params:             c.options.Params,
		Role:               role,
		Journal:            journal,
		CheckFencing:       i%2 == 0,
		WeightsURL:         "http://" + c.weights.Addr().String(),
		PoisonMarker:       poison,
		PoisonDecodeMarker: poisonDecode,
	})
	c.engines = append(c.engines, e)
	c.addSidecar(name, settings.UpstreamModel, e.Addr().String(), i)
	return nil
}

func (c *Cluster) startBooking(name string, i int) error {
	l, err := c.network.Listen(c.options.Addresses.Named("service-" + name))
	if err != nil {
		return err
	}
	b := booking.Serve(booking.Options{Name: name, Listener: l, Relisten: c.reopenListener(l.Addr().String()), ExecutionLog: c.orders})
	c.bookings = append(c.bookings, b)
	c.addSidecar(name, settings.UpstreamService, b.Addr().String(), i)
	return nil
}

// reopenListener returns a function that listens on the address again after an
// outage.
func (c *Cluster) reopenListener(addr string) func() (listener, error) {
	return func() (listener, error) { return c.network.Listen(addr) }
}

func (c *Cluster) addSidecar(upstream string, kind settings.UpstreamKind, address string, i int) {
	s := c.baseSettings(settings.RoleSidecar, "sidecar-"+upstream, i)
	s.Listen.Peer = c.options.Addresses.Named("sidecar-" + upstream)
	s.Listen.Admin = c.options.Addresses.Named("admin-" + upstream)
	s.Upstream = settings.Upstream{Name: upstream, Kind: kind, Address: address}
	c.sidecars = append(c.sidecars, &node{cluster: c, settings: s})
}

func (c *Cluster) baseSettings(role settings.Role, instance string, i int) settings.Settings {
	s := settings.Default()
	s.Role = role
	s.Instance = instance
	s.FailureDomain = fmt.Sprintf("domain-%d", i%failureDomainCount+1)
	s.Region = region
	s.PeerSecret = peerSecret
	s.Platform.KV = "http://" + c.kv.Addr().String()
	s.Platform.Instances = "http://" + c.instanceList.Addr().String()
	return s
}

func (c *Cluster) applyInitialTicket(ctx context.Context) error {
	ticket, err := config.ParseTicket("initial ticket", []byte(initialTicket(c.options)))
	if err != nil {
		return errors.Wrap(err, "parse initial ticket")
	}
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: "http://" + c.kv.Addr().String(), Dial: c.network.Dial})
	if err != nil {
		return err
	}
	defer kv.Close()
	store := configstore.New(configstore.Options{KV: kv})
	if _, err := store.Accept(ctx, ticket); err != nil {
		return errors.Wrap(err, "apply initial ticket")
	}
	return nil
}

func (c *Cluster) startNodes(ctx context.Context) error {
	for i := range c.options.Entries {
		s := c.baseSettings(settings.RoleEntry, fmt.Sprintf("entry-%d", i+1), i)
		s.Listen.Caller = c.options.Addresses.Entry(i)
		s.Listen.Peer = c.options.Addresses.Named("peer-" + s.Instance)
		s.Listen.Admin = c.options.Addresses.Admin(i)
		c.entries = append(c.entries, &node{cluster: c, settings: s})
	}
	for _, n := range c.nodes() {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) nodes() []*node {
	return append(append([]*node(nil), c.sidecars...), c.entries...)
}

// sleep waits for d and reports whether the wait was completed before the
// cluster stopped.
func (c *Cluster) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.stopped:
		return false
	case <-t.C:
		return true
	}
}

// Stop kills all processes without a graceful shutdown and closes the stand-ins.
func (c *Cluster) Stop() {
	c.stopOnce.Do(func() { close(c.stopped) })
	c.background.Wait()
	for _, n := range c.nodes() {
		if n.app != nil {
			n.kill()
		}
	}
	c.background.Wait()
	c.control.close()
	for _, e := range c.engines {
		_ = e.Close()
	}
	for _, b := range c.bookings {
		_ = b.Close()
	}
	c.stopPlatform()
}

func (c *Cluster) stopPlatform() {
	if c.weights != nil {
		_ = c.weights.Close()
	}
	if c.instanceList != nil {
		_ = c.instanceList.Close()
	}
	if c.kv != nil {
		_ = c.kv.Close()
	}
}
