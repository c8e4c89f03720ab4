package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// resettingServer answers each request early with a head that announces neither a length nor
// chunks and a part of a body, and resets the connection later, while the request is still
// being sent. pause returns the time between the two.
func resettingServer(t *testing.T, readFirst int, pause func() time.Duration) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, readFirst))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart")
				time.Sleep(pause())
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer that is taken for the whole: the kernel reports a reset
// once, and if the sender of the request gets it, the reader sees an orderly end.
func TestAnswerWhoseUploadWasReset(t *testing.T) {
	const tries = 60
	body := make([]byte, 8<<20)
	for _, readFirst := range []int{64, 64 << 10, 1 << 20} {
		for _, pause := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes read, %v", readFirst, pause), func(t *testing.T) {
				address := resettingServer(t, readFirst, func() time.Duration { return pause })
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
