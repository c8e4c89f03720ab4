package costmodel

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against default figures that contradict the engines that the design
// describes: bounds on TPOT, memory and the relative cost of a prefill.
func TestDefaultMatchesDesign(t *testing.T) {
	p := Default()
	if got := p.StepTime(p.Slots); got >= 46*time.Millisecond {
		t.Errorf("a full engine takes %v per token, want less than 46ms", got)
	}
	if got := p.CapacityChunks() / p.ChunksFor(TypicalTokens); got != 20 {
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

// Guards against an output that depends on max_tokens or leaves its bounds.
func TestOutputIsFunctionOfPrompt(t *testing.T) {
	p := Default()
	sum, cut := 0, 0
	for i := range 500 {
		prompt := fmt.Sprintf("prompt number %d", i)
		n, reason := p.Length(prompt, 0)
		if reason != FinishStop || n < p.MinOutput || n > p.MaxOutput {
			t.Fatalf("Length(%q, 0) = %d, %s", prompt, n, reason)
		}
		sum += n
		short, reason := p.Output(prompt, 50)
		full, _ := p.Output(prompt, 0)
		if !strings.HasPrefix(full, short) || (reason == FinishLength) != (n > 50) {
			t.Fatalf("answer cut at 50 of %d: reason %s", n, reason)
		}
		if reason == FinishLength {
			cut++
		}
	}
	if mean := sum / 500; mean < 80 || mean > 160 || cut == 0 {
		t.Errorf("mean output %d, %d cut", mean, cut)
	}
}

// Guards against prefix identifiers that differ for a shared prefix.
func TestPrefixesShareLeadingBlocks(t *testing.T) {
	head := strings.Repeat("word ", 256)
	a, b := Prefixes(head+"a b", 128), Prefixes(head+strings.Repeat("z ", 128), 128)
	if len(a) != 2 || len(b) != 3 || a[0] != b[0] || a[1] != b[1] || a[0] == a[1] {
		t.Errorf("a = %v, b = %v", a, b)
	}
}
