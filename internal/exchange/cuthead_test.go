package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/rawserver"
)

// framedAnswers returns answers with the body "whole", by framing, and the length of their
// heads.
func framedAnswers() map[string]string {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/plain\r\n"
	return map[string]string{
		"length":  head + "Content-Length: 5\r\n\r\nwhole",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
	}
}

// cutter serves connections: it answers the first requests of each in full, and the last one
// with a part of the answer, after which it closes the connection in order or resets it.
func cutter(t *testing.T, full int, answer func() (string, bool)) string {
	t.Helper()
	return serveRaw(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for i := range full + 1 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if i < full {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
			}
		}
		part, reset := answer()
		_, _ = io.WriteString(c, part)
		if reset {
			rawserver.ResetOnClose(c)
		}
	})
}

// Guards against an answer that its server broke off, in its head or after it, and that is
// taken for whole: cut at each byte, on a new and on a kept connection, closed in order and
// reset.
func TestAnswerCutAtEachByte(t *testing.T) {
	for framing, answer := range framedAnswers() {
		for _, kept := range []int{0, 1} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept %d, reset %t", framing, kept, reset), func(t *testing.T) {
					var cut atomic.Int64
					address := cutter(t, kept, func() (string, bool) { return answer[:cut.Load()], reset })
					p := NewPool(nil)
					defer p.CloseIdle("")
					request := &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "X-Id", EchoID: "a", MaxIdle: time.Minute}
					for ; cut.Load() < int64(len(answer)); cut.Add(1) {
						for range kept {
							resp, err := p.Do(context.Background(), request)
							if err != nil {
								t.Fatal(err)
							}
							_, _ = io.Copy(io.Discard, resp.Body)
						}
						resp, err := p.Do(context.Background(), request)
						if err != nil {
							continue
						}
						if got, err := io.ReadAll(resp.Body); err == nil {
							t.Errorf("%d bytes of %d passed as an answer with status %d and body %q", cut.Load(), len(answer), resp.Status, got)
						}
						_ = resp.Body.Close()
					}
				})
			}
		}
	}
}
