// Package settings reads the static settings of a process, such as its role, addresses
// and limits. A process reads them once, when it starts. What operators change while
// the system runs is the configuration, which is set with tickets (package config).
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/strictyaml"
)

// MaxFileBytes is the largest allowed size of a settings file.
const MaxFileBytes = 1 << 20

// Role tells whether a process is an entry or a sidecar.
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

// UpstreamKind tells whether a sidecar serves a model engine or a plain service.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamModel   UpstreamKind = "model"
	UpstreamService UpstreamKind = "service"
)

// Settings holds the settings of one process. docs/configuration.md lists every key
// with its unit, default and errors.
type Settings struct {
	Role          Role   `yaml:"role" validate:"oneof=entry sidecar"`
	Instance      string `yaml:"instance" validate:"required"`
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region" validate:"required"`
	Listen        Listen `yaml:"listen"`
	// AdminPublic allows an admin address that is not a loopback address.
	AdminPublic bool     `yaml:"admin_public"`
	Platform    Platform `yaml:"platform"`
	// PeerSecret is the secret with which the processes of the system authenticate to
	// each other. Load sets it to the value of the environment variable PeerSecretEnv
	// if the file names one.
	PeerSecret    string   `yaml:"peer_secret"`
	PeerSecretEnv string   `yaml:"peer_secret_env"`
	Upstream      Upstream `yaml:"upstream"`
	Limits        Limits   `yaml:"limits"`
	Log           Log      `yaml:"log"`
}

// Listen holds the addresses that a process listens on, as host:port.
type Listen struct {
	// Caller is the address for requests of callers. Only entries have it.
	Caller string `yaml:"caller"`
	// Peer is the address for calls from other processes of the system.
	Peer string `yaml:"peer" validate:"required"`
	// Admin is the address for metrics, health checks and the state dump.
	Admin string `yaml:"admin" validate:"required"`
}

// Platform holds the base URLs of the platform's services: the key-value service and the
// list of instances.
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

// Limits holds the limits for requests and connections of callers.
type Limits struct {
	// MaxBody is the largest allowed size of a request body.
	MaxBody Size `yaml:"max_body" validate:"min=1024,max=1073741824"`
	// MaxHeader is the largest allowed size of a request's header, including the request
	// line.
	MaxHeader Size `yaml:"max_header" validate:"min=1024,max=16777216"`
	// MaxHeaderCount is the largest allowed number of header fields.
	MaxHeaderCount int `yaml:"max_header_count" validate:"min=8,max=1000"`
	// MaxPromptTokens is the largest allowed length of a prompt. It applies in addition
	// to the limit of the model.
	MaxPromptTokens int `yaml:"max_prompt_tokens" validate:"min=1,max=10000000"`
	// BodyTimeout is the time within which a caller must have sent a request.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100ms,max=10m"`
	// MaxConnectionsPerCaller is the largest number of open connections from one IP
	// address.
	MaxConnectionsPerCaller int `yaml:"max_connections_per_caller" validate:"min=1,max=100000"`
}

// Log configures the format and level of log lines.
type Log struct {
	Format LogFormat `yaml:"format" validate:"oneof=json terminal"`
	Level  string    `yaml:"level" validate:"oneof=debug info warn error"`
}

// Default returns the values of settings that the file does not contain.
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
// *strictyaml.Error that lists all of them, each with its line and a remedy.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; check the path given by -config")
	}
	return Parse(path, data, os.LookupEnv)
}

// Parse parses settings from data. source names the data in errors, and lookupEnv returns
// the values of environment variables.
func Parse(source string, data []byte, lookupEnv func(string) (string, bool)) (*Settings, error) {
	doc := strictyaml.Parse(data, MaxFileBytes)
	if !doc.Parsed() {
		return nil, doc.Err(source)
	}
	s := Default()
	doc.Decode(&s)
	doc.Validate(&s, "")
	checker := settingsChecker{doc: doc, settings: &s}
	checker.checkRoleKeys()
	checker.checkAddresses()
	checker.checkAdminAddress()
	checker.resolvePeerSecret(lookupEnv)
	if err := doc.Err(source); err != nil {
		return nil, err
	}
	return &s, nil
}
