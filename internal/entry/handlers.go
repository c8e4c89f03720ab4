package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// errRequestTimeout is the cancellation cause of a request that exceeded
// RequestTimeout.
var errRequestTimeout = errors.New("request exceeded the request timeout")

// handleCompletion serves a text completion or, if chat is set, a chat
// completion.
func (e *Entry) handleCompletion(c *gin.Context, chat bool) {
	body, err := e.readBody(c)
	if err != nil {
		e.refuse(c, fault.From(err))
		return
	}
	parsed, err := parseCompletion(body, chat)
	if err != nil {
		e.refuse(c, fault.From(err))
		return
	}
	snap := snapshotOf(c)
	req, err := e.newRequest(c, snap, parsed)
	if err != nil {
		e.refuse(c, fault.From(err))
		return
	}
	e.runRequest(c, snap, req, newResponseWriter(c.Writer, req, chat, parsed))
}

// readBody reads the whole request body within the limits on size and time.
func (e *Entry) readBody(c *gin.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, e.limits.MaxBodyBytes))
	if err == nil {
		clearBodyDeadline(c)
		return body, nil
	}
	c.Header("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.KindBodyTooLarge, "send a smaller body", "the body is larger than %d bytes", tooLarge.Limit)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, fault.New(fault.KindRequestTimeout, "send the body faster", "the body did not arrive within %s", e.limits.BodyTimeout)
	}
	return nil, fault.New(fault.KindMalformedRequest, "send a complete body", "the body could not be read").WithCause(err)
}

func (e *Entry) newRequest(c *gin.Context, snap *config.Snapshot, p parsedCompletion) (*Request, error) {
	model, ok := snap.Models[p.Model]
	if !ok {
		return nil, fault.New(fault.KindModelNotFound, "name a model of GET /v1/models", "there is no model %q", p.Model).WithParam("model")
	}
	tokens := estimateTokens(p.Prompt)
	if limit := min(model.MaxPromptTokens, e.limits.MaxPromptTokens); tokens > limit {
		return nil, fault.New(fault.KindPromptTooLong, "shorten the prompt",
			"the prompt has about %d tokens; at most %d are taken", tokens, limit).WithParam("prompt")
	}
	now := time.Now()
	maxTokens := min(p.MaxTokens, model.MaxOutputTokens)
	return &Request{
		ID:           c.GetString(keyRequestID),
		Caller:       callerOf(c),
		Model:        model,
		Prompt:       p.Prompt,
		PromptTokens: tokens,
		MaxTokens:    maxTokens,
		Stop:         p.Stop,
		Sampling:     p.Sampling,
		Fingerprint:  requestFingerprint(p.Model, p.Prompt, maxTokens),
		Accepted:     now,
		Deadline:     now.Add(snap.Policy.TTFTTarget),
	}, nil
}

// runRequest runs a request to its end, writes the response and updates the
// caller's counters and the metrics.
func (e *Entry) runRequest(c *gin.Context, snap *config.Snapshot, req *Request, response *responseWriter) {
	counters := e.counters.get(req.Caller.Name)
	counters.offered.Add(1)
	ctx, cancel := context.WithTimeoutCause(c.Request.Context(), e.limits.RequestTimeout, errRequestTimeout)
	defer cancel()
	r := e.newRunner(ctx, req, response, snap)
	err := r.run()
	counters.promptTokens.Add(int64(req.PromptTokens))
	counters.outputTokens.Add(int64(req.Delivered()))
	e.metrics.recordRequest(c.Request.Context(), req, err)
	switch {
	case err == nil:
		counters.finished.Add(1)
		e.observeLength(req)
		e.limitedLog.Log(log.InfoLevel, "finished", "request finished", "request", req.ID, "caller", req.Caller.Name, "attempts", req.Attempt(),
			"prompt_tokens", req.PromptTokens, "output_tokens", req.Delivered(), "revision", snap.Revision,
			"duration", time.Since(req.Accepted))
	case c.Request.Context().Err() != nil:
		counters.cancelled.Add(1)
		r.recordEvent("cancelled", "", "the caller left")
		e.limitedLog.Log(log.InfoLevel, "caller disconnected", "caller disconnected", "request", req.ID, "caller", req.Caller.Name, "output_tokens", req.Delivered())
	default:
		e.reportFailure(c, r, counters, err)
	}
}

func (e *Entry) reportFailure(c *gin.Context, r *runner, counters *callerCounters, err error) {
	f := r.callerFault(err)
	if f.Outcome == fault.NotRun {
		counters.refused.Add(1)
	} else {
		counters.failed.Add(1)
	}
	r.recordEvent("failed", "", string(f.Kind))
	e.metrics.recordError(c.Request.Context(), f.Kind)
	e.limitedLog.Log(log.WarnLevel, "failed/"+string(f.Kind), "model request failed", "request", r.req.ID, "caller", r.req.Caller.Name, "attempts", r.req.Attempt(),
		"kind", f.Kind, "outcome", f.Outcome, "reason", f.Message, "cause", f.Cause)
	r.response.Fail(f)
}

// callerFault returns the error that is reported to the caller. Once an engine
// may have begun work, an error that says "not run" is changed to an unknown
// outcome.
func (r *runner) callerFault(err error) *fault.Error {
	if errors.Is(err, errRequestTimeout) {
		return fault.New(fault.KindUpstreamTimeout, "send it again when the load is lower",
			"the request did not finish within %s", r.entry.limits.RequestTimeout).WithOutcome(fault.Unknown)
	}
	f := fault.From(err)
	if r.mayHaveRun && f.Outcome == fault.NotRun {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels serves the list of configured models.
func (e *Entry) listModels(c *gin.Context) {
	snap := snapshotOf(c)
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name := range snap.Models {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "fescueslip"})
	}
	slices.SortFunc(list.Data, func(a, b modelInfo) int { return strings.Compare(a.ID, b.ID) })
	c.JSON(http.StatusOK, list)
}

// lookupOutcome serves the outcome of an idempotency key.
func (e *Entry) lookupOutcome(c *gin.Context) {
	if e.outcomes == nil {
		e.refuse(c, fault.New(fault.KindRouteNotFound, "use another entry", "this entry has no ledger"))
		return
	}
	e.outcomes.ServeOutcome(c.Writer, c.Request, callerOf(c), c.Param("key"))
}

// servePlain forwards calls that match no path of the model API to a service.
func (e *Entry) servePlain(c *gin.Context) {
	// gin presets status 404 for paths without a handler. Reset it, because the
	// route of the service determines the status.
	c.Status(http.StatusOK)
	if e.plain == nil {
		e.refuse(c, fault.New(fault.KindRouteNotFound, "check the path", "no route matches %s", c.Request.URL.Path))
		return
	}
	// Package plain streams request bodies and applies its own limits.
	clearBodyDeadline(c)
	e.plain.ServeCall(c.Writer, c.Request, callerOf(c), c.GetString(keyRequestID))
}
