package entry

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/fescueslip/fescueslip/internal/account"
	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/httpabort"
)

const (
	keyRequestID = "request_id"
	keyCaller    = "caller"
	keySnapshot  = "snapshot"
)

// refuse answers a call with an error before any work was done for it.
func (e *Entry) refuse(c *gin.Context, f *fault.Error) {
	e.limitedLog.Log(log.InfoLevel, "refused/"+string(f.Kind), "request refused", "request", c.GetString(keyRequestID), "kind", f.Kind,
		"outcome", f.Outcome, "reason", f.Message, "cause", f.Cause)
	e.metrics.recordError(c.Request.Context(), f.Kind)
	f.Write(c.Writer)
	c.Abort()
}

// recover answers a call whose handler panicked with an internal error. A panic with
// http.ErrAbortHandler, with which a handler aborts its response, is repeated.
func (e *Entry) recover(c *gin.Context) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p == http.ErrAbortHandler {
			httpabort.Abort(c.Writer, c.Request, e.log)
		}
		e.log.Error("request handler panicked", "request", c.GetString(keyRequestID), "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		if !c.Writer.Written() {
			fault.From(nil).Write(c.Writer)
		}
		c.Abort()
	}()
	c.Next()
}

// assignRequestID gives the request a new ID. An ID sent by the caller is not
// used, because the ID names the request's attempts at the engines and must be
// unique.
func (e *Entry) assignRequestID(c *gin.Context) {
	id := uuid.NewString()
	c.Set(keyRequestID, id)
	c.Header(RequestIDHeader, id)
	e.setBodyDeadline(c)
}

// setBodyDeadline sets the deadline for the arrival of the request body. The
// deadline stays in force when the request is refused, because the HTTP server
// reads the rest of the body before it sends the refusal.
func (e *Entry) setBodyDeadline(c *gin.Context) {
	if c.Request.ContentLength == 0 {
		return
	}
	// Only a ResponseWriter of a test without a network lacks deadlines.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(e.limits.BodyTimeout))
}

func clearBodyDeadline(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
}

// checkHeaders refuses a request whose header has too many fields or too many
// bytes.
func (e *Entry) checkHeaders(c *gin.Context) {
	count, size := 0, len(c.Request.RequestURI)
	for name, values := range c.Request.Header {
		count += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	switch {
	case count > e.limits.MaxHeaderCount:
		e.refuse(c, fault.New(fault.KindHeaderTooLarge, "send fewer header fields",
			"%d header fields are more than the %d allowed", count, e.limits.MaxHeaderCount))
	case size > e.limits.MaxHeaderBytes:
		e.refuse(c, fault.New(fault.KindHeaderTooLarge, "send a smaller header",
			"the header has %d bytes; at most %d are taken", size, e.limits.MaxHeaderBytes))
	}
}

// authenticate looks up the caller by the SHA-256 hash of its bearer key. The
// key itself is neither stored nor logged.
func (e *Entry) authenticate(c *gin.Context) {
	snap := e.config.Snapshot()
	if snap == nil {
		e.refuse(c, fault.New(fault.KindNotReady, "send it to another entry", "this entry has no configuration yet").WithRetryAfter(time.Second))
		return
	}
	scheme, key, ok := strings.Cut(c.GetHeader("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		e.refuse(c, fault.New(fault.KindInvalidAPIKey, "send the header Authorization: Bearer with your key", "the caller key is missing"))
		return
	}
	caller, ok := snap.CallerByKey(account.Digest(strings.TrimSpace(key)))
	if !ok {
		e.refuse(c, fault.New(fault.KindInvalidAPIKey, "check the key with your operator", "the caller key is not known"))
		return
	}
	c.Set(keyCaller, caller)
	c.Set(keySnapshot, snap)
}

// admit limits the requests in progress per caller and refuses new requests
// while the entry is leaving.
func (e *Entry) admit(c *gin.Context) {
	caller := callerOf(c)
	limit := caller.MaxStreams
	if limit == 0 {
		limit = e.limits.MaxStreamsPerCaller
	}
	release, ok := e.streams.acquire(caller.Name, limit)
	if !ok {
		e.refuse(c, fault.New(fault.KindTooManyStreams, "wait for one of them to finish",
			"the caller already has %d requests in progress at this entry", limit).WithRetryAfter(time.Second))
		return
	}
	defer release()
	e.inFlight.begin()
	defer e.inFlight.end()
	if e.closeConnections.Load() {
		c.Header("Connection", "close")
	}
	// This check must follow the registration in inFlight, so that Drain does
	// not miss the request.
	if e.leaving.Load() {
		e.refuse(c, fault.New(fault.KindInstanceLeaving, "send it again; another entry answers", "this entry is leaving").WithRetryAfter(time.Second))
		return
	}
	c.Next()
}

func callerOf(c *gin.Context) *config.Caller {
	return c.MustGet(keyCaller).(*config.Caller)
}

func snapshotOf(c *gin.Context) *config.Snapshot {
	return c.MustGet(keySnapshot).(*config.Snapshot)
}
