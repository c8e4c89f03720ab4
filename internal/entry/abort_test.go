package entry

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
)

// Guards against a broken response that looks whole to a caller whose responses end with
// their connections.
func TestBrokenResponseIsResetForHTTP10(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	e := &Entry{log: log.New(io.Discard)}
	engine := gin.New()
	engine.Use(e.recover)
	engine.GET("/", func(c *gin.Context) {
		_, _ = io.WriteString(c.Writer, "part")
		c.Writer.Flush()
		// The caller gets the part before the reset.
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewUnstartedServer(engine)
	server.Config.ErrorLog = log.New(io.Discard).StandardLog()
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprint(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("looks complete with %q", body)
	}
}
