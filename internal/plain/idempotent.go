package plain

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/ledger"
)

// settleMargin is added to the time after which other entries report the outcome
// of a call with an idempotency key as unknown, so that the entry that runs the
// call normally settles it first.
const settleMargin = 5 * time.Second

// serveIdempotent serves a non-repeatable call with an Idempotency-Key. It commits
// the call's intent to the ledger before the service can receive the call.
func (rt *Router) serveIdempotent(w http.ResponseWriter, c *call, key string) *fault.Error {
	if rt.ledger == nil {
		return fault.New(fault.KindStoreUnavailable, "send the request without an Idempotency-Key",
			"this process keeps no ledger")
	}
	claim, stored, err := rt.ledger.Begin(c.request.Context(), ledger.Call{
		Caller:     c.caller.Name,
		Key:        key,
		Digest:     ledger.NewDigest([]byte(c.request.Method), []byte(c.request.URL.RequestURI()), c.body.buffered),
		MaxRunTime: c.timeout + sidecarTimeoutMargin + settleMargin,
	})
	if err != nil {
		return withOutcomeLocation(w, key, fault.From(err))
	}
	if stored != nil {
		writeStoredResponse(w, *stored)
		return nil
	}
	rt.recordEvent(c, 0, "intent-committed", "", "")
	return withOutcomeLocation(w, key, rt.executeClaim(w, c, claim))
}

// executeClaim runs the call and settles its claim according to the outcome.
func (rt *Router) executeClaim(w http.ResponseWriter, c *call, claim *ledger.Claim) *fault.Error {
	if !claim.Valid() {
		claim.NotRun()
		return fault.New(fault.KindUpstreamTimeout, "send the request again with the same key",
			"this process was paused before it submitted the request").WithRetryAfter(retryAfterLeaving)
	}
	ctx, idle := withIdleTimeout(context.WithoutCancel(c.request.Context()), c.timeout+sidecarTimeoutMargin)
	defer idle.stop()
	res, f := rt.submitAtMostOnce(ctx, c)
	switch {
	case f == nil:
	case f.Outcome == fault.NotRun:
		claim.NotRun()
		return f
	default:
		claim.Unknown()
		return f
	}
	res.response.Body = idle.wrapBody(res.response.Body)
	recorder := &responseRecorder{status: res.response.StatusCode, contentType: res.response.Header.Get("Content-Type")}
	// The service has responded even when the response is cut off, which makes
	// writeResponse panic.
	defer func() { claim.Done(recorder.ledgerAnswer()) }()
	writeResponse(w, res.response, recorder.record)
	return nil
}

// withOutcomeLocation sets the Location header to the address where the caller can
// look up the outcome of its key, unless the call certainly did not run.
func withOutcomeLocation(w http.ResponseWriter, key string, f *fault.Error) *fault.Error {
	if f != nil && f.Outcome != fault.NotRun {
		w.Header().Set("Location", ledger.OutcomePath(key))
	}
	return f
}

func writeStoredResponse(w http.ResponseWriter, a ledger.Answer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(fault.OutcomeHeader, string(fault.Ran))
	w.WriteHeader(a.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(a.Body)
}

// responseRecorder keeps a copy of a response that is small enough for the ledger.
type responseRecorder struct {
	status      int
	contentType string
	body        []byte
	complete    bool
}

func (r *responseRecorder) record(chunk []byte, err error) {
	if len(r.body) <= ledger.MaxAnswerBytes {
		r.body = append(r.body, chunk...)
	}
	if err == io.EOF {
		r.complete = true
	}
}

func (r *responseRecorder) ledgerAnswer() ledger.Answer {
	return ledger.Answer{
		Status:      r.status,
		ContentType: r.contentType,
		Body:        r.body,
		BodyKept:    r.complete && len(r.body) <= ledger.MaxAnswerBytes,
	}
}
