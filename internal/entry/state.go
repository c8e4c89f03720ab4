package entry

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// State is the entry's part of the state dump.
type State struct {
	Leaving    bool  `json:"leaving"`
	InProgress int64 `json:"in_progress"`
	// HintCount and HintBytes are of the load hints received since the start.
	HintCount int64         `json:"hint_count"`
	HintBytes int64         `json:"hint_bytes"`
	Hints     []HintState   `json:"hints"`
	Accounts  []CallerStats `json:"accounts"`
}

// HintState is the newest load hint of one upstream.
type HintState struct {
	AgeMs int64      `json:"age_ms"`
	Load  *wire.Load `json:"load"`
}

// State returns the dump of the entry.
func (e *Entry) State() State {
	s := State{Leaving: e.leaving.Load(), InProgress: e.streams.total.Load()}
	s.HintCount, s.HintBytes = e.hints.count.Load(), e.hints.bytes.Load()
	for _, h := range e.hints.all() {
		s.Hints = append(s.Hints, HintState{AgeMs: time.Since(h.at).Milliseconds(), Load: h.load})
	}
	s.Accounts = e.accounts.reports(e.shareOf)
	return s
}

func (e *Entry) shareOf(caller string) float64 {
	snap := e.config.Snapshot()
	if snap == nil {
		return 0
	}
	if c, ok := snap.Callers[caller]; ok {
		return c.Share
	}
	return 0
}
