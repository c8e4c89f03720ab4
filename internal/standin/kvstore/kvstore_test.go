package kvstore_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

// Guards against a swap that takes place at a stale index.
func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	s := kvstore.NewStore(kvstore.Options{})
	defer s.Close()
	steps := []struct {
		name  string
		index uint64
		want  bool
	}{
		{"create", 0, true}, {"create again", 0, false}, {"stale", 1, false}, {"current", 2, true}, {"repeated", 2, false},
	}
	for _, step := range steps {
		if ok, err := s.CompareAndSwap(ctx, "k", []byte(step.name), step.index); ok != step.want || err != nil {
			t.Errorf("%s: swap at %d = %v, %v", step.name, step.index, ok, err)
		}
	}
	if e, _ := s.Get(ctx, "k"); string(e.Value) != "current" || e.Index != 3 {
		t.Errorf("entry = %+v", e)
	}
	if _, err := s.CompareAndSwap(ctx, "k", make([]byte, kvstore.MaxValueBytes+1), 3); !errors.Is(err, kvstore.ErrTooLarge) {
		t.Errorf("large value: %v", err)
	}
}

// Guards against faults that drop the write with the answer, or apply it at
// the wrong time: callers must be tested against writes that did take effect.
func TestWriteFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := kvstore.NewStore(kvstore.Options{Latency: 3 * time.Millisecond})
		defer s.Close()
		value := func(key string) string { e, _ := s.Get(ctx, key); return string(e.Value) }

		s.LoseAcks(1)
		if _, err := s.CompareAndSwap(ctx, "lost", []byte("v"), 0); !errors.Is(err, kvstore.ErrNoAnswer) || value("lost") != "v" {
			t.Errorf("lost acknowledgement: %v, value %q", err, value("lost"))
		}
		s.DelayWrites(1, time.Second)
		_, err := s.CompareAndSwap(ctx, "late", []byte("v"), 0)
		if !errors.Is(err, kvstore.ErrNoAnswer) || value("late") != "" {
			t.Errorf("late write: %v, value %q before its time", err, value("late"))
		}
		time.Sleep(2 * time.Second)
		if value("late") != "v" {
			t.Error("late write has not taken effect")
		}
		s.Slow(time.Second, 0)
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		if _, err := s.CompareAndSwap(short, "slow", []byte("v"), 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("slow write: %v", err)
		}
		time.Sleep(2 * time.Second)
		if s.Slow(0, 0); value("slow") != "v" {
			t.Error("a write whose caller gave up has not taken effect")
		}
		before := s.Counters().Conflicts
		s.DuplicateWrites(time.Second)
		if ok, err := s.CompareAndSwap(ctx, "twice", []byte("v"), 0); !ok || err != nil {
			t.Errorf("duplicated write: %v, %v", ok, err)
		}
		if time.Sleep(2 * time.Second); s.Counters().Conflicts != before+1 {
			t.Error("the duplicate was not delivered")
		}
	})
}

// Guards against a client that cannot tell an absent key, a lost answer, a
// rate limit and an outage apart, and against a watch that misses a change.
func TestHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(0)
		l, err := network.Listen("kv:80")
		if err != nil {
			t.Fatal(err)
		}
		s := kvstore.Serve(kvstore.NewStore(kvstore.Options{WritesPerSecond: 8}), l, nil)
		defer s.Close()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		call := func(method, path, body string) (int, string, string) {
			req, _ := http.NewRequest(method, "http://kv:80"+path, bytes.NewBufferString(body))
			resp, err := (&http.Client{Transport: transport}).Do(req)
			if err != nil {
				return 0, "", ""
			}
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(b), resp.Header.Get("X-Consul-Index")
		}
		expect := func(name, method, path, body string, status int, want string) {
			t.Helper()
			if got, text, _ := call(method, path, body); got != status || text != want {
				t.Errorf("%s: %d %q, want %d %q", name, got, text, status, want)
			}
		}
		const stored = `[{"Key":"a/b","Value":"eA==","ModifyIndex":2}]` + "\n"
		expect("absent", "GET", "/v1/kv/a/b", "", 404, "")
		expect("create", "PUT", "/v1/kv/a/b?cas=0", "x", 200, "true")
		expect("create again", "PUT", "/v1/kv/a/b?cas=0", "y", 200, "false")
		expect("above the rate", "PUT", "/v1/kv/a/b?cas=0", "y", 429, kvstore.ErrRateLimited.Error()+"\n")
		expect("present", "GET", "/v1/kv/a/b", "", 200, stored)
		start := time.Now()
		expect("wait ends", "GET", "/v1/kv/a/b?index=2&wait=10s", "", 200, stored)
		if took := time.Since(start); took != 10*time.Second {
			t.Errorf("blocking read took %v", took)
		}
		start = time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _ = s.CompareAndSwap(t.Context(), "a/b", []byte("z"), 2)
		}()
		expect("watch", "GET", "/v1/kv/a/b?index=2&wait=10s", "", 200, `[{"Key":"a/b","Value":"eg==","ModifyIndex":3}]`+"\n")
		if took := time.Since(start); took != time.Second {
			t.Errorf("the change was seen after %v", took)
		}
		s.LoseAcks(1)
		expect("lost acknowledgement", "PUT", "/v1/kv/lost?cas=0", "x", 0, "")
		expect("read back", "GET", "/v1/kv/lost", "", 200, `[{"Key":"lost","Value":"eA==","ModifyIndex":4}]`+"\n")
		if err := s.Faults()["down"](5 * time.Second); err != nil {
			t.Fatal(err)
		}
		expect("down", "GET", "/v1/kv/a/b", "", 0, "")
		// Beyond the instant of the restart: timers of one instant fire in any order.
		time.Sleep(5*time.Second + time.Millisecond)
		expect("up again", "GET", "/v1/kv/lost", "", 200, `[{"Key":"lost","Value":"eA==","ModifyIndex":4}]`+"\n")
	})
}
