// Package kit runs a small deployment of gateways for the cases of the second review: the
// gateways are separate processes, started with the command of the deploy file; the store,
// the servers and the clients are stand-ins on loopback in the process of the case.
package kit

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fescueslip/fescueslip/platform"
	"github.com/fescueslip/fescueslip/platform/emulator"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CouldNot  = 2
	readyTime = 15 * time.Second
)

// Network is the loopback network. It implements emulator.Network.
type Network struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
}

// Reserve returns a free loopback address, at which Listen can be called.
func (n *Network) Reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]net.Listener)
	}
	n.listeners[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// Listen implements emulator.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.listeners[address]; ok {
		delete(n.listeners, address)
		return l, nil
	}
	return net.Listen("tcp", address)
}

// Dial implements emulator.Network.
func (n *Network) Dial(ctx context.Context, kind, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, kind, address)
}

// Run is one run of a case.
type Run struct {
	Network    *Network
	Deployment *emulator.Deployment
	Gateways   []*Gateway
	Start      time.Time
	dir        string
	binary     string

	mu     sync.Mutex
	record io.Writer
	closed bool
}

// New returns a run with a store and no servers. It writes its record to the file that the
// first argument of the program names.
func New() (*Run, error) {
	if len(os.Args) != 3 {
		return nil, fmt.Errorf("usage: %s BINARY RECORD", os.Args[0])
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Run{Network: &Network{}, Start: time.Now(), dir: dir, binary: os.Args[1], record: record}
	store, err := r.Network.Reserve()
	if err != nil {
		return nil, err
	}
	if r.Deployment, err = emulator.NewDeploymentOn(r.Network, store); err != nil {
		return nil, err
	}
	r.endInTime()
	return r, nil
}

// timeLimit is that of a whole run. A run that lasts longer could not be played.
const timeLimit = 105 * time.Second

// endInTime ends the run, with all its processes, at the time limit or on a signal.
func (r *Run) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		r.Logf("the run was ended before its end")
		r.Finish(CouldNot)
	}()
}

// Logf writes a line with the time to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = fmt.Fprintf(r.record, "%7.3f %s\n", time.Since(r.Start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Close ends all processes and removes the temporary folder.
func (r *Run) Close() {
	for _, g := range r.Gateways {
		g.Kill()
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = os.RemoveAll(r.dir)
}

// Finish closes the run and exits with the code.
func (r *Run) Finish(code int) {
	r.Logf("exit %d", code)
	r.Close()
	os.Exit(code)
}

// Check exits with CouldNot if err is not nil.
func (r *Run) Check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		r.Logf("the case could not run: %v", err)
		r.Finish(CouldNot)
	}
}

// Configure writes the configuration into the store.
func (r *Run) Configure(c emulator.Configuration) {
	r.Deployment.Store.Put(names.ConfigurationKey, c)
}

// AddEngine starts a model server of a software version.
func (r *Run) AddEngine(id, phase, version string, p emulator.ModelParameters) *emulator.ModelServer {
	address, err := r.Network.Reserve()
	r.Check(err)
	m, err := r.Deployment.AddModelServer(id, emulator.ModelService, address, phase, p)
	r.Check(err)
	if version != "" {
		r.Deployment.SetVersion(id, version)
	}
	return m
}

// AddPlain starts a plain server.
func (r *Run) AddPlain(id string, serviceTime time.Duration) *emulator.PlainServer {
	address, err := r.Network.Reserve()
	r.Check(err)
	p, err := r.Deployment.AddPlainServer(id, emulator.PlainService, address, serviceTime)
	r.Check(err)
	return p
}

// Gateway is a gateway process.
type Gateway struct {
	Name    string
	Client  string
	Ready   string
	run     *Run
	path    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	control string
}

// AddGateways prepares n gateways, writes their settings and starts them. store is the
// address of the store for each, by number.
func (r *Run) AddGateways(n int, store func(i int) string) {
	base := fmt.Sprintf("127.%d.%d", 2+os.Getpid()%250, 1+(os.Getpid()/250)%250)
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s.%d", base, 2+i)
		g := &Gateway{Name: fmt.Sprintf("g%d", i+1), Client: ip + ":8144", Ready: ip + ":8140", control: ip + ":8146", run: r}
		g.path = filepath.Join(r.dir, g.Name+".yaml")
		r.Gateways = append(r.Gateways, g)
		seeds = append(seeds, g.control)
	}
	for i, g := range r.Gateways {
		ip, _, _ := net.SplitHostPort(g.Client)
		address := r.Deployment.StoreAddress
		if store != nil {
			address = store(i)
		}
		// The text of platform/gateway.yaml.tmpl with the figures of sites/cra-fescue.toml.
		text := fmt.Sprintf(`instance: %q
failure_domain: "a"
region: "azuay"
store_address: %q
store:
  max_silence: 3000ms
  change_deadline: 2000ms
listen:
  client: %q
  ready: %q
  peer: "%s:7660"
  control: %q
  admin: "%s:7675"
seeds: %q
memory:
  limit: 284MB
retries:
  ratio: 0.2
  window: 10s
  slack: 54
leadership:
  lease: 3000ms
shutdown:
  grace: 8s
`, g.Name, address, g.Client, g.Ready, ip, g.control, ip, strings.Join(seeds[:min(3, len(seeds))], ","))
		r.Check(os.WriteFile(g.path, []byte(text), 0o600))
	}
	for _, g := range r.Gateways {
		r.Check(g.StartProcess())
	}
	for _, g := range r.Gateways {
		r.Check(g.WaitReady())
	}
}

// StartProcess starts the process, which must not run.
func (g *Gateway) StartProcess() error {
	cmd := exec.Command(g.run.binary, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathVariable + "=" + g.path}
	if dir := os.Getenv("GATEWAY_LOGS"); dir != "" {
		logs, err := os.OpenFile(filepath.Join(dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = logs.Close() }()
		cmd.Stdout, cmd.Stderr = logs, logs
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// Pid returns the id of the process.
func (g *Gateway) Pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Exited is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// IsReady asks the gateway's probe.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the gateway is ready.
func (g *Gateway) WaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v", g.Name, readyTime)
}

// LastEvent returns the number of whole events in a body of the emulator's model servers,
// and the number in the last one's id.
func LastEvent(body string) (events, last int) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			break
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if n, err := strconv.Atoi(id); err == nil {
			events, last = events+1, n
		}
	}
	return events, last
}
