// Package telemetry sets up logs and metrics and keeps the flight log, a bounded
// record of what happened to recent requests.
package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Event is one step of a request's way through a process.
type Event struct {
	Time     time.Time `json:"time"`
	Attempt  uint32    `json:"attempt"`
	Kind     string    `json:"kind"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

const (
	flightLogShards  = 16
	maxEventsPerCall = 64
)

// FlightRecorder keeps the events of the most recent requests. It forgets the
// oldest request when it is full and is safe for concurrent use.
type FlightRecorder struct {
	shards [flightLogShards]flightShard
}

type flightShard struct {
	mu     sync.Mutex
	limit  int
	events map[string][]Event
	order  []string
}

// NewFlightRecorder keeps about the given number of requests.
func NewFlightRecorder(requests int) *FlightRecorder {
	l := &FlightRecorder{}
	for i := range l.shards {
		l.shards[i].limit = max(1, requests/flightLogShards)
		l.shards[i].events = make(map[string][]Event)
	}
	return l
}

// Record adds an event of a request. A nil FlightLog records nothing.
func (l *FlightRecorder) Record(requestID string, e Event) {
	if l == nil {
		return
	}
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	s := l.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	list, known := s.events[requestID]
	if !known {
		s.makeRoom()
		s.order = append(s.order, requestID)
	}
	if len(list) < maxEventsPerCall {
		s.events[requestID] = append(list, e)
	}
}

func (s *flightShard) makeRoom() {
	if len(s.order) < s.limit {
		return
	}
	delete(s.events, s.order[0])
	s.order = s.order[1:]
}

// Events returns the events of a request in the order in which they happened.
func (l *FlightRecorder) Events(requestID string) []Event {
	if l == nil {
		return nil
	}
	s := l.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events[requestID]...)
}

func (l *FlightRecorder) shard(requestID string) *flightShard {
	return &l.shards[xxhash.Sum64String(requestID)%flightLogShards]
}
