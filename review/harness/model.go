package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

const (
	// promptTokensPerMs is the speed of a prefill server, as in the site file.
	promptTokensPerMs = 55.6
	// handleTime is how long a result of a prefill is kept.
	handleTime = 500 * time.Millisecond
	// eventPause and events are the pace and the length of a stream.
	eventPause = 40 * time.Millisecond
	events     = 60
)

// Arrival is a request that reached a decode server.
type Arrival struct {
	Request, Server string
	At              time.Time
	// Leaving is when the store accepted that the server leaves; zero if it does not.
	Leaving time.Time
}

// ModelPool is a pool of model servers.
type ModelPool struct {
	c        *Case
	mu       sync.Mutex
	next     int
	handles  map[string]time.Time
	arrivals []Arrival
	Servers  []*ModelServer
	// OnRun, if set, is called when a decode server is about to run a request.
	OnRun func(m *ModelServer, id string)
}

// NewModelPool returns an empty pool.
func NewModelPool(c *Case) *ModelPool { return &ModelPool{c: c, handles: make(map[string]time.Time)} }

// Arrivals returns the requests that reached decode servers so far.
func (p *ModelPool) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// ModelServer is a model server in one phase.
type ModelServer struct {
	ID, Phase, Address string

	pool   *ModelPool
	server *http.Server
	prompt sync.Mutex

	mu sync.Mutex
	// slowdown is how many times longer a prompt takes.
	slowdown float64
	// holds are the reservations that no request has used, by the time of their end.
	holds   map[string]time.Time
	nextID  int
	leaving time.Time
	ended   bool
}

// Add starts a server and lists it.
func (p *ModelPool) Add(phase string) (*ModelServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.next++
	m := &ModelServer{ID: fmt.Sprintf("i-m%d", p.next), Phase: phase, Address: l.Addr().String(), pool: p, slowdown: 1, holds: make(map[string]time.Time)}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	p.Servers = append(p.Servers, m)
	p.mu.Unlock()
	p.c.PutServer(m.ID, emulator.ModelService, m.Address, "ready", phase, 1, 32)
	return m, nil
}

// SetSlowdown makes prompts take that many times longer.
func (m *ModelServer) SetSlowdown(x float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowdown = x
	m.pool.c.Logf("server %s (%s) works %.1f times as long", m.ID, m.Phase, x)
}

// LatestHold returns the end of the latest reservation that waits for its request, or the
// zero time if there is none.
func (m *ModelServer) LatestHold() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var latest time.Time
	for _, end := range m.holds {
		if end.After(latest) {
			latest = end
		}
	}
	return latest
}

// Leave reports that the server is draining, and ends it after the given time.
func (m *ModelServer) Leave(after time.Duration) {
	m.pool.c.PutServer(m.ID, emulator.ModelService, m.Address, "draining", m.Phase, 2, 32)
	m.mu.Lock()
	m.leaving = time.Now()
	m.mu.Unlock()
	time.AfterFunc(after, func() {
		m.mu.Lock()
		m.ended = true
		m.mu.Unlock()
		m.pool.c.Logf("server %s ends", m.ID)
		_ = m.server.Close()
		m.pool.c.Store.Delete(Names.ServersPrefix + m.ID)
	})
}

// Crash ends the server's process: its connections are closed and new ones refused. The entry
// goes after listedTime; a new incarnation is listed after downTime.
func (m *ModelServer) Crash(listedTime, downTime time.Duration) {
	m.mu.Lock()
	ended := m.ended
	m.ended = true
	m.mu.Unlock()
	if ended {
		return
	}
	m.pool.c.Logf("server %s crashes", m.ID)
	go func() { _ = m.server.Close() }()
	time.AfterFunc(listedTime, func() {
		m.pool.c.Store.Delete(Names.ServersPrefix + m.ID)
		m.pool.c.Logf("store: server %s is removed, since its heartbeats are missing", m.ID)
	})
	time.AfterFunc(downTime, func() {
		if _, err := m.pool.Add(m.Phase); err != nil {
			m.pool.c.Logf("server %s is not back: %v", m.ID, err)
		}
	})
}

// Ended reports whether the server's process has ended.
func (m *ModelServer) Ended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// ServeHTTP implements http.Handler.
func (m *ModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	if id != "" {
		w.Header().Set("Fescueslip-Request-Id", id)
	}
	if want := r.Header.Get(Names.ExpectInstance); want != "" && want != m.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/report":
		WriteJSON(w, http.StatusOK, map[string]any{"phase": m.Phase, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 100615, Names.HandleCountField: 0})
	case r.URL.Path == "/order":
		// Every order is refused: another one is in progress.
		w.WriteHeader(http.StatusConflict)
	case r.URL.Path == Names.ReservePath:
		m.reserve(w, body)
	case strings.HasPrefix(r.URL.Path, Names.ReleasePath):
		m.useHold(strings.TrimPrefix(r.URL.Path, Names.ReleasePath))
	case strings.HasPrefix(r.URL.Path, Names.HandlePath):
		m.pool.takeHandle(m.Address + "/" + strings.TrimPrefix(r.URL.Path, Names.HandlePath))
	case r.Header.Get(Names.Stage) == "prefill":
		m.prefill(w, r, id)
	default:
		m.decode(w, r, id)
	}
}

func (m *ModelServer) reserve(w http.ResponseWriter, body []byte) {
	var call struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.Unmarshal(body, &call)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	hold := fmt.Sprintf("h%d", m.nextID)
	m.holds[hold] = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
	m.pool.c.Logf("server %s grants %s for %d ms", m.ID, hold, call.TTL)
	WriteJSON(w, http.StatusOK, map[string]any{"hold": hold})
}

func (m *ModelServer) useHold(hold string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.holds, hold)
}

func (p *ModelPool) takeHandle(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	end, ok := p.handles[handle]
	delete(p.handles, handle)
	return ok && time.Now().Before(end)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(Names.NotExecuted, "1")
	w.WriteHeader(status)
}

// prefill reads the prompt; one is read at a time.
func (m *ModelServer) prefill(w http.ResponseWriter, r *http.Request, id string) {
	if m.Phase != "prefill" {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	prompt, _, _ := strings.Cut(r.Header.Get(Names.TokenUsage), ",")
	tokens, _ := strconv.Atoi(prompt)
	m.pool.c.Logf("server %s: prompt of %s arrives", m.ID, id)
	m.prompt.Lock()
	defer m.prompt.Unlock()
	m.mu.Lock()
	slowdown := m.slowdown
	m.nextID++
	handle := fmt.Sprintf("k%d", m.nextID)
	m.mu.Unlock()
	select {
	case <-time.After(time.Duration(float64(tokens) / promptTokensPerMs * slowdown * float64(time.Millisecond))):
	case <-r.Context().Done():
		return
	}
	m.pool.mu.Lock()
	m.pool.handles[m.Address+"/"+handle] = time.Now().Add(handleTime)
	m.pool.mu.Unlock()
	m.pool.c.Logf("server %s: prompt of %s is read", m.ID, id)
	WriteJSON(w, http.StatusOK, map[string]any{Names.HandleField: handle, "tokens": tokens, "version": 1})
}

// decode runs the request and streams its answer.
func (m *ModelServer) decode(w http.ResponseWriter, r *http.Request, id string) {
	m.useHold(r.Header.Get(Names.KVHold))
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	m.pool.mu.Lock()
	m.pool.arrivals = append(m.pool.arrivals, Arrival{Request: id, Server: m.ID, At: time.Now(), Leaving: leaving})
	m.pool.mu.Unlock()
	source := r.Header.Get(Names.KVSource)
	if m.Phase != "decode" {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if source != "" && !m.pool.takeHandle(source) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	m.pool.c.Logf("server %s runs %s", m.ID, id)
	if m.pool.OnRun != nil {
		m.pool.OnRun(m, id)
		if m.Ended() {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(Names.Signature, m.ID+"."+id)
	controller := http.NewResponseController(w)
	for n := range events {
		if n > 0 {
			select {
			case <-time.After(eventPause):
			case <-r.Context().Done():
				m.pool.c.Logf("server %s: run of %s is cut off after %d of %d events", m.ID, id, n, events)
				return
			}
		}
		if _, err := io.WriteString(w, emulator.EventText(id, n+1)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
	m.pool.c.Logf("server %s: run of %s ends", m.ID, id)
}

// StreamResult is what a client sees of a stream.
type StreamResult struct {
	// Status is 0 if there was no answer.
	Status, Events int
	// Ended is set if the answer ended as a complete one does, and Complete if all its
	// events are there, too.
	Ended, Complete bool
}

// SendStream sends a model request to a route and logs what the client sees.
func (c *Case) SendStream(g *Gateway, prefix, id string, promptTokens int) StreamResult {
	return c.SendPrompt(g, prefix, id, promptTokens, "")
}

// SendPrompt is SendStream for a prompt of the given parts, as the header lists them.
func (c *Case) SendPrompt(g *Gateway, prefix, id string, promptTokens int, parts string) StreamResult {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	gap := time.AfterFunc(maxGap, leave)
	defer gap.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Client+prefix+id, strings.NewReader("prompt "+id))
	if err != nil {
		c.Logf("client: %s not sent: %v", id, err)
		return StreamResult{}
	}
	req.Host = emulator.Host
	req.Header.Set("Fescueslip-Request-Id", id)
	req.Header.Set(Names.Deadline, "14000")
	req.Header.Set("Fescueslip-Model", "m")
	req.Header.Set(Names.TokenUsage, fmt.Sprintf("%d,%d", promptTokens, 59*events))
	if parts != "" {
		req.Header.Set(Names.PromptParts, parts)
	}
	req.Header.Set("Fescueslip-Length-Hint", strconv.Itoa(59*events))
	c.Logf("client: sends %s to %s", id, g.Name)
	// A new connection each: a retry uses one, too.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.Logf("client: %s failed: %v", id, err)
		return StreamResult{}
	}
	body, err := readEvents(resp.Body, gap)
	_ = resp.Body.Close()
	result := StreamResult{Status: resp.StatusCode, Events: strings.Count(string(body), "\n\n"), Ended: err == nil}
	result.Complete = result.Ended && resp.StatusCode == http.StatusOK && string(body) == emulator.StreamBody(id, events)
	c.Logf("client: %s gets %d, %d events, ended in order %t, complete %t, error %v", id, result.Status, result.Events, result.Ended, result.Complete, err)
	return result
}

// maxGap is how long clients wait for the next event, the first one too: the longest of two
// seconds, four times the objective (900 ms) and eight times the pause (300 ms).
const maxGap = 3600 * time.Millisecond

// readEvents reads a stream; whatever arrives restarts the timer gap.
func readEvents(r io.Reader, gap *time.Timer) ([]byte, error) {
	var body []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := r.Read(buf)
		body = append(body, buf[:n]...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		gap.Reset(maxGap)
	}
}
