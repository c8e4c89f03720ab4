package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/memnet"
)

// withServer runs a test against a handler in virtual time.
func withServer(t *testing.T, h http.Handler, test func(t *testing.T, n *memnet.Network, c *engine.HTTP)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(0)
		l, err := n.Listen("engine:1")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: h}
		go func() { _ = srv.Serve(l) }()
		c := engine.NewHTTPClient(engine.HTTPOptions{BaseURL: "http://engine:1", Dial: n.Dial})
		defer func() {
			c.Close()
			_ = srv.Close()
			time.Sleep(time.Minute)
		}()
		test(t, n, c)
	})
}

// Guards against calls that wait for ever on a silent connection, and against
// using such a connection again.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{}") })
	withServer(t, h, func(t *testing.T, n *memnet.Network, c *engine.HTTP) {
		ctx := context.Background()
		ends := make(chan error)
		for range 3 { // several connections become idle
			go func() { ends <- c.Health(ctx) }()
		}
		for range 3 {
			if err := <-ends; err != nil {
				t.Fatal(err)
			}
		}
		n.Blackhole("engine:1", false)
		begin := time.Now()
		if err := c.Health(ctx); !errors.Is(err, engine.ErrTimeout) || time.Since(begin) > engine.DefaultCallTimeout {
			t.Fatalf("got %v after %v", err, time.Since(begin))
		}
		if err := c.Health(ctx); err != nil {
			t.Fatalf("the next call: %v", err)
		}
		n.Disconnect("engine:1")
		if err := c.Health(ctx); !errors.Is(err, engine.ErrUnreachable) {
			t.Fatalf("got %v, want unreachable", err)
		}
		if _, err := c.Prefill(ctx, engine.PrefillRequest{Timeout: time.Second}); !errors.Is(err, engine.ErrUnreachable) {
			t.Fatalf("got %v, want unreachable", err)
		}
	})
}

// Guards against a decode that waits for ever, ends in part without an error,
// or hides the engine's own error.
func TestDecodeEnds(t *testing.T) {
	cases := []struct {
		name  string
		serve func(w http.ResponseWriter, r *http.Request)
		lines int
		check func(err error) bool
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n"+`{"index":1,"finish_reason":"stop"}`+"\n")
		}, 2, func(err error) bool { return err != nil && !errors.Is(err, engine.ErrUnreachable) }},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n")
		}, 1, func(err error) bool { return errors.Is(err, engine.ErrUnreachable) }},
		{"silent", func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 1, func(err error) bool { return errors.Is(err, engine.ErrTimeout) }},
		{"no memory in mid-stream", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n"+`{"error":{"code":"no_memory"}}`+"\n")
		}, 1, func(err error) bool { return engine.IsCode(err, engine.CodeNoMemory) }},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": "not_imported"}})
		}, 0, func(err error) bool { return engine.IsCode(err, engine.CodeNotImported) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, http.HandlerFunc(c.serve), func(t *testing.T, _ *memnet.Network, hc *engine.HTTP) {
				s, err := hc.Decode(context.Background(), engine.DecodeRequest{RequestID: "r/1"})
				lines := 0
				for err == nil {
					if _, err = s.Next(); err == nil {
						lines++
					}
				}
				if s != nil {
					_ = s.Close()
				}
				if lines != c.lines || !c.check(err) {
					t.Fatalf("%d lines, then %v", lines, err)
				}
			})
		})
	}
}
