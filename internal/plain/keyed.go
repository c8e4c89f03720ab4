package plain

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/ledger"
)

// keyedMargin is added to the time after which others call a keyed call's
// outcome unknown, so that its own entry normally settles it first.
const keyedMargin = 5 * time.Second

// serveKeyed answers a non-repeatable call with an Idempotency-Key. Its intent
// is in the ledger before the service can see it.
func (p *Router) serveKeyed(w http.ResponseWriter, c *call, key string) *fault.Error {
	if p.ledger == nil {
		return fault.New(fault.KindStoreUnavailable, "send the request without an Idempotency-Key",
			"this process keeps no ledger")
	}
	claim, kept, err := p.ledger.Begin(c.request.Context(), ledger.Call{
		Caller:     c.caller.Name,
		Key:        key,
		Digest:     ledger.NewDigest([]byte(c.request.Method), []byte(c.request.URL.RequestURI()), c.body.buffered),
		MaxRunTime: c.timeout + hopMargin + keyedMargin,
	})
	if err != nil {
		return withLookup(w, key, fault.From(err))
	}
	if kept != nil {
		replay(w, *kept)
		return nil
	}
	p.record(c, 0, "intent-committed", "", "")
	return withLookup(w, key, p.runClaimed(w, c, claim))
}

// runClaimed runs the call and settles its claim by what became of it.
func (p *Router) runClaimed(w http.ResponseWriter, c *call, claim *ledger.Claim) *fault.Error {
	if !claim.Valid() {
		claim.NotRun()
		return fault.New(fault.KindUpstreamTimeout, "send the request again with the same key",
			"this process was paused before it submitted the request").WithRetryAfter(retryAfterLeaving)
	}
	ctx, silence := watchSilence(context.WithoutCancel(c.request.Context()), c.timeout+hopMargin)
	defer silence.stop()
	res, f := p.runOnce(ctx, c)
	switch {
	case f == nil:
	case f.Outcome == fault.NotRun:
		claim.NotRun()
		return f
	default:
		claim.Unknown()
		return f
	}
	res.response.Body = silence.watch(res.response.Body)
	answer := &answerCopy{status: res.response.StatusCode, contentType: res.response.Header.Get("Content-Type")}
	// Also when the answer breaks off, the service has answered.
	defer func() { claim.Done(answer.answer()) }()
	pass(w, res.response, answer.observe)
	return nil
}

// withLookup tells the caller where to look up a key whose outcome is not known.
func withLookup(w http.ResponseWriter, key string, f *fault.Error) *fault.Error {
	if f != nil && f.Outcome != fault.NotRun {
		w.Header().Set("Location", ledger.OutcomePath(key))
	}
	return f
}

func replay(w http.ResponseWriter, a ledger.Answer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(fault.OutcomeHeader, string(fault.Ran))
	w.WriteHeader(a.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(a.Body)
}

// answerCopy keeps an answer that is small enough for the ledger.
type answerCopy struct {
	status      int
	contentType string
	body        []byte
	complete    bool
}

func (a *answerCopy) observe(chunk []byte, err error) {
	if len(a.body) <= ledger.MaxAnswerBytes {
		a.body = append(a.body, chunk...)
	}
	if err == io.EOF {
		a.complete = true
	}
}

func (a *answerCopy) answer() ledger.Answer {
	return ledger.Answer{
		Status:      a.status,
		ContentType: a.contentType,
		Body:        a.body,
		BodyKept:    a.complete && len(a.body) <= ledger.MaxAnswerBytes,
	}
}
