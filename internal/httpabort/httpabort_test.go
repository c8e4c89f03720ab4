package httpabort_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"

	"github.com/fescueslip/fescueslip/internal/httpabort"
)

// Guards against an aborted response that looks whole, also behind a wrapper of the
// server's writer.
func TestAbortedResponseIsNotWhole(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	abort := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		// The client gets the part before the reset.
		time.Sleep(20 * time.Millisecond)
		httpabort.Abort(w, r, log.New(io.Discard))
	}
	engine := gin.New()
	engine.GET("/", func(c *gin.Context) { abort(c.Writer, c.Request) })
	for name, handler := range map[string]http.Handler{"plain": http.HandlerFunc(abort), "gin": engine} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" HTTP "+version, func(t *testing.T) {
				server := httptest.NewUnstartedServer(handler)
				server.Config.ErrorLog = log.New(io.Discard).StandardLog()
				server.Start()
				defer server.Close()
				c, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = resp.Body.Close() }()
				if body, err := io.ReadAll(resp.Body); err == nil || string(body) != "part" {
					t.Errorf("body %q, error %v; want the part and an error", body, err)
				}
			})
		}
	}
}
