package config

import "time"

// Kind names a kind of configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindPool     Kind = "pool"
	KindUpstream Kind = "upstream"
	KindModel    Kind = "model"
	KindRoute    Kind = "route"
	KindCaller   Kind = "caller"
	KindPolicy   Kind = "policy"
)

// PoolRole tells what the upstreams of a pool do.
type PoolRole string

// The roles of a pool.
const (
	RolePrefill PoolRole = "prefill"
	RoleDecode  PoolRole = "decode"
	RoleService PoolRole = "service"
)

// UpstreamKind tells what stands behind a sidecar.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamModel   UpstreamKind = "model"
	UpstreamService UpstreamKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string   `yaml:"-" json:"-"`
	Role PoolRole `yaml:"role" json:"role" validate:"oneof=prefill decode service"`
}

// Upstream is a model engine or a plain service behind its own sidecar.
type Upstream struct {
	Name string       `yaml:"-" json:"-"`
	Pool string       `yaml:"pool" json:"pool" validate:"required"`
	Kind UpstreamKind `yaml:"kind" json:"kind" validate:"oneof=model service"`
	// ChecksFencing tells that the engine refuses orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Model is a model that callers may ask for.
type Model struct {
	Name            string `yaml:"-" json:"-"`
	PrefillPool     string `yaml:"prefill_pool" json:"prefill_pool" validate:"required"`
	DecodePool      string `yaml:"decode_pool" json:"decode_pool" validate:"required"`
	MaxPromptTokens int    `yaml:"max_prompt_tokens" json:"max_prompt_tokens" validate:"min=1"`
	MaxOutputTokens int    `yaml:"max_output_tokens" json:"max_output_tokens" validate:"min=1"`
}

// Route sends calls whose path starts with Prefix to a pool of plain services.
type Route struct {
	Name    string   `yaml:"-" json:"-"`
	Prefix  string   `yaml:"prefix" json:"prefix" validate:"required,startswith=/"`
	Methods []string `yaml:"methods" json:"methods,omitempty"`
	Pool    string   `yaml:"pool" json:"pool" validate:"required"`
	// Repeatable allows retries and hedging. Undeclared routes are unrepeatable.
	Repeatable bool          `yaml:"repeatable" json:"repeatable,omitempty"`
	Timeout    time.Duration `yaml:"timeout" json:"timeout,omitempty" validate:"min=0"`
}

// Caller is an account with its share of the service.
type Caller struct {
	Name string `yaml:"-" json:"-"`
	// KeySHA256 is the hex SHA-256 of the caller's bearer key.
	KeySHA256  string  `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	Share      float64 `yaml:"share" json:"share" validate:"gt=0"`
	MaxStreams int     `yaml:"max_streams" json:"max_streams,omitempty" validate:"min=0"`
}

// Policy holds the operator's knobs. There is one, named "default".
type Policy struct {
	Name string `yaml:"-" json:"-"`
	// Anticipation from 0 (reserve free places only, least wasted prefill) to
	// 1 (reserve places predicted to be free, most goodput).
	Anticipation float64 `yaml:"anticipation" json:"anticipation" validate:"min=0,max=1"`
	// TTFTTarget is the first-token target.
	TTFTTarget time.Duration `yaml:"ttft_target" json:"ttft_target" validate:"gt=0"`
	// TPOTTarget is the target per output token after the first.
	TPOTTarget time.Duration `yaml:"tpot_target" json:"tpot_target" validate:"gt=0"`
	// QueueLimit bounds the predicted wait above which a request is refused.
	QueueLimit time.Duration `yaml:"queue_limit" json:"queue_limit" validate:"gt=0"`
	// MaxYield bounds how long a late request yields to others.
	MaxYield time.Duration `yaml:"max_yield" json:"max_yield" validate:"gt=0"`
	// Hedge enables a second try of slow repeatable calls.
	Hedge bool `yaml:"hedge" json:"hedge"`
	// RetryBudget is the fraction of requests that may be retries.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget" validate:"min=0,max=1"`
}

// DefaultPolicy applies until a ticket sets the policy "default".
func DefaultPolicy() Policy {
	return Policy{
		Name: "default",
		// Anticipated grants cost goodput and waste in the bench, see docs/POLICY.md.
		Anticipation: 0,
		TTFTTarget:   time.Second,
		TPOTTarget:   46 * time.Millisecond,
		// Late service is no goodput; refusing early gives it to those in time.
		QueueLimit:  2 * time.Second,
		MaxYield:    10 * time.Second,
		Hedge:       true,
		RetryBudget: 0.2,
	}
}
