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

// withServer runs a test with an HTTPClient and a server for h, on an in-memory
// network and in virtual time.
func withServer(t *testing.T, h http.Handler, test func(t *testing.T, n *memnet.Network, c *engine.HTTPClient)) {
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

// Guards against calls that wait forever on a connection that passes no data,
// and against calls that reuse such a connection.
func TestBlackholedConnectionsAreReplaced(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{}") })
	withServer(t, h, func(t *testing.T, n *memnet.Network, c *engine.HTTPClient) {
		ctx := context.Background()
		results := make(chan error)
		for range 3 { // concurrent calls, so that several connections become idle
			go func() { results <- c.Health(ctx) }()
		}
		for range 3 {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
		n.Blackhole("engine:1", false)
		begin := time.Now()
		if err := c.Health(ctx); !errors.Is(err, engine.ErrTimeout) || time.Since(begin) > engine.DefaultCallTimeout {
			t.Fatalf("call on a blackholed connection: %v after %v, want ErrTimeout", err, time.Since(begin))
		}
		if err := c.Health(ctx); err != nil {
			t.Fatalf("call after the timeout: %v", err)
		}
		n.Disconnect("engine:1")
		if err := c.Health(ctx); !errors.Is(err, engine.ErrUnreachable) {
			t.Fatalf("health check on a disconnected network: %v, want ErrUnreachable", err)
		}
		if _, err := c.Prefill(ctx, engine.PrefillRequest{Timeout: time.Second}); !errors.Is(err, engine.ErrUnreachable) {
			t.Fatalf("prefill on a disconnected network: %v, want ErrUnreachable", err)
		}
	})
}

// Guards against a decode stream that waits forever, that ends early without an
// error, or that hides an error that the engine reported.
func TestDecodeStreamEnd(t *testing.T) {
	cases := []struct {
		name  string
		serve func(w http.ResponseWriter, r *http.Request)
		lines int
		check func(err error) bool
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n"+`{"index":1,"finish_reason":"stop"}`+"\n")
		}, 2, func(err error) bool { return err != nil && !errors.Is(err, engine.ErrUnreachable) }},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n")
		}, 1, func(err error) bool { return errors.Is(err, engine.ErrUnreachable) }},
		{"idle", func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 1, func(err error) bool { return errors.Is(err, engine.ErrTimeout) }},
		{"no memory in mid-stream", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"index":0,"text":"a"}`+"\n"+`{"error":{"code":"no_memory"}}`+"\n")
		}, 1, func(err error) bool { return engine.IsCode(err, engine.CodeNoMemory) }},
		{"rejected", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": "not_imported"}})
		}, 0, func(err error) bool { return engine.IsCode(err, engine.CodeNotImported) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withServer(t, http.HandlerFunc(c.serve), func(t *testing.T, _ *memnet.Network, hc *engine.HTTPClient) {
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
					t.Fatalf("read %d lines, then %v", lines, err)
				}
			})
		})
	}
}
