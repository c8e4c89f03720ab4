package entry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// account counts what one caller asked for and got through this entry.
type account struct {
	offered         atomic.Int64
	finished        atomic.Int64
	refused         atomic.Int64
	failed          atomic.Int64
	cancelled       atomic.Int64
	promptTokens    atomic.Int64
	outputTokens    atomic.Int64
	grantWaitNanos  atomic.Int64
	grants          atomic.Int64
	firstTokenNanos atomic.Int64
	firstTokens     atomic.Int64
	firstTokenLate  atomic.Int64
}

// CallerStats is what a caller asked for and got through one entry since the
// entry started. Times are milliseconds.
type CallerStats struct {
	Caller          string  `json:"caller"`
	Share           float64 `json:"share"`
	Offered         int64   `json:"offered"`
	Finished        int64   `json:"finished"`
	Refused         int64   `json:"refused"`
	Failed          int64   `json:"failed"`
	Cancelled       int64   `json:"cancelled"`
	PromptTokens    int64   `json:"prompt_tokens"`
	OutputTokens    int64   `json:"output_tokens"`
	MeanGrantWaitMs float64 `json:"mean_grant_wait_ms"`
	MeanTTFTMs      float64 `json:"mean_ttft_ms"`
	FirstTokenLate  int64   `json:"first_token_late"`
}

// Add adds the counts of the same caller at another entry. Means are weighted
// by what was offered.
func (r *CallerStats) Add(other CallerStats) {
	total := r.Offered + other.Offered
	if total > 0 {
		weight := float64(other.Offered) / float64(total)
		r.MeanGrantWaitMs += (other.MeanGrantWaitMs - r.MeanGrantWaitMs) * weight
		r.MeanTTFTMs += (other.MeanTTFTMs - r.MeanTTFTMs) * weight
	}
	r.Offered = total
	r.Finished += other.Finished
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Cancelled += other.Cancelled
	r.PromptTokens += other.PromptTokens
	r.OutputTokens += other.OutputTokens
	r.FirstTokenLate += other.FirstTokenLate
	r.Share = max(r.Share, other.Share)
}

// accountTable holds the accounts of the callers that used this entry. At the
// target of 18,000 callers it takes a few megabytes.
type accountTable struct {
	byCaller sync.Map // string → *account
}

func (t *accountTable) of(caller string) *account {
	if a, ok := t.byCaller.Load(caller); ok {
		return a.(*account)
	}
	a, _ := t.byCaller.LoadOrStore(caller, new(account))
	return a.(*account)
}

func (a *account) granted(wait time.Duration) {
	a.grantWaitNanos.Add(int64(wait))
	a.grants.Add(1)
}

func (a *account) firstToken(took time.Duration, late bool) {
	a.firstTokenNanos.Add(int64(took))
	a.firstTokens.Add(1)
	if late {
		a.firstTokenLate.Add(1)
	}
}

func meanMs(nanos, count int64) float64 {
	if count == 0 {
		return 0
	}
	return float64(nanos) / float64(count) / float64(time.Millisecond)
}

// reports lists the accounts by caller name; share gives each caller's share.
func (t *accountTable) reports(share func(caller string) float64) []CallerStats {
	var list []CallerStats
	t.byCaller.Range(func(key, value any) bool {
		caller, a := key.(string), value.(*account)
		list = append(list, CallerStats{
			Caller:          caller,
			Share:           share(caller),
			Offered:         a.offered.Load(),
			Finished:        a.finished.Load(),
			Refused:         a.refused.Load(),
			Failed:          a.failed.Load(),
			Cancelled:       a.cancelled.Load(),
			PromptTokens:    a.promptTokens.Load(),
			OutputTokens:    a.outputTokens.Load(),
			MeanGrantWaitMs: meanMs(a.grantWaitNanos.Load(), a.grants.Load()),
			MeanTTFTMs:      meanMs(a.firstTokenNanos.Load(), a.firstTokens.Load()),
			FirstTokenLate:  a.firstTokenLate.Load(),
		})
		return true
	})
	slices.SortFunc(list, func(a, b CallerStats) int { return strings.Compare(a.Caller, b.Caller) })
	return list
}
