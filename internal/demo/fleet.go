// Package demo runs the whole system on one machine in one process: the
// platform's stand-ins, model engines, booking servers, a sidecar beside each
// and two entries. The demo command serves it on loopback; tests run it on an
// in-memory network in virtual time.
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
	peerSecret   = "demo-peer-secret-0123456789"
	modelName    = "demo-model"
	region       = "demo"
	domainCount  = 3
	prefillPool  = "prefill"
	decodePool   = "decode"
	ordersPool   = "orders"
	listLag      = time.Second
	kvLatency    = 2 * time.Millisecond
	poisonMarker = "demo-poison"
)

// callerKeys are the bearer keys of the demo's callers, by name.
var callerKeys = []string{"demo-caller-a", "demo-caller-b", "demo-caller-c"}

// Addresses names the addresses that a Fleet listens on.
type Addresses struct {
	// Entry and Admin give the callers' and admin addresses of entry i.
	Entry, Admin func(i int) string
	// Control is the control port of the stand-ins.
	Control string
	// Other gives an address for anything else, by name.
	Other func(name string) string
}

// LoopbackAddresses returns the addresses of the demo command.
func LoopbackAddresses(basePort int) Addresses {
	return Addresses{
		Entry:   func(i int) string { return port(basePort + i) },
		Admin:   func(i int) string { return port(basePort + 10 + i) },
		Control: port(basePort + 9),
		Other:   func(name string) string { return loopbackOther(basePort, name) },
	}
}

// loopbackOther gives the platform's services fixed ports, because operators'
// commands name them, and everything else any free port.
func loopbackOther(basePort int, name string) string {
	switch name {
	case "kv":
		return port(basePort + 2)
	case "instances":
		return port(basePort + 3)
	default:
		return port(0)
	}
}

// InMemory returns addresses for an in-memory network.
func InMemory() Addresses {
	return Addresses{
		Entry:   func(i int) string { return fmt.Sprintf("entry-%d:80", i+1) },
		Admin:   func(i int) string { return fmt.Sprintf("entry-%d:81", i+1) },
		Control: "control:80",
		Other:   func(name string) string { return name + ":80" },
	}
}

// Options configure a Fleet.
type Options struct {
	Network   Network
	Addresses Addresses
	Logger    *log.Logger
	Entries   int
	Prefills  int
	Decodes   int
	Bookings  int
	Params    costmodel.Params
	// PoisonDecode lets poison prompts crash decode engines only.
	PoisonDecode bool
}

// DefaultOptions returns the demo's sizes.
func DefaultOptions() Options {
	return Options{Entries: 2, Prefills: 3, Decodes: 3, Bookings: 2, Params: costmodel.Default()}
}

// Fleet is a running demo.
type Fleet struct {
	options Options
	network Network
	logger  *log.Logger

	kv       *kvstore.Server
	list     *instances.Server
	weights  *weights.Store
	engines  []*engine.Engine
	journal  *engine.Journal
	orders   *booking.ExecutionLog
	bookings []*booking.Server
	registry *control.Registry
	control  *controlServer

	entries  []*node
	sidecars []*node

	stopping chan struct{}
	stopOnce sync.Once
	cleanup  sync.WaitGroup
}

// Start runs a fleet and returns when all its processes are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:  o,
		network:  o.Network,
		logger:   o.Logger,
		orders:   booking.NewExecutionLog(),
		registry: control.NewRegistry(),
		journal:  engine.NewJournal(),
		stopping: make(chan struct{}),
	}
	steps := []func(context.Context) error{f.startPlatform, f.startUpstreams, f.applyFirstTicket, f.startNodes, f.startControl, f.waitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform(context.Context) error {
	kv, err := f.network.Listen(f.options.Addresses.Other("kv"))
	if err != nil {
		return err
	}
	store := kvstore.NewStore(kvstore.Options{Latency: kvLatency})
	f.kv = kvstore.Serve(store, kv, f.relisten(kv.Addr().String()))
	list, err := f.network.Listen(f.options.Addresses.Other("instances"))
	if err != nil {
		return err
	}
	f.list = instances.Serve(instances.NewList(listLag), list)
	weightStore, err := f.network.Listen(f.options.Addresses.Other("weights"))
	if err != nil {
		return err
	}
	f.weights = weights.Serve(weights.Options{Listener: weightStore})
	return nil
}

func (f *Fleet) startUpstreams(context.Context) error {
	journal := f.journal
	for i := range f.options.Prefills {
		if err := f.startEngine(fmt.Sprintf("prefill-%d", i+1), engine.RolePrefill, journal, i); err != nil {
			return err
		}
	}
	for i := range f.options.Decodes {
		if err := f.startEngine(fmt.Sprintf("decode-%d", i+1), engine.RoleDecode, journal, i); err != nil {
			return err
		}
	}
	for i := range f.options.Bookings {
		if err := f.startBooking(fmt.Sprintf("orders-%d", i+1), i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(name string, role engine.Role, journal *engine.Journal, i int) error {
	l, err := f.network.Listen(f.options.Addresses.Other("engine-" + name))
	if err != nil {
		return err
	}
	poison, poisonDecode := poisonMarker, ""
	if f.options.PoisonDecode {
		poison, poisonDecode = "", poisonMarker
	}
	e := engine.New(engine.Options{
		Name:               name,
		Listener:           l,
		Relisten:           f.relisten(l.Addr().String()),
		Dial:               f.network.Dial,
		Params:             f.options.Params,
		Role:               role,
		Journal:            journal,
		CheckFencing:       i%2 == 0,
		WeightsURL:         "http://" + f.weights.Addr().String(),
		PoisonMarker:       poison,
		PoisonDecodeMarker: poisonDecode,
	})
	f.engines = append(f.engines, e)
	f.addSidecar(name, settings.UpstreamModel, e.Addr().String(), i)
	return nil
}

func (f *Fleet) startBooking(name string, i int) error {
	l, err := f.network.Listen(f.options.Addresses.Other("service-" + name))
	if err != nil {
		return err
	}
	b := booking.Serve(booking.Options{Name: name, Listener: l, Relisten: f.relisten(l.Addr().String()), ExecutionLog: f.orders})
	f.bookings = append(f.bookings, b)
	f.addSidecar(name, settings.UpstreamService, b.Addr().String(), i)
	return nil
}

func (f *Fleet) relisten(addr string) func() (listener, error) {
	return func() (listener, error) { return f.network.Listen(addr) }
}

func (f *Fleet) addSidecar(upstream string, kind settings.UpstreamKind, address string, i int) {
	s := f.baseSettings(settings.RoleSidecar, "sidecar-"+upstream, i)
	s.Listen.Peer = f.options.Addresses.Other("sidecar-" + upstream)
	s.Listen.Admin = f.options.Addresses.Other("admin-" + upstream)
	s.Upstream = settings.Upstream{Name: upstream, Kind: kind, Address: address}
	f.sidecars = append(f.sidecars, &node{fleet: f, settings: s})
}

func (f *Fleet) baseSettings(role settings.Role, instance string, i int) settings.Settings {
	s := settings.Default()
	s.Role = role
	s.Instance = instance
	s.FailureDomain = fmt.Sprintf("domain-%d", i%domainCount+1)
	s.Region = region
	s.PeerSecret = peerSecret
	s.Platform.KV = "http://" + f.kv.Addr().String()
	s.Platform.Instances = "http://" + f.list.Addr().String()
	return s
}

func (f *Fleet) applyFirstTicket(ctx context.Context) error {
	ticket, err := config.ParseTicket("first ticket", []byte(firstTicket(f.options)))
	if err != nil {
		return errors.Wrap(err, "first ticket")
	}
	kv, err := kvservice.NewClient(kvservice.ClientOptions{URL: "http://" + f.kv.Addr().String(), Dial: f.network.Dial})
	if err != nil {
		return err
	}
	defer kv.Close()
	store := configstore.New(configstore.Options{KV: kv})
	if _, err := store.Accept(ctx, ticket); err != nil {
		return errors.Wrap(err, "apply first ticket")
	}
	return nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	for i := range f.options.Entries {
		s := f.baseSettings(settings.RoleEntry, fmt.Sprintf("entry-%d", i+1), i)
		s.Listen.Caller = f.options.Addresses.Entry(i)
		s.Listen.Peer = f.options.Addresses.Other("peer-" + s.Instance)
		s.Listen.Admin = f.options.Addresses.Admin(i)
		f.entries = append(f.entries, &node{fleet: f, settings: s})
	}
	for _, n := range f.nodes() {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) nodes() []*node {
	return append(append([]*node(nil), f.sidecars...), f.entries...)
}

// sleep waits for d unless the fleet stops before.
func (f *Fleet) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-f.stopping:
		return false
	case <-t.C:
		return true
	}
}

// Stop ends everything.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() { close(f.stopping) })
	f.cleanup.Wait()
	for _, n := range f.nodes() {
		if n.app != nil {
			n.kill()
		}
	}
	f.cleanup.Wait()
	f.control.close()
	for _, e := range f.engines {
		_ = e.Close()
	}
	for _, b := range f.bookings {
		_ = b.Close()
	}
	f.stopPlatform()
}

func (f *Fleet) stopPlatform() {
	if f.weights != nil {
		_ = f.weights.Close()
	}
	if f.list != nil {
		_ = f.list.Close()
	}
	if f.kv != nil {
		_ = f.kv.Close()
	}
}
