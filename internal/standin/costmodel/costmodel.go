// Package costmodel defines the time and memory that the work of a model engine
// takes. It performs no I/O, so that the stand-in engine and the bench use the
// same figures.
package costmodel

import "time"

// Params holds the costs and capacities of one engine. The zero value is not
// usable; start from Default.
type Params struct {
	// Slots is the number of streams that decode concurrently.
	Slots int
	// ChunkTokens is the unit of memory allocation, in tokens.
	ChunkTokens int
	// CapacityTokens is the size of the engine's KV memory, in tokens. It is a
	// multiple of ChunkTokens.
	CapacityTokens int
	// MaxPromptTokens is the longest prompt that the engine accepts.
	MaxPromptTokens int
	// PrefillTokensPerSecond is the rate at which a prefill computes uncached
	// prompt tokens.
	PrefillTokensPerSecond float64
	// PrefillOverhead is the part of a prefill's duration that does not depend on
	// the number of tokens.
	PrefillOverhead time.Duration
	// StepBase is the part of a decode step's duration that does not depend on
	// the number of running streams.
	StepBase time.Duration
	// StepPerStream is added to a decode step for each running stream.
	StepPerStream time.Duration
	// KVBytesPerToken is the size of one token's KV cache. It is far smaller than
	// that of a real model because the stand-in transfers the bytes over
	// loopback; LinkBytesPerSecond is smaller in the same proportion.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate of an engine's network link, which its
	// transfers share.
	LinkBytesPerSecond float64
	// HoldTime is how long a prefill output is held for an import.
	HoldTime time.Duration
	// BlockTokens is the unit of the prefix cache, in tokens.
	BlockTokens int
	// CacheBlocks is the size of the prefix cache, in blocks. The cache has
	// memory of its own, which does not count towards CapacityTokens.
	CacheBlocks int
	// MinOutputTokens and MaxOutputTokens bound the natural length of an output,
	// which is its length when the request sets no limit.
	MinOutputTokens, MaxOutputTokens int
}

// TypicalRequestTokens is the number of prompt and output tokens of a typical
// request. An engine with the Default costs holds 20 such requests.
const TypicalRequestTokens = 4000

// Default returns the costs that the demo and the bench start from. With 20
// running streams a step takes 30 ms, below the per-token target of 46 ms. A
// typical prefill takes 400 ms, in which a fully loaded decode engine produces
// more than 250 tokens.
func Default() Params {
	const slots = 20
	return Params{
		Slots:                  slots,
		ChunkTokens:            2000,
		CapacityTokens:         slots * TypicalRequestTokens,
		MaxPromptTokens:        32000,
		PrefillTokensPerSecond: 8000,
		PrefillOverhead:        25 * time.Millisecond,
		StepBase:               18 * time.Millisecond,
		StepPerStream:          600 * time.Microsecond,
		KVBytesPerToken:        256,
		LinkBytesPerSecond:     8 << 20,
		HoldTime:               800 * time.Millisecond,
		BlockTokens:            128,
		CacheBlocks:            400,
		MinOutputTokens:        16,
		MaxOutputTokens:        400,
	}
}

// PrefillTime returns the duration of a prefill that computes uncached tokens.
func (p Params) PrefillTime(uncached int) time.Duration {
	return p.PrefillOverhead + p.ComputeTime(uncached)
}

// ComputeTime returns the duration of computing tokens, without PrefillOverhead.
func (p Params) ComputeTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second))
}

// StepTime returns the duration of a decode step, in which each running stream
// produces one token.
func (p Params) StepTime(running int) time.Duration {
	return p.StepBase + time.Duration(running)*p.StepPerStream
}

// KVBytes returns the size of the KV cache of the given number of tokens.
func (p Params) KVBytes(tokens int) int64 { return int64(tokens) * p.KVBytesPerToken }

// TransferTime returns how long a transfer of bytes takes on a link that
// sharers transfers, including this one, share equally.
func (p Params) TransferTime(bytes int64, sharers int) time.Duration {
	perSharer := p.LinkBytesPerSecond / float64(max(1, sharers))
	return time.Duration(float64(bytes) / perSharer * float64(time.Second))
}

// ChunksFor returns the number of memory chunks that the given number of tokens
// occupies.
func (p Params) ChunksFor(tokens int) int {
	return (tokens + p.ChunkTokens - 1) / p.ChunkTokens
}

// CapacityChunks returns the number of memory chunks of an engine.
func (p Params) CapacityChunks() int { return p.CapacityTokens / p.ChunkTokens }

// CachedBlocks returns the maximum number of blocks of a prompt that a prefill
// takes from the prefix cache. At least one token is always computed, so the last
// block of a prompt that consists of full blocks only is never taken from it.
func (p Params) CachedBlocks(promptTokens int) int {
	return max(0, promptTokens-1) / p.BlockTokens
}
