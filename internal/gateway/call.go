package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/account"
	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// Call is a client request and what the gateway has resolved for it.
type Call struct {
	// ID identifies this attempt of the client. Upstreams echo it in their
	// responses.
	ID     string
	Method string
	// Target is the request target as received from the client.
	Target string
	Host   string
	// Header holds the headers that are forwarded to upstreams.
	Header http.Header
	Body   []byte
	// Received is the time at which the request head had been read.
	Received time.Time
	// ClientTimeout is the time limit that the client sent, or 0 if it sent none.
	ClientTimeout time.Duration
	// Deadline is the time at which the client or the route abandons the request.
	Deadline time.Time
	Route    *routing.Route
	Service  *routing.Service
	// Version is the version of the routing table that matched the call.
	Version uint64
	Model   ModelParams
	// Credential is what the request presented to name its account, and Account the account
	// that the table gave it; nil if there is none.
	Credential account.Credential
	Account    *account.Account
	// Priority is that of the account, or that of the route if the account has none.
	Priority int
	// quotaCost is what the call has taken from the quota of its account, in units.
	quotaCost float64
	// ResumeAfter is the ID of the last event that the client has received.
	ResumeAfter string
	// Resumes is the ID of the client's attempt that brought the first event, if this
	// attempt takes a stream up. It may be empty.
	Resumes string
	// Carried holds the connections that have carried attempts of the call. All of them
	// name the same ID.
	Carried exchange.Carried
	// RetryAge is the estimated time that the client spent on earlier attempts of
	// the same request. It is 0 for a first attempt.
	RetryAge time.Duration
	// outputTime is the expected time from the first event of a model request to the last. It
	// is set when the request waits for an engine.
	outputTime time.Duration
	// estimatedWork is what the account was charged for a plain call that has not ended, in
	// seconds. The lock of the plain queue protects it.
	estimatedWork float64
}

// Remaining returns the time until the call's deadline.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// usesModelEngines reports whether the call is answered by model engines.
func (c *Call) usesModelEngines() bool { return c.Route.UsesModelEngines && c.Service.Engine != nil }

// ModelParams holds the size of a model request.
type ModelParams struct {
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutputTokens is the maximum length of the output.
	MaxOutputTokens int
	// Declared reports whether the request stated its numbers of tokens.
	Declared bool
	// ExpectedOutputTokens is the client's estimate of the output length, or 0 if it
	// sent none.
	ExpectedOutputTokens int
	// SharedParts holds the IDs of the parts of the prompt that other requests may
	// have too, in the order of the prompt. The last part of a prompt, which belongs
	// to the request or its session, is not among them.
	SharedParts []string
}

// Purpose says what an upstream does with a request.
type Purpose int

// Purposes of an attempt.
const (
	// Execute asks the upstream to answer the request.
	Execute Purpose = iota
	// Prefill asks the engine to process the prompt without generating output.
	Prefill
)

// Attempt describes one transmission of a call to an upstream.
type Attempt struct {
	Purpose Purpose
	To      *fleet.Instance
	// Timeout is the time that the upstream may spend on the attempt.
	Timeout time.Duration
	// Reservation is the ID that the engine gave to the reserved slot and memory.
	Reservation string
	// Source locates the KV cache of the prompt. It is nil if there is none.
	Source *KVSource
	// ResumeAfter is the ID of the last event that was delivered to the client.
	ResumeAfter string
}

// KVSource locates the result of a prefill.
type KVSource struct {
	Address string
	Handle  string
}

// ResponseClass says whether a response is the result of running the request.
type ResponseClass int

// Classes of responses.
const (
	// Answered marks a response that the upstream produced for the request, whatever
	// its status.
	Answered ResponseClass = iota
	// NotExecuted marks a refusal: the upstream did not and will not run the
	// request.
	NotExecuted
	// WrongInstance marks a refusal by a different instance that now uses the
	// address.
	WrongInstance
	// Unverified marks a response without proof that it results from a run of the
	// request at the upstream.
	Unverified
	// UnprovenRefusal marks a response whose status says that the request was not executed,
	// although the upstream does not state that. It must not reach a client as it is.
	UnprovenRefusal
)

// refused reports whether the response says that the request was not executed.
func (c ResponseClass) refused() bool { return c == NotExecuted || c == WrongInstance }

// String returns the name of the class in logs.
func (c ResponseClass) String() string {
	switch c {
	case Answered:
		return "answered"
	case NotExecuted:
		return "not_executed"
	case WrongInstance:
		return "wrong_instance"
	case UnprovenRefusal:
		return "unproven_refusal"
	default:
		return "unverified"
	}
}

// Protocol converts between HTTP messages and the gateway's types.
type Protocol interface {
	// ParseCall reads the parameters of a client request from its headers. The error
	// is a *fault.Error that names the invalid header.
	ParseCall(r *http.Request) (*Call, error)
	// AttemptHeader returns the request headers of an attempt.
	AttemptHeader(c *Call, s Attempt) http.Header
	// KeyHeader returns the name of the header that holds the key of a client account.
	KeyHeader() string
	// EchoHeader returns the name of the header in which upstreams echo the call ID.
	EchoHeader() string
	// ClassifyResponse determines the class of a response to an attempt with the given
	// purpose.
	ClassifyResponse(p Purpose, status int, h http.Header) ResponseClass
	// RateLimit returns the limit on the requests of all gateways that an upstream
	// names in its response, in requests a second, and whether it names one. The error
	// describes a value that cannot be read and is ignored.
	RateLimit(h http.Header) (perSecond float64, named bool, err error)
	// RetryAfter returns for how long an upstream that turned a request away wants none of
	// this gateway, or 0 if its response does not say.
	RetryAfter(status int, h http.Header) time.Duration
	// SaysLeaving reports whether an upstream says in its response that it is leaving.
	SaysLeaving(h http.Header) bool
	// FormatRetryAfter returns the value of the Retry-After header.
	FormatRetryAfter(d time.Duration) string
}

// Reservation is a slot and memory that an engine holds for one request.
type Reservation struct {
	ID     string
	Engine *fleet.Upstream
}

// EngineClient manages reservations and prefill results of model engines.
type EngineClient interface {
	// Reserve reserves a slot and memory. It returns ErrNoCapacity if the engine has
	// too little of either.
	Reserve(ctx context.Context, u *fleet.Upstream, tokens int, ttl time.Duration) (Reservation, error)
	// Release returns an unused reservation to the engine.
	Release(ctx context.Context, r Reservation) error
	// ParsePrefillResponse decodes the body of a prefill response.
	ParsePrefillResponse(body []byte) (handle string, err error)
	// ReleasePrefill frees a prefill result that no decode engine will fetch.
	ReleasePrefill(ctx context.Context, u *fleet.Upstream, handle string) error
}
