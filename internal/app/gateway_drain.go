package app

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/shutdown"
	"github.com/fescueslip/fescueslip/internal/wait"
)

const (
	// balancerDetectionTime is how long the load balancer keeps sending new connections
	// to an instance that is not ready: two probes, one second apart, and their
	// timeouts.
	balancerDetectionTime = 3500 * time.Millisecond
	// drainPollInterval is how often the number of requests in progress is checked.
	drainPollInterval = 20 * time.Millisecond
	// closeTimeout limits the time for sending the last responses and for closing the
	// connections when no request is in progress any more, and lastCloseTime is kept for that
	// if requests are.
	closeTimeout  = 250 * time.Millisecond
	lastCloseTime = 100 * time.Millisecond
)

// clientDrain ends the service of the client port in a planned stop, so that each request
// that was read gets an answer.
type clientDrain struct {
	gateway *gateway.Gateway
	server  *clientServer
	log     *log.Logger
}

// run drains the client port and closes it, within the grace period unless the process was paused
// or delayed.
func (d *clientDrain) run(ctx context.Context, grace time.Duration) {
	times := d.gateway.Shutdown.Begin(time.Now(), grace, d.gateway.InFlight())
	d.logStep("shutdown begins", "grace_ms", grace.Milliseconds(), "service_ms", times.EndOfService.Sub(times.Began).Milliseconds())
	d.awaitRequests(ctx, times)
	d.logStep("service ends")
	d.gateway.Shutdown.EndService()
	closeBy := times.CloseAfter(time.Now())
	d.awaitAnswers(ctx, closeBy.Add(-lastCloseTime))
	d.logStep("closing the client port")
	ctx, cancel := context.WithTimeout(ctx, min(closeTimeout, time.Until(closeBy)))
	defer cancel()
	d.server.shutdown(ctx)
	d.logStep("client port closed")
}

// logStep logs a step of the stop, with what is in progress.
func (d *clientDrain) logStep(message string, fields ...any) {
	waiting := d.gateway.WaitingCalls()
	fields = append([]any{"in_flight", d.gateway.InFlight(), "waiting_model", waiting.Model, "waiting_plain", waiting.Plain}, fields...)
	d.log.Info(message, fields...)
}

// awaitRequests waits until no request is in progress and the load balancer sends no new
// ones, but no longer than until the end of service.
func (d *clientDrain) awaitRequests(ctx context.Context, times shutdown.Timetable) {
	for now := time.Now(); now.Before(times.EndOfService); now = time.Now() {
		if now.Sub(times.Began) >= balancerDetectionTime && d.gateway.InFlight() == 0 {
			return
		}
		if !wait.For(ctx, min(drainPollInterval, times.EndOfService.Sub(now))) {
			return
		}
	}
}

// awaitAnswers waits until the requests that the end of service ended have their answers.
func (d *clientDrain) awaitAnswers(ctx context.Context, limit time.Time) {
	for d.gateway.InFlight() > 0 && time.Now().Before(limit) {
		if !wait.For(ctx, drainPollInterval/4) {
			return
		}
	}
}
