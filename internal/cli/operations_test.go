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

// pagePorts begins the demo's default addresses, which the page's commands use;
// the test moves them away from a demo that somebody may be running.
const pagePorts = "127.0.0.1:180"

// portBlock is the number of ports from which a test takes its own, and
// lastBlock the last block that it tries.
const (
	firstBlock = 200
	lastBlock  = 320
	portBlock  = 100
)

// freeBlock returns a hundred N such that the ports from N80 to N99 are free, so
// that two checkouts can run the tests at the same time.
func freeBlock(t *testing.T) int {
	t.Helper()
	const blocks = lastBlock - firstBlock
	for i := range blocks {
		block := firstBlock + (os.Getpid()+i)%blocks
		if allFree(block*portBlock+80, block*portBlock+99) {
			return block
		}
	}
	t.Fatal("no free ports for the demo")
	return 0
}

func allFree(first, last int) bool {
	for port := first; port <= last; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Guards against an operations page whose commands no longer work.
func TestOperationsPageCommands(t *testing.T) {
	bin := buildBinary(t)
	block := freeBlock(t)
	testPorts := fmt.Sprintf("127.0.0.1:%d", block)
	startDemo(t, bin, block*portBlock+80)
	t.Setenv("PATH", filepath.Dir(bin)+string(os.PathListSeparator)+os.Getenv("PATH"))
	t.Setenv("REQUEST_ID", sendRequest(t, testPorts))
	for _, line := range shellLines(t, "../../docs/OPERATIONS.md") {
		t.Run(line, func(t *testing.T) {
			out, err := exec.Command("sh", "-c", strings.ReplaceAll(line, pagePorts, testPorts)).CombinedOutput()
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

// startDemo returns when the demo has printed "ready" on a line of its own.
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

func sendRequest(t *testing.T, testPorts string) string {
	t.Helper()
	body := strings.NewReader(`{"model":"demo-model","max_tokens":3,"prompt":"hello"}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+testPorts+"80/v1/completions", body)
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

// shellLines returns the lines of the sh blocks of a page.
func shellLines(t *testing.T, page string) []string {
	t.Helper()
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	inside := false
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		switch {
		case line == "```sh":
			inside = true
		case line == "```":
			inside = false
		case inside && line != "":
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		t.Fatal("the page has no commands")
	}
	return lines
}
