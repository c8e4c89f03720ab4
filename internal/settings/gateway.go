package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// Gateway are the settings of a gateway process: an entry that serves clients
// straight at their upstreams. docs/configuration.md lists every key.
type Gateway struct {
	Instance      string `yaml:"instance" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region"`
	// StoreAddress is the host:port of the metadata store.
	StoreAddress string        `yaml:"store_address" validate:"required"`
	Listen       GatewayListen `yaml:"listen"`
	// Seeds are control addresses of gateways, asked at a start while the store is
	// away, separated by commas; they may be out of date.
	Seeds      string          `yaml:"seeds"`
	Memory     GatewayMemory   `yaml:"memory"`
	Retries    GatewayRetries  `yaml:"retries"`
	Leadership Leadership      `yaml:"leadership"`
	Shutdown   GatewayShutdown `yaml:"shutdown"`
	Log        Log             `yaml:"log"`
}

// GatewayListen holds the addresses that a gateway listens on, as IP:port.
type GatewayListen struct {
	// Client serves clients.
	Client string `yaml:"client" validate:"required"`
	// Ready answers the balancer's probe.
	Ready string `yaml:"ready" validate:"required"`
	// Peer serves the other gateways.
	Peer string `yaml:"peer" validate:"required"`
	// Control serves starting gateways what this one knows of the store.
	Control string `yaml:"control" validate:"required"`
	// Admin serves metrics and the state dump.
	Admin string `yaml:"admin" validate:"required"`
}

// GatewayMemory bounds the memory of the process.
type GatewayMemory struct {
	Limit Size `yaml:"limit" validate:"min=33554432"`
}

// GatewayRetries bound the repeated sends of all gateways together.
type GatewayRetries struct {
	Ratio  float64       `yaml:"ratio" validate:"min=0,max=1"`
	Window time.Duration `yaml:"window" validate:"min=1s,max=10m"`
	Slack  float64       `yaml:"slack" validate:"min=0"`
}

// Leadership tells how long the right to give orders to engines lasts.
type Leadership struct {
	Lease time.Duration `yaml:"lease" validate:"min=1s,max=1m"`
}

// GatewayShutdown bounds a graceful shutdown.
type GatewayShutdown struct {
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=10m"`
}

// DefaultGateway returns the settings that apply where the file has no key.
func DefaultGateway() Gateway {
	return Gateway{
		Memory:     GatewayMemory{Limit: 128 * Megabyte},
		Retries:    GatewayRetries{Ratio: 0.2, Window: 10 * time.Second, Slack: 20},
		Leadership: Leadership{Lease: 3 * time.Second},
		Shutdown:   GatewayShutdown{Grace: 8 * time.Second},
		Log:        Log{Format: LogJSON, Level: "info"},
	}
}

// LoadGateway reads the settings file of a gateway. If the file has faults, the
// error is a *strictyaml.Error that lists all of them.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; check the path given by -config")
	}
	return ParseGateway(path, data)
}

// ParseGateway is LoadGateway for content in memory.
func ParseGateway(source string, data []byte) (*Gateway, error) {
	doc := strictyaml.Parse(data, MaxFileBytes)
	if !doc.Parsed() {
		return nil, doc.Err(source)
	}
	s := DefaultGateway()
	doc.Decode(&s)
	doc.Validate(&s, "")
	c := checker{doc: doc}
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
				doc.Add(l.path, fmt.Sprintf("the address is the same as %s", other.path), "use another port")
			}
		}
		c.address(l.path, l.value)
	}
	c.address("store_address", s.StoreAddress)
	if err := doc.Err(source); err != nil {
		return nil, err
	}
	return &s, nil
}
