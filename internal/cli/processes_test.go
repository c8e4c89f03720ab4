package cli_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

const processesTicket = `ticket: 1
objects:
  - {kind: pool, name: prefill, spec: {role: prefill}}
  - {kind: pool, name: decode, spec: {role: decode}}
  - {kind: upstream, name: prefill-1, spec: {pool: prefill, kind: model}}
  - {kind: upstream, name: decode-1, spec: {pool: decode, kind: model}}
  - {kind: upstream, name: decode-2, spec: {pool: decode, kind: model}}
  - {kind: model, name: m, spec: {prefill_pool: prefill, decode_pool: decode, max_prompt_tokens: 30000, max_output_tokens: 400}}
  - {kind: caller, name: a, spec: {key_sha256: %x, share: 1}}
`

// system runs the stand-ins in the test and each role in a process of its own.
type system struct {
	t      *testing.T
	bin    string
	dir    string
	kv     *kvstore.Server
	list   *instances.Server
	params costmodel.Params
	ports  int
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, bin: buildBinary(t), dir: t.TempDir(), params: costmodel.Default(), ports: freeBlock(t)*portBlock + 80}
	s.kv = kvstore.Serve(kvstore.NewStore(kvstore.Options{}), listenLoopback(t), nil)
	t.Cleanup(func() { _ = s.kv.Close() })
	s.list = instances.Serve(instances.NewList(0), listenLoopback(t))
	t.Cleanup(func() { _ = s.list.Close() })
	ticket := filepath.Join(s.dir, "ticket.yaml")
	s.write(ticket, fmt.Sprintf(processesTicket, sha256.Sum256([]byte("key-a"))))
	out, err := exec.Command(s.bin, "ticket", "apply", "-f", ticket, "-kv", s.kvURL()).CombinedOutput()
	if err != nil {
		t.Fatalf("ticket apply: %v\n%s", err, out)
	}
	return s
}

func (s *system) kvURL() string { return "http://" + s.kv.Addr().String() }

func (s *system) write(path, content string) {
	s.t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) port() string {
	s.ports++
	return fmt.Sprintf("127.0.0.1:%d", s.ports)
}

// process is one running fescueslip process.
type process struct {
	cmd           *exec.Cmd
	caller, admin string
}

// serve starts a process with the given lines of settings and lists it.
func (s *system) serve(name, role, extra, upstream string) *process {
	s.t.Helper()
	p := &process{admin: s.port()}
	peer := s.port()
	listen := fmt.Sprintf("{peer: %q, admin: %q}", peer, p.admin)
	if role == "entry" {
		p.caller = s.port()
		listen = fmt.Sprintf("{caller: %q, peer: %q, admin: %q}", p.caller, peer, p.admin)
	}
	config := filepath.Join(s.dir, name+".yaml")
	s.write(config, fmt.Sprintf("role: %s\ninstance: %s\nfailure_domain: d1\nregion: r1\nlisten: %s\n"+
		"platform: {kv: %q, instances: %q}\npeer_secret: test-secret-0123456789\nlog: {format: json, level: warn}\n%s",
		role, name, listen, s.kvURL(), "http://"+s.list.Addr().String(), extra))
	p.cmd = exec.Command(s.bin, "serve", "-config", config)
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	s.list.Register(instances.Instance{Name: name, Role: role, Upstream: upstream, FailureDomain: "d1", Region: "r1",
		PeerAddress: peer, AdminAddress: p.admin, Incarnation: 1})
	return p
}

func (s *system) engine(name string, role engine.Role) *process {
	s.t.Helper()
	e := engine.New(engine.Options{Name: name, Listener: listenLoopback(s.t), Params: s.params, Role: role})
	s.t.Cleanup(func() { _ = e.Close() })
	return s.serve("sidecar-"+name, "sidecar", fmt.Sprintf("upstream: {name: %s, kind: model, address: %q}\n", name, e.Addr()), name)
}

// request opens a streamed completion; it retries while the system starts.
func (s *system) request(ctx context.Context, entry *process, prompt string, tokens int) io.ReadCloser {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.caller+"/v1/completions", strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key-a")
		resp, err := http.DefaultClient.Do(req)
		if err == nil && resp.StatusCode == http.StatusOK {
			return resp.Body
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		if ctx.Err() != nil {
			s.t.Fatalf("no answer before the test's limit: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a system that works in one process only: each role runs in a
// process of its own, a decode sidecar is killed in the middle of an answer, and
// the entry is told to stop in the middle of that answer.
func TestSeparateProcesses(t *testing.T) {
	s := newSystem(t)
	s.engine("prefill-1", engine.RolePrefill)
	decodes := map[string]*process{"decode-1": s.engine("decode-1", engine.RoleDecode), "decode-2": s.engine("decode-2", engine.RoleDecode)}
	entry := s.serve("entry-1", "entry", "", "")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	const prompt, tokens = "a prompt whose answer crosses two processes", 150
	want, _ := s.params.Output(prompt, tokens)
	body := s.request(ctx, entry, prompt, tokens)
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	var got strings.Builder
	done := false
	for n := 0; lines.Scan(); n++ {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			break
		}
		got.WriteString(completionText(t, data))
		if n == 4 {
			_ = decodes[s.runningAt(t, decodes)].cmd.Process.Kill()
			if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !done || got.String() != want {
		t.Errorf("end of stream %t, got %q, want %q", done, got.String(), want)
	}
	if err := entry.cmd.Wait(); err != nil {
		t.Errorf("the entry did not stop in order: %v", err)
	}
}
