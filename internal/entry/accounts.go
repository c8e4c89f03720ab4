package entry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callerCounters counts the requests, tokens and waiting times of one caller at
// this entry.
type callerCounters struct {
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

// CallerStats reports the counters of one caller at one entry since the entry
// started. Fields that end in Ms are milliseconds.
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

// Add merges the statistics of the same caller at another entry. Means are
// weighted by the number of offered requests.
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

// callerCounterTable holds the counters of every caller that has used this
// entry. With the target of 18,000 callers it takes a few megabytes.
type callerCounterTable struct {
	byCaller sync.Map // string → *callerCounters
}

// get returns the counters of a caller and creates them on first use.
func (t *callerCounterTable) get(caller string) *callerCounters {
	if counters, ok := t.byCaller.Load(caller); ok {
		return counters.(*callerCounters)
	}
	counters, _ := t.byCaller.LoadOrStore(caller, new(callerCounters))
	return counters.(*callerCounters)
}

// observeGrant records the time from acceptance to a grant.
func (c *callerCounters) observeGrant(wait time.Duration) {
	c.grantWaitNanos.Add(int64(wait))
	c.grants.Add(1)
}

// observeFirstToken records the time from acceptance to the first token. late means
// that the first token came after the request's Deadline.
func (c *callerCounters) observeFirstToken(took time.Duration, late bool) {
	c.firstTokenNanos.Add(int64(took))
	c.firstTokens.Add(1)
	if late {
		c.firstTokenLate.Add(1)
	}
}

// meanMs returns the mean of count durations in milliseconds, from their sum in
// nanoseconds.
func meanMs(nanos, count int64) float64 {
	if count == 0 {
		return 0
	}
	return float64(nanos) / float64(count) / float64(time.Millisecond)
}

// reports returns the statistics of all callers, sorted by caller name. The
// function share returns the configured share of a caller.
func (t *callerCounterTable) reports(share func(caller string) float64) []CallerStats {
	var list []CallerStats
	t.byCaller.Range(func(key, value any) bool {
		caller, counters := key.(string), value.(*callerCounters)
		list = append(list, CallerStats{
			Caller:          caller,
			Share:           share(caller),
			Offered:         counters.offered.Load(),
			Finished:        counters.finished.Load(),
			Refused:         counters.refused.Load(),
			Failed:          counters.failed.Load(),
			Cancelled:       counters.cancelled.Load(),
			PromptTokens:    counters.promptTokens.Load(),
			OutputTokens:    counters.outputTokens.Load(),
			MeanGrantWaitMs: meanMs(counters.grantWaitNanos.Load(), counters.grants.Load()),
			MeanTTFTMs:      meanMs(counters.firstTokenNanos.Load(), counters.firstTokens.Load()),
			FirstTokenLate:  counters.firstTokenLate.Load(),
		})
		return true
	})
	slices.SortFunc(list, func(counters, b CallerStats) int { return strings.Compare(counters.Caller, b.Caller) })
	return list
}
