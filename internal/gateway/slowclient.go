package gateway

import (
	"context"
	"time"

	"github.com/fescueslip/fescueslip/internal/outbuf"
)

// slowClientThreshold is for how long writes of a response must have been blocked for the
// client to be logged as slow.
const slowClientThreshold = 250 * time.Millisecond

// beginResponse tells the client's connection whose response it carries. c may be nil.
func (g *Gateway) beginResponse(ctx context.Context, c *Call) {
	owner := outbuf.Owner{Account: accountName(c)}
	if c != nil {
		owner.Request = c.ID
	}
	outbuf.FromContext(ctx).Begin(owner)
}

// recordSlowness records how much of the relay's streams waited for the client.
func (o *outcome) recordSlowness(relay *streamRelay) {
	o.mostWaiting, o.heldBack = relay.mostWaiting, relay.heldBack
}

// ClientStalled implements outbuf.Monitor.
func (g *Gateway) ClientStalled(o outbuf.Owner, e *outbuf.StalledError) {
	g.Metrics.clientStalled()
	g.Logger.Warn("slow client", "request", o.Request, "account", o.Account, "outcome", "disconnected",
		"waiting_bytes", e.Waiting, "idle_ms", e.Idle.Milliseconds())
}

// logSlowClient records for how long the response waited for its client. A client that was
// disconnected has been logged by ClientStalled.
func (g *Gateway) logSlowClient(ctx context.Context, c *Call, res outcome) {
	g.Metrics.waitedForClient(res.heldBack)
	blocked := outbuf.FromContext(ctx).Blocked()
	if blocked < slowClientThreshold {
		return
	}
	result := "delivered"
	if res.abortCause != nil {
		result = "broken_off"
	}
	g.Logger.Info("slow client", "request", c.ID, "account", accountName(c), "outcome", result,
		"waiting_bytes", res.mostWaiting, "blocked_ms", blocked.Milliseconds(), "backpressure_ms", res.heldBack.Milliseconds())
}

// BufferState is what a gateway holds for clients and upstreams, in bytes.
type BufferState struct {
	Limit, RequestBodies, Responses, Streams int64
}

// Buffers returns what the gateway holds now.
func (g *Gateway) Buffers() BufferState {
	return BufferState{
		Limit:         g.memory.Limit(),
		RequestBodies: g.memory.Used(outbuf.RequestBodies),
		Responses:     g.memory.Used(outbuf.Responses),
		Streams:       g.memory.Used(outbuf.Streams),
	}
}
