package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/standin/server"
)

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func get(addr string) (string, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against faults that differ on real sockets: an outage must refuse
// dials and reset connections, and cancel the work of the calls in progress.
func TestOutageOverTCP(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	addr := l.Addr().String()
	started, ended := make(chan struct{}), make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(started)
			<-r.Context().Done()
			ended <- server.Life(r.Context()).Err()
			return
		}
		_, _ = io.WriteString(w, "hello")
	})
	s := server.New(server.Options{
		Listener: l,
		Relisten: func() (net.Listener, error) { return net.Listen("tcp", addr) },
		Handler:  handler,
	})
	if body, err := get(addr); body != "hello" {
		t.Fatalf("before the outage: %q, %v", body, err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := get(addr + "/wait")
		result <- err
	}()
	<-started
	s.StartOutage(0)
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the life of the server: %v", err)
	}
	if err := <-result; err == nil {
		t.Error("a call in progress was answered")
	}
	if _, err := get(addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("during the outage: %v", err)
	}
	s.EndOutage()
	for {
		// Opening the listener again takes a moment.
		if body, err := get(addr); body == "hello" {
			break
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("after the outage: %q, %v", body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against a silent connection that ends when the server has answered.
func TestSilenceOverTCP(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	answered := make(chan struct{}, 2)
	release := make(chan struct{})
	s := server.New(server.Options{Listener: l, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/old" {
			answered <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "hello")
	})})
	old, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	_, _ = io.WriteString(old, "GET /old HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	<-answered
	s.Blackhole(0, false)
	close(release)
	if body, err := get(l.Addr().String()); body != "hello" {
		t.Errorf("new connection: %q, %v", body, err)
	}
	_ = old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := old.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the silent connection passed %d bytes, %v", n, err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
