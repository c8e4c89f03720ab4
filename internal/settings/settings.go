// Package settings reads the static settings of a process: its role, addresses
// and limits. They are read once at the start; what operators change while the
// system runs is configuration and set by tickets (package config).
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Role is what a process does.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogJSON     LogFormat = "json"
	LogTerminal LogFormat = "terminal"
)

// UpstreamKind tells what a sidecar stands beside.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamModel   UpstreamKind = "model"
	UpstreamService UpstreamKind = "service"
)

// Settings are the settings of one process. docs/configuration.md lists every
// key with its unit, default and errors.
type Settings struct {
	Role          Role   `yaml:"role" validate:"oneof=entry sidecar"`
	Instance      string `yaml:"instance" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region" validate:"required"`
	Listen        Listen `yaml:"listen"`
	// AdminPublic allows an admin address that is not loopback.
	AdminPublic bool     `yaml:"admin_public"`
	Platform    Platform `yaml:"platform"`
	// PeerSecret is shared by all processes of the system. After Load it also
	// holds the value that PeerSecretEnv refers to.
	PeerSecret    string   `yaml:"peer_secret"`
	PeerSecretEnv string   `yaml:"peer_secret_env"`
	Upstream      Upstream `yaml:"upstream"`
	Limits        Limits   `yaml:"limits"`
	Log           Log      `yaml:"log"`
}

// Listen holds the addresses that a process listens on, as host:port.
type Listen struct {
	// Caller serves callers; entries only.
	Caller string `yaml:"caller"`
	// Peer serves the other processes of the system.
	Peer string `yaml:"peer" validate:"required"`
	// Admin serves metrics, health and the state dump.
	Admin string `yaml:"admin" validate:"required"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	KV        string `yaml:"kv" validate:"required,http_url"`
	Instances string `yaml:"instances" validate:"required,http_url"`
}

// Upstream describes the upstream of a sidecar.
type Upstream struct {
	// Name is the name of the upstream object in the configuration.
	Name string `yaml:"name"`
	// Address is the host:port of the engine or service.
	Address string       `yaml:"address"`
	Kind    UpstreamKind `yaml:"kind"`
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBody bounds a request body.
	MaxBody Size `yaml:"max_body" validate:"min=1024,max=1073741824"`
	// MaxHeader bounds the header of a request, request line included.
	MaxHeader Size `yaml:"max_header" validate:"min=1024,max=16777216"`
	// MaxHeaderCount bounds the number of header fields.
	MaxHeaderCount int `yaml:"max_header_count" validate:"min=8,max=1000"`
	// MaxPromptTokens bounds a prompt, whatever the model allows.
	MaxPromptTokens int `yaml:"max_prompt_tokens" validate:"min=1,max=10000000"`
	// BodyTimeout bounds how long a caller may take to send a request.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100ms,max=10m"`
	// MaxConnectionsPerCaller bounds the connections from one IP address.
	MaxConnectionsPerCaller int `yaml:"max_connections_per_caller" validate:"min=1,max=100000"`
}

// Log configures the log.
type Log struct {
	Format LogFormat `yaml:"format" validate:"oneof=json terminal"`
	Level  string    `yaml:"level" validate:"oneof=debug info warn error"`
}

// Default returns the settings that apply where the file has no key.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MaxBody:                 2 * Megabyte,
			MaxHeader:               32 * Kilobyte,
			MaxHeaderCount:          64,
			MaxPromptTokens:         128_000,
			BodyTimeout:             5 * time.Second,
			MaxConnectionsPerCaller: 256,
		},
		Log: Log{Format: LogJSON, Level: "info"},
	}
}

// Load reads the settings file at path. If the file has faults, the error is a
// *strictyaml.Error that lists all of them with line and remedy.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; check the path given by -config")
	}
	return Parse(path, data, os.LookupEnv)
}

// Parse is Load for content in memory; lookupEnv finds environment variables.
func Parse(source string, data []byte, lookupEnv func(string) (string, bool)) (*Settings, error) {
	doc := strictyaml.Parse(data, MaxFileBytes)
	if !doc.Parsed() {
		return nil, doc.Err(source)
	}
	s := Default()
	doc.Decode(&s)
	doc.Validate(&s, "")
	check := checker{doc: doc, settings: &s}
	check.roles()
	check.addresses()
	check.adminAddress()
	check.peerSecret(lookupEnv)
	if err := doc.Err(source); err != nil {
		return nil, err
	}
	return &s, nil
}
