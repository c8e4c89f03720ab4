package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/rawserver"
)

// serveRaw starts a server of raw connections and returns its address.
func serveRaw(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	s, err := rawserver.Start(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// Guards against a part of an answer that is taken for the whole: the kernel reports a reset
// once, and if the sender of the request gets it, the reader sees an orderly end.
func TestAnswerWhoseUploadWasReset(t *testing.T) {
	const tries = 60
	body := make([]byte, 8<<20)
	for _, readFirst := range []int{64, 64 << 10, 1 << 20} {
		for _, pause := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes read, %v", readFirst, pause), func(t *testing.T) {
				address := serveRaw(t, rawserver.AnswerAndReset(readFirst, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart", pause))
				p := NewPool(nil)
				defer p.CloseIdle("")
				whole := 0
				for range tries {
					resp, err := p.Do(context.Background(), &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: body, EchoHeader: "X-Id", EchoID: "a"})
					if err != nil {
						continue
					}
					got, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil {
						whole++
						if whole == 1 {
							t.Logf("%q was taken for a whole answer", got)
						}
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d broken answers were taken for whole ones", whole, tries)
				}
			})
		}
	}
}
