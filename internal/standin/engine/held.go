package engine

// HeldMemory is the memory that one request holds.
type HeldMemory struct {
	RequestID string
	// Phase is the phase as GET /v1/requests shows it.
	Phase string
	// Prompt is empty until the engine was given one.
	Prompt string
	Tokens int
}

// HeldMemory returns what holds memory at this moment, exact and without lag.
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
