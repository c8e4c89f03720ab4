package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// errOutputGap reports that a sidecar skipped output; the attempt is given up so that
// the caller never gets an answer with a hole.
var errOutputGap = errors.New("output has a gap")

// Request is the aggregate of one model request. It owns the numbers of its
// attempts and what the caller was given: output reaches the caller only
// through Accept, which takes tokens of the current attempt alone, in order,
// each index once. It is used by one goroutine.
type Request struct {
	ID           string
	Caller       *config.Caller
	Model        *config.Model
	Prompt       string
	PromptTokens int
	MaxTokens    int
	Stop         []string
	Sampling     string
	Fingerprint  quarantine.Fingerprint
	Accepted     time.Time
	Deadline     time.Time // the first-token target
	Suspect      bool

	attempt       uint32
	nextIndex     uint64
	deliveredText strings.Builder
	hashes        []uint64
}

// NextAttempt starts a new attempt; output of earlier ones is dropped from now on.
func (r *Request) NextAttempt() uint32 {
	r.attempt++
	return r.attempt
}

// Attempt returns the number of the current attempt.
func (r *Request) Attempt() uint32 { return r.attempt }

// Delivered returns the number of output tokens that the caller was given.
func (r *Request) Delivered() uint64 { return r.nextIndex }

// Accept returns the tokens of t that the caller does not have yet.
func (r *Request) Accept(t *wire.Tokens) ([]string, error) {
	if t.Attempt != r.attempt {
		return nil, nil
	}
	if t.Index > r.nextIndex {
		return nil, errors.Wrapf(errOutputGap, "attempt %d: want index %d, got %d", t.Attempt, r.nextIndex, t.Index)
	}
	known := r.nextIndex - t.Index
	if known >= uint64(len(t.Text)) {
		return nil, nil
	}
	fresh := t.Text[known:]
	for _, text := range fresh {
		r.deliveredText.WriteString(text)
	}
	r.nextIndex += uint64(len(fresh))
	return fresh, nil
}

// Complete reports whether a Done frame ends the answer: it must belong to the
// current attempt and count exactly the tokens that were delivered.
func (r *Request) Complete(d *wire.Done) bool {
	return d.Attempt == r.attempt && d.TotalTokens == r.nextIndex
}

// PrefillText returns what has to be prefilled for the current attempt: the
// prompt and what was already delivered, whose KV cache is lost with the attempt.
func (r *Request) PrefillText() string {
	if r.nextIndex == 0 {
		return r.Prompt
	}
	return r.Prompt + " " + r.deliveredText.String()
}

// PrefillTokens estimates the tokens of PrefillText.
func (r *Request) PrefillTokens() int { return r.PromptTokens + int(r.nextIndex) }

// TTFTBudget returns the time left until the first-token target passes, or 0.
func (r *Request) TTFTBudget(now time.Time) time.Duration {
	return max(0, r.Deadline.Sub(now))
}

// requestFingerprint identifies a request by what the engines run, so that the same
// request sent again, through any entry, has the same fingerprint.
func requestFingerprint(model, prompt string, maxTokens int) quarantine.Fingerprint {
	h := sha256.New()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write([]byte(prompt))
	_ = binary.Write(h, binary.LittleEndian, int64(maxTokens))
	return quarantine.Fingerprint(h.Sum(nil)[:len(quarantine.Fingerprint{})])
}

// estimateTokens estimates the tokens of a text by the rule of the engine API.
func estimateTokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}
