package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/costmodel"
	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

var params = costmodel.Default()

// testbed runs a prefill engine and two decode engines on one in-memory network.
// Their addresses are p:80, d:80 and e:80.
type testbed struct {
	t                                           *testing.T
	network                                     *memnet.Network
	journal                                     *engine.Journal
	prefillEngine, decodeEngine1, decodeEngine2 *engine.Engine
	client                                      *http.Client
}

// response holds the fields that the tests read from any response body.
type response struct {
	Handle       string `json:"handle"`
	CachedTokens int    `json:"cached_tokens"`
	HeldTokens   int    `json:"held_tokens"`
	FreedTokens  int    `json:"freed_tokens"`
	BootID       string `json:"boot_id"`
	Running      int    `json:"running"`
	Gap          bool   `json:"gap"`
	Next         int    `json:"next"`
	Events       []any  `json:"events"`
	Requests     []any  `json:"requests"`
	Error        struct{ Code string }
}

// withTestbed runs f in virtual time. adjustOptions, if not nil, changes the
// options of each engine.
func withTestbed(t *testing.T, adjustOptions func(*engine.Options), f func(*testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{t: t, network: memnet.New(0), journal: engine.NewJournal()}
		start := func(name string, role engine.Role) *engine.Engine {
			l, err := b.network.Listen(name + ":80")
			if err != nil {
				t.Fatal(err)
			}
			opts := engine.Options{Name: name, Listener: l, Dial: b.network.Dial, Role: role, Journal: b.journal}
			if adjustOptions != nil {
				adjustOptions(&opts)
			}
			return engine.New(opts)
		}
		b.prefillEngine, b.decodeEngine1, b.decodeEngine2 = start("p", engine.RolePrefill), start("d", engine.RoleDecode), start("e", engine.RoleDecode)
		transport := &http.Transport{DialContext: b.network.Dial, DisableKeepAlives: true}
		b.client = &http.Client{Transport: transport}
		f(b)
		for _, e := range []*engine.Engine{b.prefillEngine, b.decodeEngine1, b.decodeEngine2} {
			if err := e.Close(); err != nil {
				t.Errorf("close: %v", err)
			}
			if held := e.Counters().HeldTokens; held != 0 {
				t.Errorf("%s holds %d tokens after Close", e.Name(), held)
			}
		}
	})
}

// call returns the status, 0 when there was no response, and the response body.
func (b *testbed) call(addr, method, path, body string) (int, response) {
	req, _ := http.NewRequest(method, "http://"+addr+":80"+path, strings.NewReader(body))
	var out response
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, out
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

func (b *testbed) prefill(id, prompt string) (int, response) {
	return b.call("p", "POST", "/v1/prefill", mustJSON(map[string]any{"request_id": id, "prompt": prompt}))
}

func (b *testbed) importKV(addr, id, handle string, reserve int) (int, response) {
	return b.call(addr, "POST", "/v1/kv/import", mustJSON(map[string]any{
		"request_id": id, "source_url": "http://p:80", "handle": handle, "reserve_tokens": reserve,
	}))
}

// prefillAndImport runs the prefill and the import of a request.
func (b *testbed) prefillAndImport(addr, id, prompt string, reserve int) {
	b.t.Helper()
	status, out := b.prefill(id, prompt)
	if status != 200 {
		b.t.Fatalf("prefill: %d %+v", status, out)
	}
	if status, out = b.importKV(addr, id, out.Handle, reserve); status != 200 {
		b.t.Fatalf("import: %d %+v", status, out)
	}
}

// decode returns the text, the finish reason or error code, and the index of the
// first token.
func (b *testbed) decode(addr, id, prompt string, resume, maxTokens int) (string, string, int) {
	resp, err := b.client.Post("http://"+addr+":80/v1/decode", "", bytes.NewBufferString(mustJSON(map[string]any{
		"request_id": id, "prompt": prompt, "resume_tokens": resume, "max_tokens": maxTokens,
	})))
	if err != nil {
		return "", "no response", -1
	}
	defer resp.Body.Close()
	var text strings.Builder
	end, first := fmt.Sprint("status ", resp.StatusCode), -1
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var line struct {
			Index        int
			Text         string
			FinishReason string `json:"finish_reason"`
			Error        struct{ Code string }
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			b.t.Errorf("line %q: %v", lines.Text(), err)
		}
		if first < 0 {
			first = line.Index
		}
		text.WriteString(line.Text)
		if line.FinishReason+line.Error.Code != "" {
			end = line.FinishReason + line.Error.Code
		}
	}
	return text.String(), end, first
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// prompt returns a prompt of the given number of words that starts with tag.
func prompt(words int, tag string) string {
	return tag + strings.Repeat(" w", words-1)
}

// promptWithLongOutput returns a prompt of the given number of words whose natural
// output has at least n tokens.
func promptWithLongOutput(words, n int) string {
	for i := 0; ; i++ {
		text := prompt(words, fmt.Sprint("wordy", i))
		if got, _ := params.OutputLength(text, 0); got >= n {
			return text
		}
	}
}

func (b *testbed) expectHeldTokens(e *engine.Engine, want int) {
	b.t.Helper()
	synctest.Wait()
	if got := e.Counters().HeldTokens; got != want {
		b.t.Errorf("%s holds %d tokens, want %d", e.Name(), got, want)
	}
}

// Guards against memory that is not counted in whole chunks or is held after the
// request has ended, and against an output that depends on more than the prompt.
func TestRequestFromPrefillToOutput(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		text := prompt(3000, "flow")
		want, reason := params.Output(text, 50)
		start := time.Now()
		_, out := b.prefill("r/1", text)
		if took := time.Since(start); took != params.PrefillTime(3000) {
			t.Errorf("the prefill took %v, want %v", took, params.PrefillTime(3000))
		}
		b.expectHeldTokens(b.prefillEngine, 4000)
		if status, imported := b.importKV("d", "r/1", out.Handle, 4100); status != 200 || imported.HeldTokens != 6000 {
			t.Errorf("import: %d %+v", status, imported)
		}
		b.expectHeldTokens(b.decodeEngine1, 6000)
		if got, end, first := b.decode("d", "r/1", text, 0, 50); got != want || end != reason || first != 0 {
			t.Errorf("decode: %q, %s, index %d; want %q, %s", got, end, first, want, reason)
		}
		b.expectHeldTokens(b.decodeEngine1, 0)
		if status, _ := b.call("p", "POST", "/v1/kv/release", mustJSON(map[string]string{"handle": out.Handle})); status != 200 {
			t.Errorf("release: %d", status)
		}
		b.expectHeldTokens(b.prefillEngine, 0)
		if c := b.prefillEngine.Counters(); c.PrefillTokens != 3000 || c.WastedPrefillTokens != 0 {
			t.Errorf("counters = %+v", c)
		}
		for _, x := range b.journal.Executions("r") {
			if x.Outcome != engine.OutcomeFinished || x.Tokens == 0 {
				t.Errorf("execution %+v", x)
			}
		}
	})
}

// Guards against a resumed stream that continues with different tokens than the
// interrupted one.
func TestResumeGivesTheSameText(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		text := prompt(100, "resume")
		want, reason := params.Output(text, 0)
		n, _ := params.OutputLength(text, 0)
		for _, resume := range []int{0, 1, n / 2, n - 1, n} {
			id := fmt.Sprint("r/", resume)
			b.prefillAndImport("e", id, text, 600)
			head := ""
			for i := range resume {
				head += costmodel.TokenText(text, i)
			}
			got, end, first := b.decode("e", id, text, resume, 0)
			if head+got != want || end != reason || first != resume {
				t.Errorf("resumed at %d: %q, %s, index %d", resume, got, end, first)
			}
		}
	})
}

// Guards against a prefill output that is held beyond its hold time, and against
// prefill tokens that are not counted as wasted although no output token was
// produced from them.
func TestEviction(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		_, out := b.prefill("r/1", prompt(1000, "evict"))
		time.Sleep(params.HoldTime + time.Millisecond)
		b.expectHeldTokens(b.prefillEngine, 0)
		if status, imported := b.importKV("d", "r/1", out.Handle, 2000); status != 404 || imported.Error.Code != "evicted" {
			t.Errorf("import after the hold: %d %+v", status, imported)
		}
		b.expectHeldTokens(b.decodeEngine1, 0)
		if c := b.prefillEngine.Counters(); c.WastedPrefillTokens != 1000 {
			t.Errorf("counters = %+v", c)
		}
		// This output is imported, but the request is cancelled before its first token.
		b.prefillAndImport("d", "r/2", prompt(500, "other"), 2000)
		b.call("d", "POST", "/v1/cancel", `{"request_id":"r/2"}`)
		time.Sleep(time.Second)
		if c := b.prefillEngine.Counters(); c.WastedPrefillTokens != 1500 {
			t.Errorf("counters = %+v", c)
		}
	})
}

// Guards against a cancellation that does not free the memory in some phase, and
// against an engine that treats the end of a connection as a cancellation.
func TestCancelFreesMemory(t *testing.T) {
	const long = 16000
	begin := func(b *testbed, text string) {
		_, out := b.prefill("r/1", text)
		b.importKV("d", "r/1", out.Handle, long)
	}
	phases := []struct {
		phase  string
		target string
		after  time.Duration
		start  func(b *testbed, text string)
	}{
		{"prefill", "p", time.Second, func(b *testbed, text string) { b.prefill("r/1", text) }},
		{"held", "p", 2100 * time.Millisecond, func(b *testbed, text string) { b.prefill("r/1", text) }},
		{"importing", "d", 2100 * time.Millisecond, begin},
		{"imported", "d", 2800 * time.Millisecond, begin},
		{"decoding", "d", 3000 * time.Millisecond, func(b *testbed, text string) {
			begin(b, text)
			if _, end, _ := b.decode("d", "r/1", text, 0, 0); end != "cancelled" {
				b.t.Errorf("the stream ended with %s", end)
			}
		}},
	}
	for _, c := range phases {
		t.Run(c.phase, func(t *testing.T) {
			withTestbed(t, nil, func(b *testbed) {
				go c.start(b, promptWithLongOutput(long, 100))
				time.Sleep(c.after)
				_, out := b.call(c.target, "GET", "/v1/requests", "")
				if got := mustJSON(out.Requests); !strings.Contains(got, `"phase":"`+c.phase+`"`) {
					t.Fatalf("requests = %s", got)
				}
				_, out = b.call(c.target, "POST", "/v1/cancel", `{"request_id":"r/1"}`)
				if out.FreedTokens < long {
					t.Errorf("freed %d tokens", out.FreedTokens)
				}
				_, out = b.call(c.target, "GET", "/v1/requests", "")
				if len(out.Requests) != 0 {
					t.Errorf("requests after the cancel: %s", mustJSON(out.Requests))
				}
				target := map[string]*engine.Engine{"p": b.prefillEngine, "d": b.decodeEngine1}[c.target]
				b.expectHeldTokens(target, 0)
				time.Sleep(5 * time.Second)
			})
		})
	}
}
