package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// Gateway holds the settings of a gateway process, which forwards requests of clients
// to upstreams directly, without sidecars. docs/configuration.md lists every key.
type Gateway struct {
	Instance      string `yaml:"instance" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region"`
	// StoreAddress is the host:port of the metadata store.
	StoreAddress string        `yaml:"store_address" validate:"required"`
	Store        GatewayStore  `yaml:"store"`
	Listen       GatewayListen `yaml:"listen"`
	// Seeds is a comma-separated list of control addresses of other gateways. A gateway
	// that starts while the metadata store is unavailable asks them for their state.
	// The list may be outdated.
	Seeds      string          `yaml:"seeds"`
	Memory     GatewayMemory   `yaml:"memory"`
	Retries    GatewayRetries  `yaml:"retries"`
	Quotas     GatewayQuotas   `yaml:"quotas"`
	Leadership Leadership      `yaml:"leadership"`
	Shutdown   GatewayShutdown `yaml:"shutdown"`
	Log        Log             `yaml:"log"`
}

// GatewayStore configures how a gateway follows the metadata store.
type GatewayStore struct {
	// MaxSilence is the time after which a connection to the store that carries
	// nothing has been replaced.
	MaxSilence time.Duration `yaml:"max_silence" validate:"min=1s,max=1m"`
	// ChangeDeadline is the time within which a change in the store must be in force.
	// Changes that follow each other are read together, at most a fifth of this time
	// later.
	ChangeDeadline time.Duration `yaml:"change_deadline" validate:"min=500ms,max=1m"`
}

// GatewayListen holds the addresses that a gateway listens on, as IP:port.
type GatewayListen struct {
	// Client is the address for requests of clients.
	Client string `yaml:"client" validate:"required"`
	// Ready is the address for the load balancer's readiness probe.
	Ready string `yaml:"ready" validate:"required"`
	// Peer is the address for messages from other gateways.
	Peer string `yaml:"peer" validate:"required"`
	// Control is the address from which other gateways that are starting read this
	// gateway's copy of the metadata store.
	Control string `yaml:"control" validate:"required"`
	// Admin is the address for metrics and the state dump.
	Admin string `yaml:"admin" validate:"required"`
}

// GatewayMemory configures the memory limit of the process.
type GatewayMemory struct {
	Limit Size `yaml:"limit" validate:"min=33554432"`
}

// GatewayRetries configures the retry budget, which limits the repeated attempts of all
// gateways together.
type GatewayRetries struct {
	// Ratio is the allowed ratio of repeated attempts to requests of a service.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
	// Window is the length of the sliding window in which attempts are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=10m"`
	// Slack is the number of repeated attempts per window that are allowed in addition
	// to Ratio.
	Slack float64 `yaml:"slack" validate:"min=0"`
}

// GatewayQuotas configures how far all gateways together may exceed the quotas of client
// accounts.
type GatewayQuotas struct {
	// Window is the length of the sliding window in which use is counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=10m"`
	// OvershootRatio is the part of a quota by which it may be exceeded in a window.
	OvershootRatio float64 `yaml:"overshoot_ratio" validate:"min=0,max=1"`
	// OvershootUnits is what may be exceeded in addition, in the unit of the quota.
	OvershootUnits float64 `yaml:"overshoot_units" validate:"min=0"`
}

// Leadership configures the lease of the leader, the only gateway that may send orders
// to engines.
type Leadership struct {
	Lease time.Duration `yaml:"lease" validate:"min=1s,max=1m"`
}

// GatewayShutdown configures the graceful shutdown.
type GatewayShutdown struct {
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=10m"`
}

// DefaultGateway returns the values of settings that the file does not contain.
func DefaultGateway() Gateway {
	return Gateway{
		Store:      GatewayStore{MaxSilence: 3 * time.Second, ChangeDeadline: 2 * time.Second},
		Memory:     GatewayMemory{Limit: 128 * Megabyte},
		Retries:    GatewayRetries{Ratio: 0.2, Window: 10 * time.Second, Slack: 20},
		Quotas:     GatewayQuotas{Window: 8 * time.Second, OvershootRatio: 0.1, OvershootUnits: 100_000},
		Leadership: Leadership{Lease: 3 * time.Second},
		Shutdown:   GatewayShutdown{Grace: 8 * time.Second},
		Log:        Log{Format: LogJSON, Level: "info"},
	}
}

// LoadGateway reads the settings file of a gateway at path. If the file has faults, the
// error is a *strictyaml.Error that lists all of them, each with its line and a remedy.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; check the path given by -config")
	}
	return ParseGateway(path, data)
}

// ParseGateway parses settings of a gateway from data. source names the data in errors.
func ParseGateway(source string, data []byte) (*Gateway, error) {
	doc := strictyaml.Parse(data, MaxFileBytes)
	if !doc.Parsed() {
		return nil, doc.Err(source)
	}
	s := DefaultGateway()
	doc.Decode(&s)
	doc.Validate(&s, "")
	checker := settingsChecker{doc: doc}
	listeners := []struct{ path, value string }{
		{"listen.client", s.Listen.Client},
		{"listen.ready", s.Listen.Ready},
		{"listen.peer", s.Listen.Peer},
		{"listen.control", s.Listen.Control},
		{"listen.admin", s.Listen.Admin},
	}
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if l.value == other.value {
				doc.AddFault(l.path, fmt.Sprintf("the address is the same as %s", other.path), "use another port")
			}
		}
		checker.parseAddress(l.path, l.value)
	}
	checker.parseAddress("store_address", s.StoreAddress)
	if err := doc.Err(source); err != nil {
		return nil, err
	}
	return &s, nil
}
