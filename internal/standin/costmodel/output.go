package costmodel

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Finish reasons of an output.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

var syllables = [16]string{
	"ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wa", "ze",
}

// CountTokens returns the number of tokens of a prompt. Each
// whitespace-separated word is one token.
func CountTokens(prompt string) int { return len(strings.Fields(prompt)) }

// Seed is the hash of a prompt from which its output is generated.
type Seed uint64

// SeedOf returns the seed of a prompt.
func SeedOf(prompt string) Seed { return Seed(xxhash.Sum64String(prompt)) }

// TokenText returns the output token of a prompt at index, counted from 0. All
// tokens but the first start with a space, so that the output is their
// concatenation.
func TokenText(prompt string, index int) string { return SeedOf(prompt).TokenText(index) }

// TokenText returns the output token at index of a prompt with this seed.
func (s Seed) TokenText(index int) string {
	h := splitmix64(uint64(s) + uint64(index)*0x9e3779b97f4a7c15)
	word := syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15]
	if index == 0 {
		return word
	}
	return " " + word
}

// OutputLength returns the number of output tokens of a prompt and the finish
// reason. A maxTokens of 0 or less sets no limit.
func (p Params) OutputLength(prompt string, maxTokens int) (int, string) {
	return p.OutputLengthForSeed(SeedOf(prompt), maxTokens)
}

// OutputLengthForSeed is OutputLength for a prompt with the given seed. Natural
// lengths are distributed log-uniformly from MinOutputTokens to MaxOutputTokens.
func (p Params) OutputLengthForSeed(seed Seed, maxTokens int) (int, string) {
	const buckets = 1 << 32
	u := float64(splitmix64(uint64(seed)^0x6c656e677468)%buckets) / buckets
	lo, hi := math.Log(float64(p.MinOutputTokens)), math.Log(float64(p.MaxOutputTokens)+1)
	natural := min(p.MaxOutputTokens, int(math.Exp(lo+u*(hi-lo))))
	if maxTokens > 0 && natural > maxTokens {
		return maxTokens, FinishLength
	}
	return natural, FinishStop
}

// Output returns the complete output of a prompt and the finish reason. A
// maxTokens of 0 or less sets no limit.
func (p Params) Output(prompt string, maxTokens int) (text, finishReason string) {
	seed := SeedOf(prompt)
	n, reason := p.OutputLengthForSeed(seed, maxTokens)
	var b strings.Builder
	for i := range n {
		b.WriteString(seed.TokenText(i))
	}
	return b.String(), reason
}

// PrefixIDs returns the prefix cache's identifiers of a prompt's full blocks.
// Identifier i is the hexadecimal xxhash64 of the first (i+1)*blockTokens words,
// each followed by one space.
func PrefixIDs(prompt string, blockTokens int) []string {
	words := strings.Fields(prompt)
	ids := make([]string, 0, len(words)/blockTokens)
	d := xxhash.New()
	for i, word := range words {
		_, _ = d.WriteString(word)
		_, _ = d.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			ids = append(ids, strconv.FormatUint(d.Sum64(), 16))
		}
	}
	return ids
}

// splitmix64 is the output function of the splitmix64 generator. It maps similar
// inputs to unrelated values.
func splitmix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
