package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescueslip/fescueslip/platform"
	"github.com/fescueslip/fescueslip/platform/emulator"
)

// The bounds of the site cra-fescue that the cases use.
const (
	contact   = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
	// entryLife is three heartbeats, after which the platform drops a silent server.
	entryLife = 3 * heartbeat
	// restartDelay is how long the platform takes to start a killed process again.
	restartDelay = 500 * time.Millisecond
	readyLimit   = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// loopback is the network of the stand-ins. It implements emulator.Network.
type loopback struct{}

// Listen implements emulator.Network.
func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements emulator.Network.
func (loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// world is a small deployment: the platform's store, servers and gateways.
type world struct {
	*emulator.Deployment
	trouble  bool
	dir      string
	gateways []*gateway

	mu     sync.Mutex
	record *os.File
	start  time.Time
	lastID int
	closed bool
}

func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "kit-3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, record: record, start: time.Now()}
	if w.Deployment, err = emulator.NewDeploymentOn(loopback{}, w.address(200, 8142)); err != nil {
		return nil, err
	}
	return w, nil
}

// ip returns a loopback address of this run.
func (w *world) ip(host int) string {
	const firstOctet, octets = 2, 250
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+os.Getpid()%octets, 1+os.Getpid()/octets%octets, host)
}

func (w *world) address(host, port int) string {
	return net.JoinHostPort(w.ip(host), strconv.Itoa(port))
}

// close ends the processes and the stand-ins.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	w.Close()
	_ = os.RemoveAll(w.dir)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

// newID returns a request ID that no other request has.
func (w *world) newID(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%s-%d", prefix, w.lastID)
}

// startGateways starts the gateways and waits until they are ready and in touch.
func (w *world) startGateways(count int) error {
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, w.address(1+i, 8146))
	}
	for i := range count {
		w.gateways = append(w.gateways, &gateway{world: w, name: fmt.Sprintf("front-%d", i+1), host: 1 + i, seeds: strings.Join(seeds, ",")})
	}
	for _, g := range w.gateways {
		if err := g.launch(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(contact + time.Second)
	return nil
}

// killAll kills all gateways at once. The platform starts each again.
func (w *world) killAll() error {
	w.logf("all gateways get SIGKILL")
	var killed sync.WaitGroup
	for _, g := range w.gateways {
		killed.Go(g.kill)
	}
	killed.Wait()
	time.Sleep(restartDelay)
	for _, g := range w.gateways {
		if err := g.launch(); err != nil {
			return err
		}
	}
	w.logf("all gateways are started again")
	return nil
}

// gateway is a process of the deploy file's role, on a machine of its own address.
type gateway struct {
	world *world
	name  string
	host  int
	seeds string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
}

func (g *gateway) client() string { return g.world.address(g.host, 8144) }

// settings returns the settings file as the platform writes it from the template, with the
// bounds of cra-fescue.
func (g *gateway) settings() string {
	w := g.world
	return fmt.Sprintf(`instance: %q
failure_domain: "zone-%d"
region: "azuay"
store_address: %q
store:
  max_silence: 3000ms
  change_deadline: 2000ms
listen:
  client: %q
  ready: %q
  peer: %q
  control: %q
  admin: %q
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
`, g.name, g.host, w.StoreAddress, g.client(), w.address(g.host, 8140), w.address(g.host, 7660), w.address(g.host, 8146), w.address(g.host, 7661), g.seeds)
}

// launch starts the process.
func (g *gateway) launch() error {
	path := filepath.Join(g.world.dir, g.name+".yaml")
	if err := os.WriteFile(path, []byte(g.settings()), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fescueslip", "gateway")
	cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.started = cmd, time.Now()
	return nil
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd := g.cmd
	g.cmd = nil
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails only if the process has ended
	_ = cmd.Wait()
}

// inTouch reports whether the process has run for contact-ms.
func (g *gateway) inTouch(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd != nil && at.Sub(g.started) >= contact
}

func (g *gateway) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + g.world.address(g.host, 8140) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v", g.name, readyLimit)
}

// addEngines starts model servers with the phase and the software version.
func (w *world) addEngines(first, count int, phase, version string) error {
	for i := range count {
		id := fmt.Sprintf("m%d", first+i)
		if _, err := w.AddModelServer(id, emulator.ModelService, w.address(100+first+i, 8080), phase, emulator.DefaultModelParameters()); err != nil {
			return err
		}
		if version != "" {
			w.SetVersion(id, version)
		}
	}
	return nil
}

// modelRequest returns a model request with the number of events and, if there are any, the
// parts of its prompt.
func (w *world) modelRequest(prefix string, events int, timeout time.Duration, parts ...string) emulator.Request {
	const prompt, partTokens, tokensPerEvent = 2000, 50, 59
	id := w.newID("s")
	req := emulator.Request{ID: id, Method: http.MethodPost, Host: emulator.Host, Path: prefix + id, Body: strconv.Itoa(events), Timeout: timeout}
	req.Header = http.Header{
		"Fescueslip-Model":       {"m"},
		names.TokenUsage:         {fmt.Sprintf("%d,%d", prompt, 2*events*tokensPerEvent)},
		"Fescueslip-Length-Hint": {strconv.Itoa(events * tokensPerEvent)},
	}
	entries := make([]string, 0, len(parts)+1)
	for _, part := range parts {
		entries = append(entries, fmt.Sprintf("%s:%d", part, partTokens))
	}
	entries = append(entries, fmt.Sprintf("%x:%d", id, prompt-partTokens*len(parts)))
	req.Header.Set(names.PromptParts, strings.Join(entries, ","))
	return req
}

// logRuns writes to the record where the requests with the IDs ran.
func (w *world) logRuns(ids ...string) {
	for _, id := range ids {
		for _, e := range w.ExecutionLog.Executions(id) {
			w.logf("request %s ran at server %s, version %q, from %.3f s, after event %q, to its end %t", id, e.Server, e.Version, e.Started.Sub(w.start).Seconds(), e.LastEvent, e.Complete)
		}
	}
}

// eventsOf returns the number of whole events in the body of a response.
func eventsOf(resp *emulator.Response) int { return strings.Count(resp.Body, "\n\n") }
