package engine

// HeldMemory is the memory that one request holds.
type HeldMemory struct {
	RequestID string
	// Phase is the phase of the request, as GET /v1/requests reports it.
	Phase string
	// Prompt is empty until a prefill or decode call has supplied it.
	Prompt string
	Tokens int
}

// HeldMemory returns the requests that hold memory now, exact and without lag.
func (e *Engine) HeldMemory() []HeldMemory {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []HeldMemory
	for _, r := range e.boot.requests {
		if r.chunks > 0 {
			list = append(list, HeldMemory{RequestID: r.id, Phase: string(r.phase), Prompt: r.prompt, Tokens: r.chunks * e.params.ChunkTokens})
		}
	}
	return list
}
