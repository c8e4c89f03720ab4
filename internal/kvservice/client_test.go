package kvservice_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

const address = "10.0.0.1:8500"

// service is a stand-in for the key-value service with a client of it.
type service struct {
	*kvstore.Store
	network *memnet.Network
	client  *kvservice.Client
}

// run starts the service in virtual time.
func run(t *testing.T, o kvservice.ClientOptions, test func(t *testing.T, s *service)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		store := kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond})
		server := kvstore.Serve(store, listener, nil)
		defer server.Close()
		o.URL, o.Dial = "http://"+address, network.Dial
		client, err := kvservice.NewClient(o)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		test(t, &service{Store: store, network: network, client: client})
	})
}

func (s *service) put(t *testing.T, key, value string, index uint64) {
	t.Helper()
	if ok, err := s.client.CompareAndSwap(t.Context(), key, []byte(value), index); err != nil || !ok {
		t.Fatalf("write %s at index %d: %t, %v", key, index, ok, err)
	}
}

// TestClient guards the protocol: absent keys, keys with odd characters, values
// with any bytes, and a write with an outdated index.
func TestClient(t *testing.T) {
	run(t, kvservice.ClientOptions{}, func(t *testing.T, s *service) {
		const key, value = "fescueslip/a b?c%d/é", "\x00\xff{}"
		e, err := s.client.Get(t.Context(), key)
		if err != nil || e.Index != 0 {
			t.Fatalf("absent key: %+v, %v", e, err)
		}
		s.put(t, key, value, 0)
		e, err = s.client.Get(t.Context(), key)
		if err != nil || string(e.Value) != value || e.Index == 0 || e.Key != key {
			t.Fatalf("read back: %+v, %v", e, err)
		}
		for _, index := range []uint64{0, e.Index + 1} {
			if ok, err := s.client.CompareAndSwap(t.Context(), key, nil, index); err != nil || ok {
				t.Errorf("write at wrong index %d: %t, %v", index, ok, err)
			}
		}
		_, err = s.client.CompareAndSwap(t.Context(), key, make([]byte, kvservice.MaxValueBytes+1), e.Index)
		if err == nil || errors.Is(err, kvservice.ErrUnavailable) {
			t.Errorf("value over the limit: %v, want an error that tells that nothing was sent", err)
		}
	})
}

// TestWatch guards that a watch returns the change, also the creation of an
// absent key, that it returns the unchanged entry at the end of the wait, and
// that it ends with its context.
func TestWatch(t *testing.T) {
	run(t, kvservice.ClientOptions{}, func(t *testing.T, s *service) {
		time.AfterFunc(time.Second, func() { s.put(t, "k", "1", 0) })
		e, err := s.client.Watch(t.Context(), "k", 0)
		if err != nil || string(e.Value) != "1" {
			t.Fatalf("creation: %+v, %v", e, err)
		}
		time.AfterFunc(time.Second, func() { s.put(t, "k", "2", e.Index) })
		changed, err := s.client.Watch(t.Context(), "k", e.Index)
		if err != nil || string(changed.Value) != "2" {
			t.Fatalf("change: %+v, %v", changed, err)
		}
		same, err := s.client.Watch(t.Context(), "k", changed.Index)
		if err != nil || same.Index != changed.Index {
			t.Fatalf("end of the wait: %+v, %v", same, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := s.client.Watch(ctx, "k", changed.Index); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("ended context: %v", err)
		}
	})
}

// TestUnavailable guards that a write that took effect without an answer is
// never reported as a definite failure, and that a read survives one lost
// connection.
func TestUnavailable(t *testing.T) {
	run(t, kvservice.ClientOptions{}, func(t *testing.T, s *service) {
		s.LoseAcks(1)
		_, err := s.client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		if !errors.Is(err, kvservice.ErrUnavailable) {
			t.Fatalf("lost acknowledgement: %v", err)
		}
		if e, err := s.client.Get(t.Context(), "k"); err != nil || string(e.Value) != "1" {
			t.Fatalf("read back: %+v, %v", e, err)
		}
		s.network.Blackhole(address, false)
		if e, err := s.client.Get(t.Context(), "k"); err != nil || string(e.Value) != "1" {
			t.Fatalf("read after the connection went silent: %+v, %v", e, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		s.Slow(time.Second/2, 0)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = s.client.CompareAndSwap(ctx, "k", []byte("2"), 2)
		if !errors.Is(err, kvservice.ErrUnavailable) || !errors.Is(err, context.Canceled) {
			t.Fatalf("write given up by its caller: %v", err)
		}
		s.StartOutage(0)
		if _, err := s.client.Get(t.Context(), "k"); !errors.Is(err, kvservice.ErrUnavailable) {
			t.Fatalf("outage: %v", err)
		}
		if got := s.client.Counts(); got.Writes.Failures != 2 || got.Reads.Pending != 0 {
			t.Errorf("counts: %+v", got)
		}
	})
}

// TestSilentWatch guards that a watch on a connection that went silent fails
// within 3 s instead of trusting the connection for good.
func TestSilentWatch(t *testing.T) {
	run(t, kvservice.ClientOptions{}, func(t *testing.T, s *service) {
		s.put(t, "k", "1", 0)
		time.AfterFunc(time.Millisecond, func() { s.network.Blackhole(address, false) })
		start := time.Now()
		_, err := s.client.Watch(t.Context(), "k", 2)
		if took := time.Since(start); !errors.Is(err, kvservice.ErrUnavailable) || took > 3*time.Second {
			t.Fatalf("watch ended after %v with %v", took, err)
		}
	})
}

// TestBudget guards the share of the service that one process may use: calls
// beyond the budget wait, and a watcher in a loop does not flood a service that
// is down.
func TestBudget(t *testing.T) {
	budget := kvservice.RateLimits{
		Reads:   kvservice.RateLimit{PerSecond: 10, Burst: 5},
		Writes:  kvservice.RateLimit{PerSecond: 0.1, Burst: 1},
		Watches: kvservice.RateLimit{PerSecond: 100, Burst: 100},
	}
	run(t, kvservice.ClientOptions{RateLimits: budget}, func(t *testing.T, s *service) {
		s.put(t, "k", "1", 0)
		_, err := s.client.CompareAndSwap(t.Context(), "k", []byte("2"), 2)
		if !errors.Is(err, kvservice.ErrRateLimited) || errors.Is(err, kvservice.ErrUnavailable) {
			t.Errorf("write over budget: %v", err)
		}
		start := time.Now()
		for range 15 {
			if _, err := s.client.Get(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took < 900*time.Millisecond {
			t.Errorf("15 reads took %v, want at least 0.9 s at 10/s with a burst of 5", took)
		}
		s.StartOutage(0)
		before := s.client.Counts().Watches.Calls
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			_, _ = s.client.Watch(ctx, "k", 2)
		}
		if calls := s.client.Counts().Watches.Calls - before; calls < 10 || calls > 80 {
			t.Errorf("%d watches in a minute of outage, want 10 to 80", calls)
		}
		got := s.client.Counts()
		if got.Writes.Refused != 1 || got.Reads.Delayed == 0 {
			t.Errorf("counts: %+v", got)
		}
	})
}

// TestInstances guards the meaning of the list's fields.
func TestInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		list := instances.NewList(0)
		server := instances.Serve(list, listener)
		defer server.Close()
		want := kvservice.Instance{
			Name: "s1", Role: "sidecar", Upstream: "engine-1", FailureDomain: "fd-1", Region: "west",
			PeerAddress: "10.0.0.2:9000", AdminAddress: "10.0.0.2:9001", Incarnation: 7, Leaving: true,
		}
		list.Register(instances.Instance(want))
		client, err := kvservice.NewInstancesClient(kvservice.InstancesOptions{URL: "http://" + address, Dial: network.Dial})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		got, err := client.List(t.Context())
		if err != nil || len(got) != 1 || got[0] != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
		network.Disconnect(address)
		if _, err := client.List(t.Context()); !errors.Is(err, kvservice.ErrUnavailable) {
			t.Fatalf("outage: %v", err)
		}
	})
}
