package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/policy/reserve"
)

// forecasts answers when places become free, as of one moment. It remembers
// answers by size, because a whole queue is asked for at a time.
type forecasts struct {
	streams   []reserve.Stream
	need      reserve.Request // with Chunks unset
	now, step time.Duration
	known     map[int]time.Duration
}

// newForecasts looks at what was granted. All of it goes before a new request.
func newForecasts(r *Reservations, now, step time.Duration) *forecasts {
	promisedSlots, promisedChunks := r.Promised()
	slots, chunks := r.Free()
	return &forecasts{
		streams: r.streams(),
		need:    reserve.Request{FreeChunks: chunks - promisedChunks, FreeSlots: slots - promisedSlots},
		now:     now,
		step:    step,
		known:   make(map[int]time.Duration),
	}
}

// in returns the time until a place with this many chunks is expected to be
// free; it is 0 when one is free and negative when none ever is.
func (f *forecasts) in(chunks int) time.Duration {
	if in, ok := f.known[chunks]; ok {
		return in
	}
	need := f.need
	need.Chunks = chunks
	in, _ := reserve.ForecastGrant(f.streams, f.now, f.step, need, 0)
	f.known[chunks] = in
	return in
}

// fits reports whether a reservation can be granted: its place is free, or is
// expected to be within the part of its prefill time that anticipation allows.
func (f *forecasts) fits(x *Reservation, anticipation float64) bool {
	in := f.in(x.Chunks)
	return in >= 0 && in <= time.Duration(anticipation*float64(x.PrefillTime))
}

// streams lists what was granted, for the forecast.
func (r *Reservations) streams() []reserve.Stream {
	out := make([]reserve.Stream, 0, len(r.list))
	for _, x := range r.list {
		if x.state == foreign {
			continue
		}
		s := reserve.Stream{RemainingTokens: float64(x.Predicted), Chunks: x.Chunks}
		if x.state != started {
			s.StartsAt = x.granted + x.PrefillTime
		}
		out = append(out, s)
	}
	return out
}
