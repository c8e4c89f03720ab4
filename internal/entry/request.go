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

// errOutputGap reports that a sidecar skipped output tokens. The attempt then
// fails, so that the caller does not receive output with missing tokens.
var errOutputGap = errors.New("sidecar skipped output tokens")

// Request is one model request. It numbers the attempts and tracks the output
// that was delivered to the caller. All output passes through Accept, which
// returns only tokens of the current attempt, in order and each index once. A
// Request must be used by one goroutine only.
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
	Deadline     time.Time // when the first token is due
	Suspect      bool

	attempt       uint32
	nextIndex     uint64
	deliveredText strings.Builder
	hashes        []uint64
}

// NextAttempt starts a new attempt. Accept ignores output of earlier attempts
// from then on.
func (r *Request) NextAttempt() uint32 {
	r.attempt++
	return r.attempt
}

// Attempt returns the number of the current attempt.
func (r *Request) Attempt() uint32 { return r.attempt }

// Delivered returns the number of output tokens delivered to the caller.
func (r *Request) Delivered() uint64 { return r.nextIndex }

// Accept returns the tokens of t that have not been delivered yet. It returns
// errOutputGap if tokens before them are missing.
func (r *Request) Accept(t *wire.Tokens) ([]string, error) {
	if t.Attempt != r.attempt {
		return nil, nil
	}
	if t.Index > r.nextIndex {
		return nil, errors.Wrapf(errOutputGap, "attempt %d: expected token index %d, got %d", t.Attempt, r.nextIndex, t.Index)
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

// Complete reports whether a Done frame completes the output: it must belong to
// the current attempt, and its token count must equal the number of delivered
// tokens.
func (r *Request) Complete(d *wire.Done) bool {
	return d.Attempt == r.attempt && d.TotalTokens == r.nextIndex
}

// PrefillText returns the text to prefill for the current attempt: the prompt
// followed by the output delivered so far, whose KV cache was lost with the
// previous attempt.
func (r *Request) PrefillText() string {
	if r.nextIndex == 0 {
		return r.Prompt
	}
	return r.Prompt + " " + r.deliveredText.String()
}

// PrefillTokens returns the estimated number of tokens in PrefillText.
func (r *Request) PrefillTokens() int { return r.PromptTokens + int(r.nextIndex) }

// TTFTBudget returns the time left until the first token is due, or 0 if it is
// overdue.
func (r *Request) TTFTBudget(now time.Time) time.Duration {
	return max(0, r.Deadline.Sub(now))
}

// requestFingerprint hashes the model, the prompt and the token limit, so that
// the same request has the same fingerprint when it is sent again, through any
// entry.
func requestFingerprint(model, prompt string, maxTokens int) quarantine.Fingerprint {
	h := sha256.New()
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write([]byte(prompt))
	_ = binary.Write(h, binary.LittleEndian, int64(maxTokens))
	return quarantine.Fingerprint(h.Sum(nil)[:len(quarantine.Fingerprint{})])
}

// estimateTokens estimates the number of tokens in a text by the rule of the
// engine API, which counts words.
func estimateTokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}
