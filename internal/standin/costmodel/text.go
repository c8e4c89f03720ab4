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

// CountTokens counts the tokens of a prompt: its whitespace-separated words.
func CountTokens(prompt string) int { return len(strings.Fields(prompt)) }

// Seed is the part of a prompt that determines its output.
type Seed uint64

// SeedOf returns the seed of a prompt.
func SeedOf(prompt string) Seed { return Seed(xxhash.Sum64String(prompt)) }

// Text returns the output token of a prompt at index, counted from 0. All
// tokens but the first start with a space, so that an answer is their concatenation.
func Text(prompt string, index int) string { return SeedOf(prompt).Text(index) }

// Text is the function Text for a prompt whose seed is known.
func (s Seed) Text(index int) string {
	h := mix(uint64(s) + uint64(index)*0x9e3779b97f4a7c15)
	word := syllables[h&15] + syllables[h>>4&15] + syllables[h>>8&15]
	if index == 0 {
		return word
	}
	return " " + word
}

// Length returns the number of output tokens of a prompt and the reason why it
// ends there. A maxTokens of 0 or less sets no limit.
func (p Params) Length(prompt string, maxTokens int) (int, string) {
	return p.LengthOf(SeedOf(prompt), maxTokens)
}

// LengthOf is Length for a prompt whose seed is known. Natural lengths are
// spread log-uniformly from MinOutput to MaxOutput.
func (p Params) LengthOf(seed Seed, maxTokens int) (int, string) {
	const draws = 1 << 32
	u := float64(mix(uint64(seed)^0x6c656e677468)%draws) / draws
	lo, hi := math.Log(float64(p.MinOutput)), math.Log(float64(p.MaxOutput)+1)
	natural := min(p.MaxOutput, int(math.Exp(lo+u*(hi-lo))))
	if maxTokens > 0 && natural > maxTokens {
		return maxTokens, FinishLength
	}
	return natural, FinishStop
}

// Output returns the complete output of a prompt.
func (p Params) Output(prompt string, maxTokens int) (text, finishReason string) {
	seed := SeedOf(prompt)
	n, reason := p.LengthOf(seed, maxTokens)
	var b strings.Builder
	for i := range n {
		b.WriteString(seed.Text(i))
	}
	return b.String(), reason
}

// Prefixes returns the identifiers of a prompt's full blocks as the prefix
// cache uses them: identifier i is the hexadecimal xxhash64 of the first
// (i+1)*blockTokens words, each followed by one space.
func Prefixes(prompt string, blockTokens int) []string {
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

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
