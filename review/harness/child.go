package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform/emulator"
)

// childCommand is the first argument of a stand-in that runs as a process of its own.
const childCommand = "server"

// Child is a decode server in a process of its own, so that it can be killed. Its streams
// have neither a length nor chunks: they end with their connection.
type Child struct {
	ID, Address string
	c           *Case
	cmd         *exec.Cmd
}

// ServeChild runs the stand-in and does not return, if the arguments ask for it.
func ServeChild() {
	if len(os.Args) != 4 || os.Args[1] != childCommand {
		return
	}
	server := &childServer{id: os.Args[3]}
	if err := http.ListenAndServe(os.Args[2], server); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
}

// StartChild starts a decode server at a free address.
func (c *Case) StartChild(id string) (*Child, error) {
	address, err := freePort("tcp")
	if err != nil {
		return nil, err
	}
	child := &Child{ID: id, Address: address, c: c}
	return child, child.Start()
}

// Start starts the process and waits until it accepts connections.
func (d *Child) Start() error {
	d.cmd = exec.Command(os.Args[0], childCommand, d.Address, d.ID)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.c.Logf("server %s runs as process %d", d.ID, d.cmd.Process.Pid)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", d.Address); err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return fmt.Errorf("server %s does not start", d.ID)
}

// Kill ends the process at once.
func (d *Child) Kill() {
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.c.Logf("server %s is killed", d.ID)
}

// childServer answers the calls to the stand-in.
type childServer struct{ id string }

func (s *childServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fescueslip-Request-Id")
	if id != "" {
		w.Header().Set("Fescueslip-Request-Id", id)
	}
	if want := r.Header.Get(Names.ExpectInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	switch {
	case r.URL.Path == "/report":
		WriteJSON(w, http.StatusOK, map[string]any{"phase": "decode", "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 100615, Names.HandleCountField: 0})
	case r.URL.Path == "/order":
		// Every order is refused: another one is in progress.
		w.WriteHeader(http.StatusConflict)
	case r.URL.Path == Names.ReservePath:
		WriteJSON(w, http.StatusOK, map[string]any{"hold": fmt.Sprintf("h%d", time.Now().UnixNano())})
	case strings.HasPrefix(r.URL.Path, Names.ReleasePath), strings.HasPrefix(r.URL.Path, Names.HandlePath):
	default:
		s.stream(w, r, id)
	}
}

// stream fetches the prompt's memory and sends the events. Each one is written at once.
func (s *childServer) stream(w http.ResponseWriter, r *http.Request, id string) {
	if address, handle, ok := strings.Cut(r.Header.Get(Names.KVSource), "/"); ok {
		req, err := http.NewRequest(http.MethodDelete, "http://"+address+Names.HandlePath+handle, nil)
		if err != nil {
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		_ = resp.Body.Close()
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" +
		"Fescueslip-Request-Id: " + id + "\r\n" + Names.Signature + ": " + s.id + "." + id + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n := range events {
		if _, err := io.WriteString(conn, emulator.EventText(id, n+1)); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}
