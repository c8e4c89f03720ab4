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

// bed is a prefill engine p and two decode engines d and e on one network.
type bed struct {
	t       *testing.T
	net     *memnet.Network
	journal *engine.Journal
	p, d, e *engine.Engine
	client  *http.Client
}

type reply struct {
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

// run runs f in virtual time. change adapts the options of each engine.
func run(t *testing.T, change func(*engine.Options), f func(*bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, net: memnet.New(0), journal: engine.NewJournal()}
		start := func(name string, role engine.Role) *engine.Engine {
			l, err := b.net.Listen(name + ":80")
			if err != nil {
				t.Fatal(err)
			}
			opts := engine.Options{Name: name, Listener: l, Dial: b.net.Dial, Role: role, Journal: b.journal}
			if change != nil {
				change(&opts)
			}
			return engine.New(opts)
		}
		b.p, b.d, b.e = start("p", engine.RolePrefill), start("d", engine.RoleDecode), start("e", engine.RoleDecode)
		transport := &http.Transport{DialContext: b.net.Dial, DisableKeepAlives: true}
		b.client = &http.Client{Transport: transport}
		f(b)
		for _, e := range []*engine.Engine{b.p, b.d, b.e} {
			if err := e.Close(); err != nil {
				t.Errorf("close: %v", err)
			}
			if held := e.Counters().HeldTokens; held != 0 {
				t.Errorf("%s holds %d tokens after Close", e.Name(), held)
			}
		}
	})
}

// call returns the status, 0 without an answer, and the reply.
func (b *bed) call(addr, method, path, body string) (int, reply) {
	req, _ := http.NewRequest(method, "http://"+addr+":80"+path, strings.NewReader(body))
	var out reply
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, out
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

func (b *bed) prefill(id, prompt string) (int, reply) {
	return b.call("p", "POST", "/v1/prefill", encode(map[string]any{"request_id": id, "prompt": prompt}))
}

func (b *bed) load(addr, id, handle string, reserve int) (int, reply) {
	return b.call(addr, "POST", "/v1/kv/import", encode(map[string]any{
		"request_id": id, "source_url": "http://p:80", "handle": handle, "reserve_tokens": reserve,
	}))
}

// prepare runs the prefill and the import of a request.
func (b *bed) prepare(addr, id, prompt string, reserve int) {
	b.t.Helper()
	status, out := b.prefill(id, prompt)
	if status != 200 {
		b.t.Fatalf("prefill: %d %+v", status, out)
	}
	if status, out = b.load(addr, id, out.Handle, reserve); status != 200 {
		b.t.Fatalf("import: %d %+v", status, out)
	}
}

// decode returns the text, the finish reason or error code, and the first index.
func (b *bed) decode(addr, id, prompt string, resume, maxTokens int) (string, string, int) {
	resp, err := b.client.Post("http://"+addr+":80/v1/decode", "", bytes.NewBufferString(encode(map[string]any{
		"request_id": id, "prompt": prompt, "resume_tokens": resume, "max_tokens": maxTokens,
	})))
	if err != nil {
		return "", "no answer", -1
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

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func prompt(words int, tag string) string {
	return tag + strings.Repeat(" w", words-1)
}

// wordy returns a prompt whose natural output has at least n tokens.
func wordy(words, n int) string {
	for i := 0; ; i++ {
		text := prompt(words, fmt.Sprint("wordy", i))
		if got, _ := params.Length(text, 0); got >= n {
			return text
		}
	}
}

func (b *bed) expectHeld(e *engine.Engine, want int) {
	b.t.Helper()
	synctest.Wait()
	if got := e.Counters().HeldTokens; got != want {
		b.t.Errorf("%s holds %d tokens, want %d", e.Name(), got, want)
	}
}

// Guards against memory that isn't counted in whole chunks or outlives the
// request, and against answers that aren't a function of the prompt.
func TestRequestFromPrefillToAnswer(t *testing.T) {
	run(t, nil, func(b *bed) {
		text := prompt(3000, "flow")
		want, reason := params.Output(text, 50)
		start := time.Now()
		_, out := b.prefill("r/1", text)
		if took := time.Since(start); took != params.PrefillTime(3000) {
			t.Errorf("the prefill took %v, want %v", took, params.PrefillTime(3000))
		}
		b.expectHeld(b.p, 4000)
		if status, imported := b.load("d", "r/1", out.Handle, 4100); status != 200 || imported.HeldTokens != 6000 {
			t.Errorf("import: %d %+v", status, imported)
		}
		b.expectHeld(b.d, 6000)
		if got, end, first := b.decode("d", "r/1", text, 0, 50); got != want || end != reason || first != 0 {
			t.Errorf("decode: %q, %s, index %d; want %q, %s", got, end, first, want, reason)
		}
		b.expectHeld(b.d, 0)
		if status, _ := b.call("p", "POST", "/v1/kv/release", encode(map[string]string{"handle": out.Handle})); status != 200 {
			t.Errorf("release: %d", status)
		}
		b.expectHeld(b.p, 0)
		if c := b.p.Counters(); c.PrefillTokens != 3000 || c.WastedPrefillTokens != 0 {
			t.Errorf("counters = %+v", c)
		}
		for _, x := range b.journal.Executions("r") {
			if x.Outcome != engine.Finished || x.Tokens == 0 {
				t.Errorf("execution %+v", x)
			}
		}
	})
}

// Guards against a second engine that continues a stream with other tokens.
func TestResumeGivesTheSameText(t *testing.T) {
	run(t, nil, func(b *bed) {
		text := prompt(100, "resume")
		want, reason := params.Output(text, 0)
		n, _ := params.Length(text, 0)
		for _, resume := range []int{0, 1, n / 2, n - 1, n} {
			id := fmt.Sprint("r/", resume)
			b.prepare("e", id, text, 600)
			head := ""
			for i := range resume {
				head += costmodel.Text(text, i)
			}
			got, end, first := b.decode("e", id, text, resume, 0)
			if head+got != want || end != reason || first != resume {
				t.Errorf("resumed at %d: %q, %s, index %d", resume, got, end, first)
			}
		}
	})
}

// Guards against an output that stays after its hold, and against prefill
// work that isn't counted as wasted although nothing came of it.
func TestEviction(t *testing.T) {
	run(t, nil, func(b *bed) {
		_, out := b.prefill("r/1", prompt(1000, "evict"))
		time.Sleep(params.HoldTime + time.Millisecond)
		b.expectHeld(b.p, 0)
		if status, imported := b.load("d", "r/1", out.Handle, 2000); status != 404 || imported.Error.Code != "evicted" {
			t.Errorf("import after the hold: %d %+v", status, imported)
		}
		b.expectHeld(b.d, 0)
		if c := b.p.Counters(); c.WastedPrefillTokens != 1000 {
			t.Errorf("counters = %+v", c)
		}
		// Imported, but cancelled before the first token.
		b.prepare("d", "r/2", prompt(500, "other"), 2000)
		b.call("d", "POST", "/v1/cancel", `{"request_id":"r/2"}`)
		time.Sleep(time.Second)
		if c := b.p.Counters(); c.WastedPrefillTokens != 1500 {
			t.Errorf("counters = %+v", c)
		}
	})
}

// Guards against a cancel that leaves memory in any phase, and against the end
// of a connection passing for a cancel.
func TestCancelFreesMemory(t *testing.T) {
	const long = 16000
	begin := func(b *bed, text string) {
		_, out := b.prefill("r/1", text)
		b.load("d", "r/1", out.Handle, long)
	}
	phases := []struct {
		phase  string
		target string
		after  time.Duration
		start  func(b *bed, text string)
	}{
		{"prefill", "p", time.Second, func(b *bed, text string) { b.prefill("r/1", text) }},
		{"held", "p", 2100 * time.Millisecond, func(b *bed, text string) { b.prefill("r/1", text) }},
		{"importing", "d", 2100 * time.Millisecond, begin},
		{"imported", "d", 2800 * time.Millisecond, begin},
		{"decoding", "d", 3000 * time.Millisecond, func(b *bed, text string) {
			begin(b, text)
			if _, end, _ := b.decode("d", "r/1", text, 0, 0); end != "cancelled" {
				b.t.Errorf("the stream ended with %s", end)
			}
		}},
	}
	for _, c := range phases {
		t.Run(c.phase, func(t *testing.T) {
			run(t, nil, func(b *bed) {
				go c.start(b, wordy(long, 100))
				time.Sleep(c.after)
				_, out := b.call(c.target, "GET", "/v1/requests", "")
				if got := encode(out.Requests); !strings.Contains(got, `"phase":"`+c.phase+`"`) {
					t.Fatalf("requests = %s", got)
				}
				_, out = b.call(c.target, "POST", "/v1/cancel", `{"request_id":"r/1"}`)
				if out.FreedTokens < long {
					t.Errorf("freed %d tokens", out.FreedTokens)
				}
				_, out = b.call(c.target, "GET", "/v1/requests", "")
				if len(out.Requests) != 0 {
					t.Errorf("requests after the cancel: %s", encode(out.Requests))
				}
				target := map[string]*engine.Engine{"p": b.p, "d": b.d}[c.target]
				b.expectHeld(target, 0)
				time.Sleep(5 * time.Second)
			})
		})
	}
}
