package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// capacityForecast answers when places become free, as of one moment. It remembers
// answers by size, because a whole queue is asked for at a time.
type capacityForecast struct {
	streams   []reserve.Stream
	need      reserve.Need // with Chunks unset
	now, step time.Duration
	cache     map[int]time.Duration
}

// newCapacityForecast looks at what was granted. All of it goes before a new request.
func newCapacityForecast(r *Reservations, now, step time.Duration) *capacityForecast {
	promisedSlots, promisedChunks := r.Promised()
	slots, chunks := r.Free()
	return &capacityForecast{
		streams: r.forecastStreams(),
		need:    reserve.Need{FreeChunks: chunks - promisedChunks, FreeSlots: slots - promisedSlots},
		now:     now,
		step:    step,
		cache:   make(map[int]time.Duration),
	}
}

// timeUntilFree returns the time until a place with this many chunks is expected to be
// free; it is 0 when one is free and negative when none ever is.
func (f *capacityForecast) timeUntilFree(chunks int) time.Duration {
	if wait, ok := f.cache[chunks]; ok {
		return wait
	}
	need := f.need
	need.Chunks = chunks
	wait, _ := reserve.Forecast(f.streams, f.now, f.step, need, 0)
	f.cache[chunks] = wait
	return wait
}

// fits reports whether a reservation can be granted: its place is free, or is
// expected to be within the part of its prefill time that anticipation allows.
func (f *capacityForecast) fits(res *Reservation, anticipation float64) bool {
	wait := f.timeUntilFree(res.Chunks)
	return wait >= 0 && wait <= time.Duration(anticipation*float64(res.PrefillTime))
}

// forecastStreams lists what was granted, for the forecast.
func (r *Reservations) forecastStreams() []reserve.Stream {
	out := make([]reserve.Stream, 0, len(r.list))
	for _, res := range r.list {
		if res.state == orphaned {
			continue
		}
		s := reserve.Stream{RemainingTokens: float64(res.Predicted), Chunks: res.Chunks}
		if res.state != started {
			s.StartsAt = res.grantedAt + res.PrefillTime
		}
		out = append(out, s)
	}
	return out
}
