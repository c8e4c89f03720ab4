// Package telemetry sets up logging and metrics, and provides the flight recorder, a
// bounded in-memory record of the events of recent requests.
package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Event is one step in the processing of a request.
type Event struct {
	Time     time.Time `json:"time"`
	Attempt  uint32    `json:"attempt"`
	Kind     string    `json:"kind"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

const (
	recorderShards      = 16
	maxEventsPerRequest = 64
)

// FlightRecorder keeps the events of the most recent requests. When it is full, it
// evicts the oldest request. It is safe for concurrent use.
type FlightRecorder struct {
	shards [recorderShards]recorderShard
}

// recorderShard holds the events of those requests whose ID hashes to the shard.
type recorderShard struct {
	mu sync.Mutex
	// limit is the maximum number of requests in the shard.
	limit int
	// events maps request IDs to events.
	events map[string][]Event
	// order holds the request IDs in the order of their first event.
	order []string
}

// NewFlightRecorder returns a FlightRecorder that keeps about the given number of
// requests.
func NewFlightRecorder(requests int) *FlightRecorder {
	r := &FlightRecorder{}
	for i := range r.shards {
		r.shards[i].limit = max(1, requests/recorderShards)
		r.shards[i].events = make(map[string][]Event)
	}
	return r
}

// Record adds an event of a request, unless the request already has maxEventsPerRequest
// events. It sets the time of the event if it is zero. A nil FlightRecorder records
// nothing.
func (r *FlightRecorder) Record(requestID string, e Event) {
	if r == nil {
		return
	}
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	s := r.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	list, known := s.events[requestID]
	if !known {
		s.evictIfFull()
		s.order = append(s.order, requestID)
	}
	if len(list) < maxEventsPerRequest {
		s.events[requestID] = append(list, e)
	}
}

func (s *recorderShard) evictIfFull() {
	if len(s.order) < s.limit {
		return
	}
	delete(s.events, s.order[0])
	s.order = s.order[1:]
}

// Events returns the events of a request in the order in which they were recorded.
func (r *FlightRecorder) Events(requestID string) []Event {
	if r == nil {
		return nil
	}
	s := r.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events[requestID]...)
}

func (r *FlightRecorder) shard(requestID string) *recorderShard {
	return &r.shards[xxhash.Sum64String(requestID)%recorderShards]
}
