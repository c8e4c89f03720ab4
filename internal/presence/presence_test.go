package presence

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/contact"
	"github.com/fescueslip/fescueslip/internal/leadership"
)

// fakeStore is a Store with one key.
type fakeStore struct {
	generation uint64
	// boundTo is the lease of the key; 0 if the key does not exist.
	boundTo uint64
	leases  map[uint64]bool
	next    uint64
	renewed []uint64
	revoked []uint64
	// restoreBeforePut restores the store when the key is written the next time.
	restoreBeforePut bool
}

func (s *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	s.next++
	s.leases[s.next] = true
	return s.next, nil
}

func (s *fakeStore) Renew(_ context.Context, lease uint64) error {
	if !s.leases[lease] {
		return leadership.ErrLeaseEnded
	}
	s.renewed = append(s.renewed, lease)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease uint64) error {
	s.revoked = append(s.revoked, lease)
	return nil
}

func (s *fakeStore) Put(_ context.Context, _ string, _ []byte, lease uint64) error {
	if s.restoreBeforePut {
		s.restoreBeforePut = false
		s.generation++
	}
	s.boundTo = lease
	return nil
}

func (s *fakeStore) IsBound(_ context.Context, _ string, lease uint64) (bool, error) {
	return s.boundTo == lease, nil
}

// register returns a registrar that has registered its process.
func register(t *testing.T, s *fakeStore) *Registrar {
	t.Helper()
	r := &Registrar{Store: s, Key: "k", Generation: func() uint64 { return s.generation }, Contact: new(contact.Tracker), Logger: log.New(io.Discard)}
	if err := r.renewOrRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r
}

func newStore() *fakeStore { return &fakeStore{generation: 1, leases: make(map[uint64]bool)} }

// Guards against the renewal, or the end, of a lease whose ID a restored store has given to
// another process.
func TestLeaseOfAnotherProcess(t *testing.T) {
	s := newStore()
	r := register(t, s)
	s.generation, s.boundTo = 2, 0
	if err := r.renewOrRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(s.renewed) > 0 || s.boundTo != 2 || r.lease != 2 {
		t.Errorf("renewed %v, key bound to %d, lease %d; want a new lease", s.renewed, s.boundTo, r.lease)
	}
	s.generation, s.boundTo = 3, 0
	if err := r.end(t.Context()); err != nil || len(s.revoked) > 0 {
		t.Errorf("error %v, revoked %v", err, s.revoked)
	}
}

// Guards against processes that all register again although their leases outlast the
// restoration.
func TestLeaseThatOutlastsRestoration(t *testing.T) {
	s := newStore()
	r := register(t, s)
	s.generation = 2
	if err := r.renewOrRegister(t.Context()); err != nil || len(s.renewed) != 1 || r.lease != 1 {
		t.Errorf("error %v, renewed %v, lease %d", err, s.renewed, r.lease)
	}
	if err := r.end(t.Context()); err != nil || len(s.revoked) != 1 {
		t.Errorf("error %v, revoked %v", err, s.revoked)
	}
}

// Guards against a registration under a lease that the store forgot before the key was
// written.
func TestRestorationDuringRegistration(t *testing.T) {
	s := newStore()
	s.restoreBeforePut = true
	r := &Registrar{Store: s, Key: "k", Generation: func() uint64 { return s.generation }, Contact: new(contact.Tracker), Logger: log.New(io.Discard)}
	if err := r.renewOrRegister(t.Context()); err == nil || r.lease != 0 {
		t.Errorf("error %v, lease %d; want an error and none", err, r.lease)
	}
	if err := r.renewOrRegister(t.Context()); err != nil || r.lease != 2 {
		t.Errorf("error %v, lease %d; want the second lease", err, r.lease)
	}
}
