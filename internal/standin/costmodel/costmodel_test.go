package costmodel

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against default costs that contradict the design: the time per output
// token (TPOT), the memory and the cost of a prefill relative to decoding must
// stay within the bounds that it states.
func TestDefaultMatchesDesign(t *testing.T) {
	p := Default()
	if got := p.StepTime(p.Slots); got >= 46*time.Millisecond {
		t.Errorf("a full engine takes %v per token, want less than 46ms", got)
	}
	if got := p.CapacityChunks() / p.ChunksFor(TypicalRequestTokens); got != 20 {
		t.Errorf("memory holds %d typical requests, want 20", got)
	}
	perOutput := p.StepTime(p.Slots) / time.Duration(p.Slots)
	if got := p.PrefillTime(3000) / perOutput; got < 50 {
		t.Errorf("a prefill costs %d output tokens, want at least 50", got)
	}
	if p.CapacityTokens%p.ChunkTokens != 0 || p.HoldTime >= time.Second {
		t.Errorf("capacity %d, hold %v", p.CapacityTokens, p.HoldTime)
	}
}

// Guards against an output whose tokens change with max_tokens and against a
// length outside its bounds.
func TestOutputIsFunctionOfPrompt(t *testing.T) {
	p := Default()
	sum, truncated := 0, 0
	for i := range 500 {
		prompt := fmt.Sprintf("prompt number %d", i)
		n, reason := p.OutputLength(prompt, 0)
		if reason != FinishStop || n < p.MinOutputTokens || n > p.MaxOutputTokens {
			t.Fatalf("Length(%q, 0) = %d, %s", prompt, n, reason)
		}
		sum += n
		short, reason := p.Output(prompt, 50)
		full, _ := p.Output(prompt, 0)
		if !strings.HasPrefix(full, short) || (reason == FinishLength) != (n > 50) {
			t.Fatalf("output of %d tokens with a limit of 50: finish reason %s", n, reason)
		}
		if reason == FinishLength {
			truncated++
		}
	}
	if mean := sum / 500; mean < 80 || mean > 160 || truncated == 0 {
		t.Errorf("mean output length %d, %d outputs truncated", mean, truncated)
	}
}

// Guards against prefix identifiers that differ although the prompts start with
// the same words.
func TestPrefixesShareLeadingBlocks(t *testing.T) {
	head := strings.Repeat("word ", 256)
	a, b := PrefixIDs(head+"a b", 128), PrefixIDs(head+strings.Repeat("z ", 128), 128)
	if len(a) != 2 || len(b) != 3 || a[0] != b[0] || a[1] != b[1] || a[0] == a[1] {
		t.Errorf("a = %v, b = %v", a, b)
	}
}
