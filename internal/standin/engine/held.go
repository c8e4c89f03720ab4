package engine

// Held is the memory that one request holds.
type Held struct {
	RequestID string
	// Phase is the phase as GET /v1/requests shows it.
	Phase string
	// Prompt is empty until the engine was given one.
	Prompt string
	Tokens int
}

// Held returns what holds memory at this moment, exact and without lag.
func (e *Engine) Held() []Held {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Held
	for _, r := range e.boot.requests {
		if r.chunks > 0 {
			list = append(list, Held{RequestID: r.id, Phase: string(r.phase), Prompt: r.prompt, Tokens: r.chunks * e.params.ChunkTokens})
		}
	}
	return list
}
