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

// testService is a simulated key-value service with a client that is connected to it.
type testService struct {
	*kvstore.Store
	network *memnet.Network
	client  *kvservice.Client
}

// runWithService runs test with a running service and a client in virtual time.
func runWithService(t *testing.T, o kvservice.ClientOptions, test func(t *testing.T, s *testService)) {
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
		test(t, &testService{Store: store, network: network, client: client})
	})
}

func (s *testService) mustPut(t *testing.T, key, value string, index uint64) {
	t.Helper()
	if ok, err := s.client.CompareAndSwap(t.Context(), key, []byte(value), index); err != nil || !ok {
		t.Fatalf("write %s at index %d: %t, %v", key, index, ok, err)
	}
}

// TestReadAndCompareAndSwap guards against errors in the protocol of reads and writes:
// absent keys, keys with special characters, values with arbitrary bytes, writes with a
// wrong index and values over the size limit.
func TestReadAndCompareAndSwap(t *testing.T) {
	runWithService(t, kvservice.ClientOptions{}, func(t *testing.T, s *testService) {
		const key, value = "fescueslip/a b?c%d/é", "\x00\xff{}"
		e, err := s.client.Get(t.Context(), key)
		if err != nil || e.Index != 0 {
			t.Fatalf("absent key: %+v, %v", e, err)
		}
		s.mustPut(t, key, value, 0)
		e, err = s.client.Get(t.Context(), key)
		if err != nil || string(e.Value) != value || e.Index == 0 || e.Key != key {
			t.Fatalf("read after the write: %+v, %v", e, err)
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

// TestWatch guards against a watch that misses a change or the creation of an absent key,
// that does not return the unchanged entry when the wait ends, or that does not end with
// its context.
func TestWatch(t *testing.T) {
	runWithService(t, kvservice.ClientOptions{}, func(t *testing.T, s *testService) {
		time.AfterFunc(time.Second, func() { s.mustPut(t, "k", "1", 0) })
		e, err := s.client.Watch(t.Context(), "k", 0)
		if err != nil || string(e.Value) != "1" {
			t.Fatalf("creation: %+v, %v", e, err)
		}
		time.AfterFunc(time.Second, func() { s.mustPut(t, "k", "2", e.Index) })
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

// TestUnavailable guards against a write that takes effect although the client reports a
// definite failure, and against a read that fails because one connection was lost.
func TestUnavailable(t *testing.T) {
	runWithService(t, kvservice.ClientOptions{}, func(t *testing.T, s *testService) {
		s.LoseAcks(1)
		_, err := s.client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		if !errors.Is(err, kvservice.ErrUnavailable) {
			t.Fatalf("lost acknowledgement: %v", err)
		}
		if e, err := s.client.Get(t.Context(), "k"); err != nil || string(e.Value) != "1" {
			t.Fatalf("read after the write: %+v, %v", e, err)
		}
		s.network.Blackhole(address, false)
		if e, err := s.client.Get(t.Context(), "k"); err != nil || string(e.Value) != "1" {
			t.Fatalf("read after the connection stopped delivering data: %+v, %v", e, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		s.Slow(time.Second/2, 0)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = s.client.CompareAndSwap(ctx, "k", []byte("2"), 2)
		if !errors.Is(err, kvservice.ErrUnavailable) || !errors.Is(err, context.Canceled) {
			t.Fatalf("write cancelled by its caller: %v", err)
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

// TestSilentWatch guards against a watch that hangs on a connection that no longer
// delivers data. It must fail within 3 s.
func TestSilentWatch(t *testing.T) {
	runWithService(t, kvservice.ClientOptions{}, func(t *testing.T, s *testService) {
		s.mustPut(t, "k", "1", 0)
		time.AfterFunc(time.Millisecond, func() { s.network.Blackhole(address, false) })
		start := time.Now()
		_, err := s.client.Watch(t.Context(), "k", 2)
		if took := time.Since(start); !errors.Is(err, kvservice.ErrUnavailable) || took > 3*time.Second {
			t.Fatalf("watch ended after %v with %v", took, err)
		}
	})
}

// TestRateLimits guards against a process that overloads the service: calls over the
// rate limit must wait, and a watcher in a loop must not flood a service that is down.
func TestRateLimits(t *testing.T) {
	limits := kvservice.RateLimits{
		Reads:   kvservice.RateLimit{PerSecond: 10, Burst: 5},
		Writes:  kvservice.RateLimit{PerSecond: 0.1, Burst: 1},
		Watches: kvservice.RateLimit{PerSecond: 100, Burst: 100},
	}
	runWithService(t, kvservice.ClientOptions{RateLimits: limits}, func(t *testing.T, s *testService) {
		s.mustPut(t, "k", "1", 0)
		_, err := s.client.CompareAndSwap(t.Context(), "k", []byte("2"), 2)
		if !errors.Is(err, kvservice.ErrRateLimited) || errors.Is(err, kvservice.ErrUnavailable) {
			t.Errorf("write over the rate limit: %v", err)
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

// TestListInstances guards against fields of the instance list that are decoded wrongly,
// and against an outage that is not reported as one.
func TestListInstances(t *testing.T) {
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
