package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// oddHeads returns heads that no server can have meant as that of an answer.
func oddHeads() []string {
	var heads []string
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "777", "999"} {
		heads = append(heads, "HTTP/1.1 "+status+" Odd\r\nX-Id: a\r\n")
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/3.0", "HTTP/9.9"} {
		heads = append(heads, version+" 200 OK\r\nX-Id: a\r\n")
	}
	return append(heads, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: -1\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: gzip\r\n", "HTTP/1.1 -20 OK\r\nX-Id: a\r\n", "HTTP/1.1 20 OK\r\nX-Id: a\r\n")
}

// Guards against bytes that are no answer and are taken for one, or whose body is parsed as
// the head of the answer: the exchange must fail as one whose request may have been executed.
func TestHeadsThatAreNoAnswer(t *testing.T) {
	// The body looks like an answer to the request.
	const body = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nfalse"
	for _, head := range oddHeads() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, kept %t", head, kept), func(t *testing.T) {
				odd := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
				responses := []string{odd}
				if kept {
					responses = []string{"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", odd}
				}
				address, _ := startUpstream(t, responses...)
				p := NewPool(nil)
				defer p.CloseIdle("")
				request := &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", EchoHeader: "X-Id", EchoID: "a", MaxIdle: time.Minute}
				if kept {
					resp, err := p.Do(context.Background(), request)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				resp, err := p.Do(context.Background(), request)
				if err == nil {
					got, _ := io.ReadAll(resp.Body)
					t.Fatalf("status %d with body %q passed as an answer", resp.Status, got)
				}
				var failed *Error
				if !errors.As(err, &failed) || !failed.Sent {
					t.Errorf("error %v; want one of a request that was sent", err)
				}
				if p.open[address] != 0 {
					t.Error("the connection was kept")
				}
			})
		}
	}
}
