package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// capacityForecast predicts when slots and chunks become free, as of one moment. It
// caches the results by size, because it is evaluated for a whole queue at a time.
type capacityForecast struct {
	streams   []reserve.Stream
	need      reserve.Request // with Chunks unset
	now, step time.Duration
	cache     map[int]time.Duration
}

// newCapacityForecast builds a forecast from the granted reservations. All of them are
// served before a new request.
func newCapacityForecast(r *Reservations, now, step time.Duration) *capacityForecast {
	promisedSlots, promisedChunks := r.Promised()
	slots, chunks := r.Free()
	return &capacityForecast{
		streams: r.forecastStreams(),
		need:    reserve.Request{FreeChunks: chunks - promisedChunks, FreeSlots: slots - promisedSlots},
		now:     now,
		step:    step,
		cache:   make(map[int]time.Duration),
	}
}

// timeUntilFree returns the predicted time until a slot and the given number of
// chunks are free. It is 0 if they are free now and negative if they never will be.
func (f *capacityForecast) timeUntilFree(chunks int) time.Duration {
	if wait, ok := f.cache[chunks]; ok {
		return wait
	}
	need := f.need
	need.Chunks = chunks
	wait, _ := reserve.ForecastGrant(f.streams, f.now, f.step, need, 0)
	f.cache[chunks] = wait
	return wait
}

// fits reports whether a reservation can be granted: its slot and chunks are free,
// or are predicted to be free within the fraction of its prefill time that
// anticipation allows.
func (f *capacityForecast) fits(res *Reservation, anticipation float64) bool {
	wait := f.timeUntilFree(res.Chunks)
	return wait >= 0 && wait <= time.Duration(anticipation*float64(res.PrefillTime))
}

// forecastStreams returns the granted reservations as input of a forecast.
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
