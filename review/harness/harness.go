// Package harness starts gateway processes on loopback for the cases of the review. It
// provides the stand-ins of the platform that the cases share: the store, plain and model
// servers, and clients. They follow the platform's pages.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform"
	"github.com/fescueslip/fescueslip/platform/emulator"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Case is one run of a case: its record, its processes and its temporary folder.
type Case struct {
	// Trouble is false if the run must go without the disruption (TROUBLE=0).
	Trouble bool
	// Store is the stand-in of the platform's store.
	Store        *emulator.Store
	StoreAddress string

	dir    string
	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Gateway
	next   int
}

// Run runs a case and exits with its result. The argument of the program is the folder for
// record.txt. body reports whether the rule held.
func Run(body func(c *Case) (held bool, err error)) {
	os.Exit(run(body))
}

func run(body func(c *Case) (bool, error)) int {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return ExitNotRun
	}
	c, err := newCase(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return ExitNotRun
	}
	defer c.close()
	held, err := body(c)
	switch {
	case err != nil:
		c.Logf("the case cannot run: %v", err)
		return ExitNotRun
	case !held:
		c.Logf("RESULT: the rule was broken")
		return ExitBroken
	default:
		c.Logf("RESULT: the rule held")
		return ExitHeld
	}
}

func newCase(folder string) (*Case, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Store: emulator.NewStore(), dir: dir, start: time.Now(), record: record}
	c.StoreAddress, err = c.Serve(c.Store)
	c.Logf("start: with the disruption: %t", c.Trouble)
	return c, err
}

func (c *Case) close() {
	for _, g := range c.procs {
		g.Kill()
	}
	_ = c.record.Close()
	_ = os.RemoveAll(c.dir)
}

// Logf writes a line to record.txt and to standard output.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Serve serves the handler at a free loopback address and returns the address.
func (c *Case) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// PutServer writes the entry of a server into the store. phase is empty for plain servers.
func (c *Case) PutServer(id, service, address, state, phase string, seq, slots int) {
	c.PutServerBorn(id, service, address, state, phase, seq, slots, c.start)
}

// PutServerBorn is PutServer for a server that was started at the given time.
func (c *Case) PutServerBorn(id, service, address, state, phase string, seq, slots int, born time.Time) {
	entry := map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": state,
		"cold-remaining-ms": 0, "seq": seq, "born": born.UnixMilli(),
	}
	if phase != "" {
		entry["phase"] = phase
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	c.Store.Put(Names.ServersPrefix+id, entry)
	c.Logf("store: server %s is %s %s at %s", id, state, phase, address)
}

// PutConfig writes the operator's configuration.
func (c *Case) PutConfig(config emulator.Configuration) {
	c.Store.Put(Names.ConfigurationKey, config)
	c.Logf("store: configuration %d", config.Version)
}

// Gateway is a gateway process.
type Gateway struct {
	Name, Client, Ready string
	cmd                 *exec.Cmd
	ended               chan struct{}
}

// freePort returns a free port of the loopback address.
func freePort(network string) (string, error) {
	if network == "udp" {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = p.Close() }()
		return p.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// StartGateway starts a gateway with the command of deploy/system.toml and waits until it
// is ready. memoryMB is the memory of its machine.
func (c *Case) StartGateway(memoryMB int) (*Gateway, error) {
	return c.StartGatewayAt(c.StoreAddress, memoryMB)
}

// StartGatewayAt is StartGateway for a gateway that reaches the store at another address.
func (c *Case) StartGatewayAt(store string, memoryMB int) (*Gateway, error) {
	c.next++
	g := &Gateway{Name: fmt.Sprintf("front-a-%d", c.next), ended: make(chan struct{})}
	var addresses []string
	for _, network := range []string{"tcp", "tcp", "udp", "tcp", "tcp"} {
		a, err := freePort(network)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	g.Client, g.Ready = addresses[0], addresses[1]
	text := fmt.Sprintf(`instance: %q
failure_domain: "a"
region: "r"
store_address: %q
store: {max_silence: 3000ms, change_deadline: 2000ms}
listen: {client: %q, ready: %q, peer: %q, control: %q, admin: %q}
seeds: %q
memory: {limit: %dMB}
retries: {ratio: 0.2, window: 10s, slack: 54}
leadership: {lease: 3000ms}
shutdown: {grace: 8s}
`, g.Name, store, g.Client, g.Ready, addresses[2], addresses[3], addresses[4], addresses[3], memoryMB)
	path := filepath.Join(c.dir, g.Name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(c.dir, g.Name+".log"))
	if err != nil {
		return nil, err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if logs, err = os.Create(filepath.Join(keep, g.Name+".log")); err != nil {
			return nil, err
		}
	}
	defer func() { _ = logs.Close() }()
	g.cmd = exec.Command("target/fescueslip", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", platform.SettingsPathVariable + "=" + path}
	g.cmd.Stdout, g.cmd.Stderr = logs, logs
	// The process must not outlive the case.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	c.procs = append(c.procs, g)
	c.Logf("gateway %s started, process %d", g.Name, g.cmd.Process.Pid)
	return g, c.waitReady(g)
}

func (c *Case) waitReady(g *Gateway) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.Name)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Kill ends the process.
func (g *Gateway) Kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// WriteJSON answers a call with JSON, as servers do.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
