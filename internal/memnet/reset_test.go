package memnet

import (
	"context"
	"io"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
)

// Guards against a stand-in that reports a reset more often than a kernel: the end that is told
// by a write reads an orderly end afterwards, and the other way round.
func TestResetIsReportedOnce(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, writeFirst := range []bool{true, false} {
		n := New(0)
		l, err := n.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		client, err := n.Dial(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(server, "part")
		_ = server.(*conn).SetLinger(0)
		_ = server.Close()
		if writeFirst {
			if _, err := io.WriteString(client, "x"); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("write after a reset: %v", err)
			}
		}
		got, err := io.ReadAll(client)
		if string(got) != "part" || errors.Is(err, syscall.ECONNRESET) == writeFirst {
			t.Errorf("written first %t: read %q, %v", writeFirst, got, err)
		}
	}
}
