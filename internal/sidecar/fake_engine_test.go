package sidecar

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
)

// fakeEngine is an engine in virtual time. It accepts work without a limit and
// records the peaks of running requests and of memory, which tests compare with the
// limits of a real engine.
type fakeEngine struct {
	mu           sync.Mutex
	info         engine.Info
	bootCtx      context.Context
	killBoot     context.CancelFunc
	down         bool
	requests     map[string]*fakeRequest
	peak         struct{ running, chunks int }
	startedIDs   []string // request ids in the order in which work began
	currentOrder engine.Order

	prefillTime, importTime, step time.Duration
	outputTokens                  int
	tokenPadding                  string        // appended to each token
	stallImports                  int           // number of next imports that stall
	lostCancelResponses           int           // number of next cancels without a response
	losePrefillResponses          bool          // prefills finish without a response
	holdTime                      time.Duration // actual time; the engine announces 800 ms
	crashPrompt                   string
	lateOrder                     *engine.Order // applied after the next order
}

type fakeRequest struct {
	phase  engine.Phase
	tokens int
	chunks int
	handle string
	ctx    context.Context
	cancel context.CancelFunc
}

func newFakeEngine(role engine.Role) *fakeEngine {
	f := &fakeEngine{
		info: engine.Info{
			BootID: "boot-1", Role: role, Slots: 4, CapacityTokens: 800, ChunkTokens: 100,
			MaxPromptTokens: 600, PrefillTokensPerS: 1000, LinkBytesPerSecond: 1e6,
		},
		requests:     map[string]*fakeRequest{},
		prefillTime:  100 * time.Millisecond,
		importTime:   20 * time.Millisecond,
		step:         10 * time.Millisecond,
		outputTokens: 20,
		holdTime:     800 * time.Millisecond,
	}
	f.bootCtx, f.killBoot = context.WithCancel(context.Background())
	return f
}

// crash ends all work and starts the engine again with a new boot id.
func (f *fakeEngine) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killBoot()
	f.requests = map[string]*fakeRequest{}
	f.bootCtx, f.killBoot = context.WithCancel(context.Background())
	f.info.BootID += "+"
}

func (f *fakeEngine) held() (tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		tokens += r.chunks * f.info.ChunkTokens
	}
	return tokens
}

func (f *fakeEngine) begin(id string, phase engine.Phase, tokens int) (*fakeRequest, context.Context, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, nil, engine.ErrUnreachable
	}
	r := &fakeRequest{phase: phase, tokens: tokens}
	r.ctx, r.cancel = context.WithCancel(f.bootCtx)
	f.requests[id] = r
	f.startedIDs = append(f.startedIDs, id)
	f.resize(r, tokens)
	return r, f.bootCtx, nil
}

// resize allocates whole chunks and records the peaks.
func (f *fakeEngine) resize(r *fakeRequest, tokens int) {
	r.chunks = max(r.chunks, (tokens+f.info.ChunkTokens-1)/f.info.ChunkTokens)
	running, chunks := 0, 0
	for _, x := range f.requests {
		running++
		chunks += x.chunks
	}
	f.peak.running = max(f.peak.running, running)
	f.peak.chunks = max(f.peak.chunks, chunks)
}

// wait simulates work on r. It returns the reason if the work ended early.
func (f *fakeEngine) wait(ctx, bootCtx context.Context, r *fakeRequest, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-r.ctx.Done():
		if bootCtx.Err() != nil {
			return engine.ErrUnreachable
		}
		return &engine.APIError{Status: 499, Code: engine.CodeCancelled}
	}
}

func (f *fakeEngine) checkUp() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.ErrUnreachable
	}
	return nil
}

func (f *fakeEngine) Health(context.Context) error { return f.checkUp() }

func (f *fakeEngine) Info(context.Context) (engine.Info, error) {
	if err := f.checkUp(); err != nil {
		return engine.Info{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.info, nil
}

func (f *fakeEngine) Prefill(ctx context.Context, q engine.PrefillRequest) (engine.PrefillResult, error) {
	tokens := len(strings.Fields(q.Prompt))
	r, bootCtx, err := f.begin(q.RequestID, engine.PhasePrefill, tokens)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	if q.Prompt == f.crashPrompt && q.Prompt != "" {
		f.crash()
	}
	if err := f.wait(ctx, bootCtx, r, f.prefillTime); err != nil {
		return engine.PrefillResult{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.phase, r.handle = engine.PhaseHeld, "h-"+q.RequestID
	if f.losePrefillResponses {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return engine.PrefillResult{}, context.Cause(ctx)
	}
	time.AfterFunc(f.holdTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, q.RequestID)
	})
	return engine.PrefillResult{Handle: r.handle, PromptTokens: tokens, KVBytes: int64(tokens) * 100, HoldMS: 800}, nil
}

func (f *fakeEngine) Release(_ context.Context, handle string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, r := range f.requests {
		if r.handle == handle {
			delete(f.requests, id)
		}
	}
	return nil
}

func (f *fakeEngine) Import(ctx context.Context, q engine.ImportRequest) (engine.ImportResult, error) {
	r, bootCtx, err := f.begin(q.RequestID, engine.PhaseImporting, q.ReserveTokens)
	if err != nil {
		return engine.ImportResult{}, err
	}
	if q.Handle == "evicted" {
		return engine.ImportResult{}, &engine.APIError{Status: 404, Code: engine.CodeEvicted}
	}
	importTime := f.importTime
	f.mu.Lock()
	if f.stallImports > 0 {
		f.stallImports--
		importTime = time.Hour
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeoutCause(ctx, q.Timeout, engine.ErrTimeout)
	defer cancel()
	if err := f.wait(ctx, bootCtx, r, importTime); err != nil {
		return engine.ImportResult{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.phase = engine.PhaseImported
	return engine.ImportResult{HeldTokens: r.chunks * f.info.ChunkTokens}, nil
}

func (f *fakeEngine) Decode(ctx context.Context, q engine.DecodeRequest) (engine.TokenStream, error) {
	f.mu.Lock()
	r := f.requests[q.RequestID]
	f.mu.Unlock()
	if r == nil {
		return nil, &engine.APIError{Status: 404, Code: engine.CodeNotImported}
	}
	if q.Prompt == f.crashPrompt && q.Prompt != "" {
		f.crash()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.phase = engine.PhaseDecoding
	return &fakeStream{f: f, r: r, ctx: ctx, q: q, bootCtx: f.bootCtx, next: q.ResumeTokens, prompt: len(strings.Fields(q.Prompt))}, nil
}

type fakeStream struct {
	f       *fakeEngine
	r       *fakeRequest
	q       engine.DecodeRequest
	ctx     context.Context
	bootCtx context.Context
	next    int
	prompt  int
}

func (s *fakeStream) Next() (engine.Token, error) {
	if err := s.f.wait(s.ctx, s.bootCtx, s.r, s.f.step); err != nil {
		return engine.Token{}, err
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	t := engine.Token{Index: s.next, Text: fmt.Sprint("t", s.next, s.f.tokenPadding)}
	s.next++
	s.f.resize(s.r, s.prompt+s.next)
	if s.next >= s.f.outputTokens {
		t.FinishReason = "stop"
		delete(s.f.requests, s.q.RequestID)
	}
	return t, nil
}

func (s *fakeStream) Close() error { return nil }

func (f *fakeEngine) Cancel(ctx context.Context, id string) (engine.CancelResult, error) {
	f.mu.Lock()
	if f.lostCancelResponses > 0 {
		f.lostCancelResponses--
		f.mu.Unlock()
		<-ctx.Done()
		return engine.CancelResult{}, engine.ErrTimeout
	}
	defer f.mu.Unlock()
	if f.down {
		return engine.CancelResult{}, engine.ErrUnreachable
	}
	r, ok := f.requests[id]
	if !ok {
		return engine.CancelResult{}, nil
	}
	delete(f.requests, id)
	r.cancel()
	return engine.CancelResult{FreedTokens: r.chunks * f.info.ChunkTokens}, nil
}

func (f *fakeEngine) Requests(context.Context) ([]engine.RequestInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, engine.ErrUnreachable
	}
	var out []engine.RequestInfo
	for id, r := range f.requests {
		out = append(out, engine.RequestInfo{RequestID: id, Phase: r.phase, HeldTokens: r.chunks * f.info.ChunkTokens})
	}
	return out, nil
}

func (f *fakeEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, f.checkUp() }

func (f *fakeEngine) CacheEvents(context.Context, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, f.checkUp()
}

func (f *fakeEngine) IssueOrder(_ context.Context, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(o)
	if f.lateOrder != nil {
		f.apply(*f.lateOrder)
		f.lateOrder = nil
	}
	return nil
}

func (f *fakeEngine) apply(o engine.Order) {
	f.currentOrder = o
	if o.Kind == engine.OrderSetRole {
		f.info.Role = o.Role
	}
}

func (f *fakeEngine) CurrentOrder(context.Context) (engine.Order, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentOrder, f.currentOrder.ID != "", nil
}

var (
	_ engine.Client = (*fakeEngine)(nil)
	_ io.Closer     = (*fakeStream)(nil)
)
