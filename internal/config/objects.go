package config

import "time"

// Kind is the kind of a configuration object.
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

// PoolRole is the work that the upstreams of a pool do.
type PoolRole string

// The roles of a pool.
const (
	RolePrefill PoolRole = "prefill"
	RoleDecode  PoolRole = "decode"
	RoleService PoolRole = "service"
)

// UpstreamKind tells whether a sidecar serves a model engine or a plain service.
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
	// ChecksFencing tells that the engine rejects orders whose fencing number is
	// lower than one that it has seen.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing,omitempty"`
}

// Model is a language model that callers may request by name.
type Model struct {
	Name            string `yaml:"-" json:"-"`
	PrefillPool     string `yaml:"prefill_pool" json:"prefill_pool" validate:"required"`
	DecodePool      string `yaml:"decode_pool" json:"decode_pool" validate:"required"`
	MaxPromptTokens int    `yaml:"max_prompt_tokens" json:"max_prompt_tokens" validate:"min=1"`
	MaxOutputTokens int    `yaml:"max_output_tokens" json:"max_output_tokens" validate:"min=1"`
}

// Route forwards requests whose path starts with Prefix to a pool of plain
// services.
type Route struct {
	Name    string   `yaml:"-" json:"-"`
	Prefix  string   `yaml:"prefix" json:"prefix" validate:"required,startswith=/"`
	Methods []string `yaml:"methods" json:"methods,omitempty"`
	Pool    string   `yaml:"pool" json:"pool" validate:"required"`
	// Repeatable tells that requests of the route may be retried and hedged. The
	// default is false.
	Repeatable bool          `yaml:"repeatable" json:"repeatable,omitempty"`
	Timeout    time.Duration `yaml:"timeout" json:"timeout,omitempty" validate:"min=0"`
}

// Caller is a client account with its share of the capacity.
type Caller struct {
	Name string `yaml:"-" json:"-"`
	// KeySHA256 is the SHA-256 hash of the caller's bearer key, in hexadecimal.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	// Share is the caller's weight when callers compete for capacity.
	Share      float64 `yaml:"share" json:"share" validate:"gt=0"`
	MaxStreams int     `yaml:"max_streams" json:"max_streams,omitempty" validate:"min=0"`
}

// Policy holds the scheduling parameters that operators can tune. There is one
// policy, named "default".
type Policy struct {
	Name string `yaml:"-" json:"-"`
	// Anticipation controls which decode slots may be reserved. At 0 only free slots
	// are reserved, which wastes the least prefill work. At 1 slots that are predicted
	// to become free are reserved too, for the most goodput.
	Anticipation float64 `yaml:"anticipation" json:"anticipation" validate:"min=0,max=1"`
	// TTFTTarget is the target for the time to first token.
	TTFTTarget time.Duration `yaml:"ttft_target" json:"ttft_target" validate:"gt=0"`
	// TPOTTarget is the target for the time per output token after the first one.
	TPOTTarget time.Duration `yaml:"tpot_target" json:"tpot_target" validate:"gt=0"`
	// QueueLimit is the predicted queue wait above which a request is refused.
	QueueLimit time.Duration `yaml:"queue_limit" json:"queue_limit" validate:"gt=0"`
	// MaxYield is how long after its deadline a request yields to requests that can
	// still meet theirs. After that it precedes them.
	MaxYield time.Duration `yaml:"max_yield" json:"max_yield" validate:"gt=0"`
	// Hedge enables a second, concurrent attempt for slow repeatable requests.
	Hedge bool `yaml:"hedge" json:"hedge"`
	// RetryBudget is the fraction of requests that may be retries.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget" validate:"min=0,max=1"`
}

// DefaultPolicy returns the policy that applies until a ticket sets the policy
// "default".
func DefaultPolicy() Policy {
	return Policy{
		Name: "default",
		// Reserving slots that are only predicted to be free lowered goodput and
		// increased wasted prefill in the benchmark, see docs/POLICY.md.
		Anticipation: 0,
		TTFTTarget:   time.Second,
		TPOTTarget:   46 * time.Millisecond,
		// Requests served after their target do not count as goodput. Refusing them
		// early leaves the capacity to requests that can still meet their target.
		QueueLimit:  2 * time.Second,
		MaxYield:    10 * time.Second,
		Hedge:       true,
		RetryBudget: 0.2,
	}
}
