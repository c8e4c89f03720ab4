// Package costmodel describes what a model engine's work costs. It performs no
// I/O, so that the stand-in engine and the bench share one set of figures.
package costmodel

import "time"

// Params are the costs of one engine. The zero value is not usable; start from Default.
type Params struct {
	// Slots is the number of streams that decode at once.
	Slots int
	// ChunkTokens is the unit of memory allocation, in tokens.
	ChunkTokens int
	// CapacityTokens is the engine's KV memory, in tokens; a multiple of ChunkTokens.
	CapacityTokens int
	// MaxPromptTokens is the longest prompt that the engine accepts.
	MaxPromptTokens int
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are computed.
	PrefillTokensPerSecond float64
	// PrefillFixed is the cost of a prefill beyond its tokens.
	PrefillFixed time.Duration
	// StepBase is the duration of a decode step without streams.
	StepBase time.Duration
	// StepPerStream is added to a decode step for each running stream.
	StepPerStream time.Duration
	// KVBytesPerToken is the size of one token's KV cache. It is far below a
	// real model's, in proportion to LinkBytesPerSecond, because the stand-in
	// moves the bytes over loopback.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate of an engine's link, shared by its transfers.
	LinkBytesPerSecond float64
	// Hold is how long a prefill output is kept for an import.
	HoldTime time.Duration
	// BlockTokens is the unit of the prefix cache, in tokens.
	BlockTokens int
	// CacheBlocks is the size of the prefix cache, in blocks. The cache has
	// its own memory; it takes nothing from CapacityTokens.
	CacheBlocks int
	// MinOutput and MaxOutput bound the natural length of an output, in tokens.
	MinOutput, MaxOutput int
}

// TypicalTokens is the size of a typical request, prompt and output: Default
// holds 20 of them.
const TypicalTokens = 4000

// Default returns the costs that the demo and the bench start from. With 20
// running streams a step takes 30 ms, below the per-token target of 46 ms; a
// typical prefill takes 400 ms, the time in which a full decode engine puts out
// more than 250 tokens.
func Default() Params {
	const slots = 20
	return Params{
		Slots:                  slots,
		ChunkTokens:            2000,
		CapacityTokens:         slots * TypicalTokens,
		MaxPromptTokens:        32000,
		PrefillTokensPerSecond: 8000,
		PrefillFixed:           25 * time.Millisecond,
		StepBase:               18 * time.Millisecond,
		StepPerStream:          600 * time.Microsecond,
		KVBytesPerToken:        256,
		LinkBytesPerSecond:     8 << 20,
		HoldTime:               800 * time.Millisecond,
		BlockTokens:            128,
		CacheBlocks:            400,
		MinOutput:              16,
		MaxOutput:              400,
	}
}

// PrefillTime returns the duration of a prefill that computes uncached tokens.
func (p Params) PrefillTime(uncached int) time.Duration {
	return p.PrefillFixed + p.ComputeTime(uncached)
}

// ComputeTime is PrefillTime without the fixed cost.
func (p Params) ComputeTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second))
}

// StepTime returns the duration of a decode step, in which each of the running
// streams puts out one token.
func (p Params) StepTime(running int) time.Duration {
	return p.StepBase + time.Duration(running)*p.StepPerStream
}

// KVBytes returns the size of the KV cache of tokens.
func (p Params) KVBytes(tokens int) int64 { return int64(tokens) * p.KVBytesPerToken }

// TransferTime returns how long a link takes for bytes while sharers transfers,
// this one included, share it equally.
func (p Params) TransferTime(bytes int64, sharers int) time.Duration {
	perSharer := p.LinkBytesPerSecond / float64(max(1, sharers))
	return time.Duration(float64(bytes) / perSharer * float64(time.Second))
}

// ChunksFor returns the number of memory chunks that hold tokens.
func (p Params) ChunksFor(tokens int) int {
	return (tokens + p.ChunkTokens - 1) / p.ChunkTokens
}

// CapacityChunks returns the number of memory chunks of an engine.
func (p Params) CapacityChunks() int { return p.CapacityTokens / p.ChunkTokens }

// CachedBlocks returns how many blocks of a prompt can be served from a cache
// that holds all of them. At least one token is always computed.
func (p Params) CachedBlocks(promptTokens int) int {
	return max(0, promptTokens-1) / p.BlockTokens
}
