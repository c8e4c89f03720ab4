package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

const (
	// engineMaxIdle bounds the idle time of a connection for a model request.
	engineMaxIdle = 700 * time.Millisecond
	// prefillAnswerBytes bounds the answer to a prefill.
	prefillAnswerBytes = 4 << 10
	// releaseTimeout bounds a call that gives memory back.
	releaseTimeout = time.Second
)

// serveModel answers a model request: it reserves a slot and memory at a decode
// engine, has the prompt read at a prefill engine, and relays the decode
// engine's stream.
func (g *Gateway) serveModel(ctx context.Context, w http.ResponseWriter, c *Call) outcome {
	g.budget.Request(c.Service.Name, c.Received)
	m := &modelRun{g: g, call: c, w: w}
	m.do(ctx)
	return m.res
}

// modelRun carries one model request through its steps.
type modelRun struct {
	g    *Gateway
	call *Call
	w    http.ResponseWriter
	res  outcome
	// relay is set once an engine's answer has begun.
	relay *streamRelay
}

func (m *modelRun) do(ctx context.Context) {
	for {
		retry, err := m.attempt(ctx)
		if err == nil {
			return
		}
		if m.relay != nil {
			if m.resumes(ctx, err) {
				continue
			}
			m.res.abort = err
			return
		}
		var refusal *fault.Error
		if errors.As(err, &refusal) {
			m.res.err = refusal
			return
		}
		m.g.Logger.Info("attempt failed", "request", m.call.ID, "upstream", m.res.upstream, "prefill_at", m.res.steps.prefillAt,
			"may_have_run", !retry, "cause", err.Error())
		if !retry || ctx.Err() != nil || !m.g.budget.Spend(m.call.Service.Name, time.Now(), retryReserve) {
			m.res.err = m.failure(ctx, err, !retry)
			return
		}
	}
}

// resumes reports whether a broken stream goes on at another engine, after the
// last event that was passed on.
func (m *modelRun) resumes(ctx context.Context, err error) bool {
	var refusal *fault.Error
	gone := ctx.Err() != nil || errors.Is(err, errClientGone) || errors.As(err, &refusal)
	if gone || !m.call.Route.Resumable || m.res.attempts >= m.call.Route.MaxAttempts {
		return false
	}
	if !m.g.repeats(m.call, 0) {
		return false
	}
	m.relay.dropPending()
	if id := m.relay.lastID; id != "" {
		m.call.ResumeAfter = id
	}
	m.res.steps.resumes++
	m.g.Logger.Info("stream resumed at another engine", "request", m.call.ID, "broken_at", m.res.upstream,
		"after_event", m.call.ResumeAfter, "cause", err.Error())
	return true
}

// failure is the gateway's own answer when no engine's answer has begun.
func (m *modelRun) failure(ctx context.Context, err error, mayHaveRun bool) *fault.Error {
	if !mayHaveRun {
		return refuseOverloaded(m.g.modelRetryAfter(), "no engine took the request").WithCause(err)
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		return failTimeout(err, fault.Unknown)
	}
	return failUpstream(err)
}

func (g *Gateway) modelRetryAfter() time.Duration {
	const least, spread = 300, 900
	return time.Duration(least+rand.IntN(spread)) * time.Millisecond
}

// attempt runs the steps once. retry tells that the request has certainly not run.
func (m *modelRun) attempt(ctx context.Context) (retry bool, err error) {
	began := time.Now()
	place, err := m.g.scheduler.reserve(ctx, m)
	m.res.steps.reserve += time.Since(began)
	if err != nil {
		return true, err
	}
	defer func() { m.g.scheduler.ended(place) }()
	m.res.steps.medianOutput = place.run.state.MedianOutputTokens
	source, err := m.prefill(ctx, &place)
	if err != nil {
		m.g.releaseHold(place.hold, m.call.ID)
		return true, err
	}
	return m.decode(ctx, &place, source)
}

// releaseHold gives an unused reservation back in the background.
func (g *Gateway) releaseHold(hold Reservation, request string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := g.EngineClient.Release(ctx, hold); err != nil {
			g.Logger.Info("reservation not released; it ends with its lease", "request", request,
				"upstream", hold.Engine.Instance().ID, "err", err)
		}
	}()
}

// prefillResult is where the KV cache of the prompt lies.
type prefillResult struct {
	engine *fleet.Upstream
	handle string
}

// prefill has the prompt read. A nil result without an error means that the
// decode engine reads it by itself.
func (m *modelRun) prefill(ctx context.Context, place *grant) (*prefillResult, error) {
	u := place.prefill
	if u == place.hold.Engine {
		return nil, nil
	}
	defer place.prefillDone()
	began := time.Now()
	defer func() { m.res.steps.prefill += time.Since(began) }()
	to := u.Instance()
	m.res.steps.prefillAt = to.ID
	others, _ := m.g.scheduler.load.prefill(u)
	ahead := u.PrefillTokens.Load() + others
	r := m.g.send(ctx, m.call, u, Attempt{Purpose: Prefill, To: to, Timeout: m.call.Remaining(began)}, engineMaxIdle)
	r.took = time.Since(began)
	if r.err != nil {
		m.g.observe(ctx, m.call, u, r)
		return nil, errors.Wrap(r.err, "prefill")
	}
	if r.verdict != Answered || r.resp.Status != http.StatusOK {
		_ = r.resp.Body.Close()
		u.RecordRefusal(time.Now(), true)
		return nil, errors.Errorf("prefill refused with status %d", r.resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, prefillAnswerBytes))
	_ = r.resp.Body.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read prefill answer")
	}
	handle, err := m.g.EngineClient.ParsePrefillResponse(body)
	if err != nil {
		u.RecordError()
		return nil, err
	}
	took := time.Since(began)
	m.g.scheduler.load.prefilled(u, ahead, took)
	return &prefillResult{engine: u, handle: handle}, nil
}

func (m *modelRun) free(p *prefillResult) {
	if p == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := m.g.EngineClient.ReleasePrefill(ctx, p.engine, p.handle); err != nil {
			m.g.Logger.Info("prefill result not freed; it lapses by itself", "request", m.call.ID,
				"upstream", p.engine.Instance().ID, "err", err)
		}
	}()
}

// decode sends the request to the engine of the reservation and relays its stream.
func (m *modelRun) decode(ctx context.Context, place *grant, p *prefillResult) (retry bool, err error) {
	hold := place.hold
	u := hold.Engine
	u.InFlight.Add(1)
	defer u.InFlight.Add(-1)
	began := time.Now()
	m.res.attempts++
	to := u.Instance()
	m.res.upstream = to.ID
	send := Attempt{Purpose: Execute, To: to, Timeout: m.call.Remaining(began), Reservation: hold.ID, ResumeAfter: m.call.ResumeAfter}
	if p != nil {
		send.Source = &KVSource{Address: p.engine.Instance().Address, Handle: p.handle}
	} else {
		defer place.prefillDone()
	}
	r := m.g.send(ctx, m.call, u, send, engineMaxIdle)
	r.took = time.Since(began)
	if r.err != nil {
		m.g.observe(ctx, m.call, u, r)
		m.free(p)
		if !r.mayHaveRun {
			m.g.releaseHold(hold, m.call.ID)
		}
		return !r.mayHaveRun, errors.Wrap(r.err, "decode")
	}
	if r.verdict != Answered {
		m.g.releaseHold(hold, m.call.ID)
		m.free(p)
		// Either engine may be the reason: the one does not decode now, or the
		// prefill result of the other is gone.
		u.RecordRefusal(time.Now(), false)
		if p != nil {
			p.engine.RecordRefusal(time.Now(), false)
		}
		return true, errors.Errorf("decode refused with status %d", r.resp.Status)
	}
	defer func() { _ = r.resp.Body.Close() }()
	if m.relay == nil {
		m.res.status = r.resp.Status
		m.relay = newStreamRelay(m.w)
		m.g.writeHead(m.w, r.resp)
		m.w.WriteHeader(r.resp.Status)
	} else if r.resp.Status != http.StatusOK {
		return false, errors.Errorf("resumed stream refused with status %d", r.resp.Status)
	}
	m.g.scheduler.load.started(u, place.run, time.Now())
	if p == nil {
		m.relay.onFirst = place.prefillDone
	}
	err = m.relay.copy(r.resp.Body)
	m.g.noteStreamEnd(ctx, m.call, to, err)
	m.res.first, m.res.steps.events = m.relay.first, m.relay.events
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		if ctx.Err() == nil && !errors.Is(err, errClientGone) {
			u.RecordError()
		}
		return false, err
	}
	u.RecordSuccess(m.relay.firstDelay(began))
	if p != nil {
		p.engine.RecordSuccess(m.res.steps.prefill)
	}
	if per := m.call.Service.Engine.TokensPerEvent; per > 0 && r.resp.Status == http.StatusOK {
		m.g.scheduler.load.finished(u, m.call.Route.Name, float64(m.relay.events*per),
			float64(m.call.Model.MaxOutputTokens), time.Since(m.relay.first))
	}
	return false, nil
}

// streamRelay passes the events of a stream on, each as a whole.
type streamRelay struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	pending []byte
	first   time.Time
	events  int
	// lastID is the id of the last event that was passed on.
	lastID string
	// onFirst is called with the first event.
	onFirst func()
}

func newStreamRelay(w http.ResponseWriter) *streamRelay {
	return &streamRelay{w: w, flush: http.NewResponseController(w)}
}

func (s *streamRelay) firstDelay(began time.Time) time.Duration {
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(began)
}

var idField = []byte("id:")

// noteID remembers the last event id in the events.
func (s *streamRelay) noteID(events []byte) {
	i := bytes.LastIndex(events, idField)
	if i < 0 || (i > 0 && events[i-1] != '\n') {
		return
	}
	line, _, _ := bytes.Cut(events[i+len(idField):], []byte("\n"))
	s.lastID = string(bytes.TrimSpace(line))
}

// dropPending forgets an event that has arrived in part only.
func (s *streamRelay) dropPending() { s.pending = s.pending[:0] }

// relayBytes is the read buffer of a relayed stream.
const relayBytes = 4 << 10

var eventEnd = []byte("\n\n")

// copy relays until the stream ends. A nil error means a complete answer.
func (s *streamRelay) copy(body io.Reader) error {
	var buf [relayBytes]byte
	for {
		n, err := body.Read(buf[:])
		s.pending = append(s.pending, buf[:n]...)
		if writeErr := s.pass(err == io.EOF); writeErr != nil {
			return errors.Wrap(errClientGone, writeErr.Error())
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
	}
}

// pass writes the whole events that have arrived, and at the end of a complete
// answer whatever is left.
func (s *streamRelay) pass(all bool) error {
	end := len(s.pending)
	if !all {
		end = bytes.LastIndex(s.pending, eventEnd)
		if end < 0 {
			return nil
		}
		end += len(eventEnd)
	}
	if end == 0 {
		return nil
	}
	if s.first.IsZero() {
		s.first = time.Now()
		if s.onFirst != nil {
			s.onFirst()
		}
	}
	s.events += bytes.Count(s.pending[:end], eventEnd)
	s.noteID(s.pending[:end])
	if _, err := s.w.Write(s.pending[:end]); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.flush.Flush()
}
