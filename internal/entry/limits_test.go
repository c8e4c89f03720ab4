package entry

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

const testKey = "test-key"

// testEntry serves an entry without upstreams on an in-memory network.
func testEntry(t *testing.T) (dial func() net.Conn, stop func()) {
	t.Helper()
	snap := config.BuildSnapshot(1, config.DecodedObjects{
		Callers: []*config.Caller{{Name: "a", KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(testKey))), Share: 1}},
		Models:  []*config.Model{{Name: "m", PrefillPool: "p", DecodePool: "d", MaxPromptTokens: 100, MaxOutputTokens: 10}},
	})
	e := New(Options{
		Instance:   "entry-1",
		Config:     config.StaticSource{Fixed: snap},
		Members:    membership.NewTable(),
		Quarantine: quarantine.NewReplica(nil, log.New(io.Discard)),
		Limits:     DefaultLimits(),
		Logger:     log.New(io.Discard),
	})
	n := memnet.New(0)
	l, err := n.Listen("entry:80")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	dial = func() net.Conn {
		c, err := n.Dial(t.Context(), "tcp", "entry:80")
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	return dial, func() { _ = srv.Close() }
}

// Guards against a caller that sends its body slowly or not at all and so holds
// a connection forever: the refusal must not wait for the rest of the body.
func TestSlowBodyIsRefusedInTime(t *testing.T) {
	cases := []struct {
		name, path, key string
		want            string
	}{
		{"model request", "/v1/completions", testKey, "408"},
		{"wrong key", "/v1/completions", "nobody", "401"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, stop := testEntry(t)
				defer stop()
				conn := dial()
				defer func() { _ = conn.Close() }()
				begin := time.Now()
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", c.path, c.key)
				reply, err := io.ReadAll(conn)
				if err != nil {
					t.Fatal(err)
				}
				if !strings.HasPrefix(string(reply), "HTTP/1.1 "+c.want) {
					t.Errorf("got %q", reply)
				}
				if took := time.Since(begin); took > 2*DefaultLimits().BodyTimeout {
					t.Errorf("refused after %s", took)
				}
			})
		})
	}
}

// Guards against an oversized header that is accepted, or refused without the
// error code header_too_large.
func TestOversizedHeaderIsRefused(t *testing.T) {
	cases := []struct{ name, header string }{
		{"many fields", strings.Repeat("X-A: 1\r\n", DefaultLimits().MaxHeaderCount+1)},
		{"many bytes", "X-A: " + strings.Repeat("a", DefaultLimits().MaxHeaderBytes) + "\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, stop := testEntry(t)
				defer stop()
				conn := dial()
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n", c.header)
				reply, err := io.ReadAll(conn)
				if err != nil {
					t.Fatal(err)
				}
				if !strings.HasPrefix(string(reply), "HTTP/1.1 431") || !strings.Contains(string(reply), `"code":"header_too_large"`) {
					t.Errorf("got %q", reply)
				}
			})
		})
	}
}
