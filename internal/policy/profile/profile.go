// Package profile learns how fast the model engines of a service are.
//
// Model engines differ by more than a factor of ten in speed. A router that assumes
// a speed forecasts the wrong memory use, refuses requests that could be served and
// keeps the wrong number of engines in each role. This package therefore measures
// the speed of a service's engines from completed requests. Processes exchange what
// they measured, so that one that has just started knows it after the first message.
// Each engine also has a deviation from the speed of its service.
//
// Nothing here is safe for concurrent use.
package profile

import (
	"maps"
	"time"
)

// Speed is the estimated speed of the engines of one service.
type Speed struct {
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	// FirstEventDelay is the time from a decode request, whose prompt another engine
	// has processed, to the first event of the stream.
	FirstEventDelay time.Duration
	// PrefillRate is the number of prompt tokens that an engine in the prefill role
	// processes per second.
	PrefillRate float64
	// PrefillDelay is the time that a prefill takes in addition, whatever its length.
	// It does not delay the prefills that follow.
	PrefillDelay time.Duration
}

const (
	// priorEventInterval applies before the first measurement. Services group the
	// tokens of a stream into events of about this length.
	priorEventInterval = 50 * time.Millisecond
	// priorFirstEventShare is the assumed delay of the first event, as a multiple of
	// the event interval, until it has been measured.
	priorFirstEventShare = 1.0
	// priorPrefillRate applies before the first measurement, in tokens per second.
	priorPrefillRate = 30_000
)

// Measurements are what one process has measured of the engines of a service.
type Measurements struct {
	// EventInterval and FirstEventDelay are averages of seconds.
	EventInterval, FirstEventDelay Average
	// Prefill relates the seconds of a prefill to its tokens.
	Prefill Line
}

// Service estimates the speed of a service's engines from the measurements of this
// process and of its peers.
type Service struct {
	own   Measurements
	peers map[string]Measurements
	speed Speed
	// samples and prefillSamples are the numbers of observations of streams and prefills
	// that speed rests on.
	samples, prefillSamples float64
}

// NewService returns a service of which nothing has been measured.
func NewService() *Service {
	s := &Service{peers: make(map[string]Measurements)}
	s.update()
	return s
}

// Speed returns the current estimate.
func (s *Service) Speed() Speed { return s.speed }

// Samples returns the number of completed streams that the estimate rests on. It is
// 0 while the estimate is only assumed.
func (s *Service) Samples() float64 { return s.samples }

// PrefillSamples is Samples for prefills.
func (s *Service) PrefillSamples() float64 { return s.prefillSamples }

// Own returns the measurements of this process, which are sent to its peers.
func (s *Service) Own() Measurements { return s.own }

// SetPeer replaces the measurements of a peer. It reports false, and keeps the
// previous ones, if they are not numbers.
func (s *Service) SetPeer(name string, m Measurements) bool {
	if !m.EventInterval.valid() || !m.FirstEventDelay.valid() || !m.Prefill.valid() {
		return false
	}
	s.peers[name] = m
	s.update()
	return true
}

// RetainPeers drops the measurements of the peers for which keep returns false, once
// this process has measured enough itself. Until then, what a peer that is gone
// measured is better than an assumption.
func (s *Service) RetainPeers(keep func(name string) bool) {
	if min(s.own.EventInterval.Samples, s.own.Prefill.Samples) < maxSamples {
		return
	}
	before := len(s.peers)
	maps.DeleteFunc(s.peers, func(name string, _ Measurements) bool { return !keep(name) })
	if len(s.peers) < before {
		s.update()
	}
}

// ObserveStream includes a completed stream of the given number of events. took is
// the time from its first to its last event. It reports whether the stream could be
// used: one of few events tells nothing.
func (s *Service) ObserveStream(events int, took time.Duration) (interval time.Duration, ok bool) {
	if events < minEvents || took <= 0 {
		return 0, false
	}
	interval = took / time.Duration(events-1)
	ok = s.own.EventInterval.Observe(interval.Seconds())
	s.update()
	return interval, ok
}

// minEvents is the least number of events of a stream whose interval is measured.
const minEvents = 4

// ObserveFirstEvent includes the delay of one first event.
func (s *Service) ObserveFirstEvent(delay time.Duration) {
	if s.own.FirstEventDelay.Observe(delay.Seconds()) {
		s.update()
	}
}

// ObservePrefill includes one prefill of an engine that had no other prompt. It
// reports whether the prefill could be used.
func (s *Service) ObservePrefill(tokens int64, took time.Duration) bool {
	ok := s.own.Prefill.Observe(float64(tokens), took.Seconds())
	s.update()
	return ok
}

// update computes the speed from all measurements.
func (s *Service) update() {
	all := make([]Measurements, 0, len(s.peers)+1)
	all = append(all, s.own)
	for _, m := range s.peers {
		all = append(all, m)
	}
	var intervals, firstEvents []Average
	var prefills []Line
	s.samples, s.prefillSamples = 0, 0
	for _, m := range all {
		intervals = append(intervals, m.EventInterval)
		firstEvents = append(firstEvents, m.FirstEventDelay)
		prefills = append(prefills, m.Prefill)
		s.samples += m.EventInterval.Samples
		s.prefillSamples += m.Prefill.Samples
	}
	interval := pool(intervals, priorEventInterval.Seconds())
	s.speed = Speed{
		EventInterval:   seconds(interval),
		FirstEventDelay: seconds(pool(firstEvents, interval*priorFirstEventShare)),
		PrefillRate:     priorPrefillRate,
	}
	if line := poolLines(prefills); line.Samples > 0 {
		fixed, slope := line.fit()
		s.speed.PrefillRate = 1 / max(slope, minSecondsPerToken)
		s.speed.PrefillDelay = seconds(fixed)
	}
}

// minSecondsPerToken bounds the prefill rate; a peer may report any number.
const minSecondsPerToken = 1e-9

// seconds converts to a positive duration.
func seconds(s float64) time.Duration {
	return max(time.Microsecond, time.Duration(min(s, maxSeconds)*float64(time.Second)))
}

// maxSeconds limits estimated times; a peer may report any number.
const maxSeconds = 3600

// TokenRate returns the number of output tokens per second of one stream whose
// events have the given number of tokens.
func (s Speed) TokenRate(tokensPerEvent int) float64 {
	return float64(max(1, tokensPerEvent)) / s.EventInterval.Seconds()
}

// PrefillTime returns the time that an idle prefill engine needs for the tokens.
func (s Speed) PrefillTime(tokens float64) time.Duration {
	return s.PrefillDelay + seconds(tokens/s.PrefillRate)
}
