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

const initialTicket = `ticket: 1
objects:
  - {kind: pool, name: prefill, spec: {role: prefill}}
  - {kind: pool, name: decode, spec: {role: decode}}
  - {kind: upstream, name: prefill-1, spec: {pool: prefill, kind: model}}
  - {kind: upstream, name: decode-1, spec: {pool: decode, kind: model}}
  - {kind: upstream, name: decode-2, spec: {pool: decode, kind: model}}
  - {kind: model, name: m, spec: {prefill_pool: prefill, decode_pool: decode, max_prompt_tokens: 30000, max_output_tokens: 400}}
  - {kind: caller, name: a, spec: {key_sha256: %x, share: 1}}
`

// testCluster runs the stand-ins in the test process and each entry and sidecar in a
// process of its own.
type testCluster struct {
	t            *testing.T
	bin          string
	dir          string
	kv           *kvstore.Server
	instanceList *instances.Server
	params       costmodel.Params
	lastPort     int
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, bin: buildBinary(t), dir: t.TempDir(), params: costmodel.Default(), lastPort: findFreePortBlock(t)*portBlockSize + 80}
	c.kv = kvstore.Serve(kvstore.NewStore(kvstore.Options{}), listenLoopback(t), nil)
	t.Cleanup(func() { _ = c.kv.Close() })
	c.instanceList = instances.Serve(instances.NewList(0), listenLoopback(t))
	t.Cleanup(func() { _ = c.instanceList.Close() })
	ticket := filepath.Join(c.dir, "ticket.yaml")
	c.writeFile(ticket, fmt.Sprintf(initialTicket, sha256.Sum256([]byte("key-a"))))
	out, err := exec.Command(c.bin, "ticket", "apply", "-f", ticket, "-kv", c.kvURL()).CombinedOutput()
	if err != nil {
		t.Fatalf("ticket apply: %v\n%s", err, out)
	}
	return c
}

func (c *testCluster) kvURL() string { return "http://" + c.kv.Addr().String() }

func (c *testCluster) writeFile(path, content string) {
	c.t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testCluster) nextAddress() string {
	c.lastPort++
	return fmt.Sprintf("127.0.0.1:%d", c.lastPort)
}

// process is a running fescueslip process with the addresses of its caller and admin
// ports.
type process struct {
	cmd           *exec.Cmd
	caller, admin string
}

// startProcess starts a process with the extra lines of settings and adds it to the
// instance list.
func (c *testCluster) startProcess(name, role, extra, upstream string) *process {
	c.t.Helper()
	p := &process{admin: c.nextAddress()}
	peer := c.nextAddress()
	listen := fmt.Sprintf("{peer: %q, admin: %q}", peer, p.admin)
	if role == "entry" {
		p.caller = c.nextAddress()
		listen = fmt.Sprintf("{caller: %q, peer: %q, admin: %q}", p.caller, peer, p.admin)
	}
	config := filepath.Join(c.dir, name+".yaml")
	c.writeFile(config, fmt.Sprintf("role: %s\ninstance: %s\nfailure_domain: d1\nregion: r1\nlisten: %s\n"+
		"platform: {kv: %q, instances: %q}\npeer_secret: test-secret-0123456789\nlog: {format: json, level: warn}\n%s",
		role, name, listen, c.kvURL(), "http://"+c.instanceList.Addr().String(), extra))
	p.cmd = exec.Command(c.bin, "serve", "-config", config)
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		if p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	c.instanceList.Register(instances.Instance{Name: name, Role: role, Upstream: upstream, FailureDomain: "d1", Region: "r1",
		PeerAddress: peer, AdminAddress: p.admin, Incarnation: 1})
	return p
}

func (c *testCluster) startModelUpstream(name string, role engine.Role) *process {
	c.t.Helper()
	e := engine.New(engine.Options{Name: name, Listener: listenLoopback(c.t), Params: c.params, Role: role})
	c.t.Cleanup(func() { _ = e.Close() })
	return c.startProcess("sidecar-"+name, "sidecar", fmt.Sprintf("upstream: {name: %s, kind: model, address: %q}\n", name, e.Addr()), name)
}

// openCompletion sends a streamed completion request and retries it while the cluster
// starts.
func (c *testCluster) openCompletion(ctx context.Context, entry *process, prompt string, tokens int) io.ReadCloser {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.caller+"/v1/completions", strings.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
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
			c.t.Fatalf("no response before the test's timeout: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against an interrupted or wrong answer when the roles run in separate
// processes: in the middle of an answer, the decode sidecar that runs it is killed and
// the entry receives SIGHUP, which must have no effect, and then SIGTERM.
func TestSeparateProcesses(t *testing.T) {
	c := newTestCluster(t)
	c.startModelUpstream("prefill-1", engine.RolePrefill)
	decodes := map[string]*process{"decode-1": c.startModelUpstream("decode-1", engine.RoleDecode), "decode-2": c.startModelUpstream("decode-2", engine.RoleDecode)}
	entry := c.startProcess("entry-1", "entry", "", "")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	const prompt, tokens = "a prompt whose answer crosses two processes", 150
	want, _ := c.params.Output(prompt, tokens)
	body := c.openCompletion(ctx, entry, prompt, tokens)
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
		if n == 2 {
			if err := entry.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		if n == 4 {
			_ = decodes[c.findBusyDecode(t, decodes)].cmd.Process.Kill()
			if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !done || got.String() != want {
		t.Errorf("end of stream %t, got %q, want %q", done, got.String(), want)
	}
	if err := entry.cmd.Wait(); err != nil {
		t.Errorf("the entry did not exit cleanly: %v", err)
	}
}
