package cli_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// docPortPrefix is the start of the demo's default addresses, which the commands on
// the page use. The test replaces it, so that it does not collide with a running
// demo.
const docPortPrefix = "127.0.0.1:180"

// The tests take their ports from a block of portBlockSize ports. They try the blocks
// from firstPortBlock up to, but not including, lastPortBlock.
const (
	firstPortBlock = 200
	lastPortBlock  = 320
	portBlockSize  = 100
)

// findFreePortBlock returns a block number N such that the ports N80 to N99 are free.
// The search starts at a block that depends on the process ID, so that two checkouts
// can run the tests at the same time.
func findFreePortBlock(t *testing.T) int {
	t.Helper()
	const blocks = lastPortBlock - firstPortBlock
	for i := range blocks {
		block := firstPortBlock + (os.Getpid()+i)%blocks
		if portsAreFree(block*portBlockSize+80, block*portBlockSize+99) {
			return block
		}
	}
	t.Fatal("no free ports for the demo")
	return 0
}

func portsAreFree(first, last int) bool {
	for port := first; port <= last; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Guards against commands on the operations page that no longer work.
func TestOperationsPageCommands(t *testing.T) {
	bin := buildBinary(t)
	block := findFreePortBlock(t)
	testPortPrefix := fmt.Sprintf("127.0.0.1:%d", block)
	startDemo(t, bin, block*portBlockSize+80)
	t.Setenv("PATH", filepath.Dir(bin)+string(os.PathListSeparator)+os.Getenv("PATH"))
	t.Setenv("REQUEST_ID", sendRequest(t, testPortPrefix))
	for _, line := range shellCommands(t, "../../docs/OPERATIONS.md") {
		t.Run(line, func(t *testing.T) {
			out, err := exec.Command("sh", "-c", strings.ReplaceAll(line, docPortPrefix, testPortPrefix)).CombinedOutput()
			if err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "fescueslip")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/fescueslip").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// startDemo starts the demo and waits until it prints "ready" on a line of its own.
func startDemo(t *testing.T, bin string, basePort int) {
	t.Helper()
	cmd := exec.Command(bin, "demo", "-base-port", strconv.Itoa(basePort))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(os.Interrupt)
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "ready" {
			go func() {
				for lines.Scan() {
				}
			}()
			return
		}
	}
	t.Fatal("the demo ended before it was ready")
}

func sendRequest(t *testing.T, portPrefix string) string {
	t.Helper()
	body := strings.NewReader(`{"model":"demo-model","max_tokens":3,"prompt":"hello"}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+portPrefix+"80/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-caller-a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v %v", resp.Status, reply, err)
	}
	return resp.Header.Get("X-Request-Id")
}

// shellCommands returns the lines of the sh code blocks on a page.
func shellCommands(t *testing.T, page string) []string {
	t.Helper()
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	inBlock := false
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		switch {
		case line == "```sh":
			inBlock = true
		case line == "```":
			inBlock = false
		case inBlock && line != "":
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		t.Fatal("the page has no commands")
	}
	return lines
}
