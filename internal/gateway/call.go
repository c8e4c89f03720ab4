// Package gateway serves clients straight at their upstreams, without
// sidecars: engines that reserve their own memory need no process beside them.
//
// A request passes through four steps: the route is matched, the request is
// admitted or refused, an upstream is chosen, and the answer is relayed. What
// the messages are called on the wire is left to a Wire and an Engines adapter.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// Call is one request of a client.
type Call struct {
	// ID names this attempt of the client; upstreams repeat it.
	ID     string
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	// Header holds the headers that go on to upstreams.
	Header http.Header
	Body   []byte
	// Received is when the head of the request had arrived.
	Received time.Time
	// Patience is how long the client said it waits; 0 if it did not say.
	ClientTimeout time.Duration
	// Deadline is when the client or the route gives the request up.
	Deadline time.Time
	Route    *routing.Route
	Service  *routing.Service
	// Version is the version of the routing table that the call was matched with.
	Version uint64
	Model   ModelParams
	// ResumeAfter is the id of the last event that the client already has.
	ResumeAfter string
	// Age is how long the client has asked for this already, in earlier attempts;
	// 0 for a first one.
	RetryAge time.Duration
}

// Remaining returns how much of the call's time is left.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// ModelParams is what a model request asks of an engine.
type ModelParams struct {
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutputTokens is the most that may be generated.
	MaxOutputTokens int
	// ExpectedOutputTokens is the client's estimate; 0 if it gave none.
	ExpectedOutputTokens int
}

// Purpose is what an upstream is asked to do with a request.
type Purpose int

// The purposes of sends.
const (
	// Execute has the request answered.
	Execute Purpose = iota
	// Prefill has only the prompt read.
	Prefill
)

// Attempt describes one send of a call to an upstream.
type Attempt struct {
	Purpose Purpose
	To      *fleet.Instance
	// Left is how long the upstream may work.
	Timeout time.Duration
	// Reservation is the engine's name for the reserved slot and memory.
	Reservation string
	// Source is where the KV cache of the prompt lies; nil: nowhere.
	Source *KVSource
	// ResumeAfter is the id of the last event that was delivered.
	ResumeAfter string
}

// KVSource names the result of a prefill.
type KVSource struct {
	Address string
	Handle  string
}

// ResponseClass is what an answer says of the fate of its request.
type ResponseClass int

// The verdicts.
const (
	// Answered is the upstream's own answer, whatever its status.
	Answered ResponseClass = iota
	// NotExecuted is a refusal: the request did not run and will not.
	NotExecuted
	// WrongInstance is a refusal by another instance at the address.
	WrongInstance
	// Unverified is an answer that does not prove to come from the upstream's run.
	Unverified
)

// Protocol translates between messages and the gateway's types.
type Protocol interface {
	// ReadCall takes what a client says of its request from the headers. The
	// error is a *fault.Error that names the header at fault.
	ParseCall(r *http.Request) (*Call, error)
	// Header returns the headers of one send.
	AttemptHeader(c *Call, s Attempt) http.Header
	// EchoHeader names the header in which upstreams repeat the call's id.
	EchoHeader() string
	// Judge reads the verdict from an answer.
	ClassifyResponse(status int, h http.Header) ResponseClass
	// FormatRetryAfter returns the value of the Retry-After header.
	FormatRetryAfter(d time.Duration) string
}

// Reservation is a slot and memory that an engine holds for one request.
type Reservation struct {
	ID     string
	Engine *fleet.Upstream
}

// EngineClient are the calls to model engines beside the requests themselves.
type EngineClient interface {
	// Reserve takes a slot and memory; ErrNoRoom when the engine has none.
	Reserve(ctx context.Context, u *fleet.Upstream, tokens int, ttl time.Duration) (Reservation, error)
	// Release gives an unused reservation back.
	Release(ctx context.Context, r Reservation) error
	// ReadPrefill decodes the answer to a prefill.
	ParsePrefillResponse(body []byte) (handle string, err error)
	// FreePrefill frees the result of a prefill that nobody will take.
	ReleasePrefill(ctx context.Context, u *fleet.Upstream, handle string) error
}
