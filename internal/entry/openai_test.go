package entry

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/fault"
)

// Guards against bad input that is run, or refused without naming the field.
func TestParseCompletion(t *testing.T) {
	cases := []struct {
		name, body string
		chat       bool
		wantPrompt string
		wantParam  string
		wantKind   fault.Kind
	}{
		{name: "text", body: `{"model":"m","prompt":"hello"}`, wantPrompt: "hello"},
		{name: "text list", body: `{"model":"m","prompt":["hello"]}`, wantPrompt: "hello"},
		{name: "chat", body: `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, chat: true, wantPrompt: "user: hi\nassistant:"},
		{name: "chat parts", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, chat: true, wantPrompt: "user: hi\nassistant:"},
		{name: "no json", body: `{`, wantKind: fault.KindMalformedRequest},
		{name: "trailing data", body: `{"model":"m","prompt":"x"} {}`, wantKind: fault.KindMalformedRequest},
		{name: "no model", body: `{"prompt":"x"}`, wantKind: fault.KindMalformedRequest, wantParam: "model"},
		{name: "empty prompt", body: `{"model":"m","prompt":" "}`, wantKind: fault.KindMalformedRequest, wantParam: "prompt"},
		{name: "no messages", body: `{"model":"m"}`, chat: true, wantKind: fault.KindMalformedRequest, wantParam: "messages"},
		{name: "image part", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, chat: true, wantKind: fault.KindMalformedRequest, wantParam: "messages"},
		{name: "zero tokens", body: `{"model":"m","prompt":"x","max_tokens":0}`, wantKind: fault.KindMalformedRequest, wantParam: "max_tokens"},
		{name: "two choices", body: `{"model":"m","prompt":"x","n":2}`, wantKind: fault.KindMalformedRequest, wantParam: "n"},
		{name: "five stops", body: `{"model":"m","prompt":"x","stop":["a","b","c","d","e"]}`, wantKind: fault.KindMalformedRequest, wantParam: "stop"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseCompletion([]byte(c.body), c.chat)
			if c.wantKind == "" {
				if err != nil || got.Prompt != c.wantPrompt {
					t.Fatalf("got %q, %v; want %q", got.Prompt, err, c.wantPrompt)
				}
				return
			}
			var f *fault.Error
			if !errors.As(err, &f) || f.Kind != c.wantKind || f.Param != c.wantParam || f.Remedy == "" {
				t.Fatalf("got %#v; want kind %s, param %q and a remedy", err, c.wantKind, c.wantParam)
			}
		})
	}
}

// Guards against input that makes the parser panic or accept an empty prompt.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"hello","stop":["a"]}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		got, err := parseCompletion(body, chat)
		if err == nil && (strings.TrimSpace(got.Prompt) == "" || got.Model == "" || got.MaxTokens < 1) {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// Guards against a stop sequence that is split over tokens and reaches the caller.
func TestAnswerCutsAtStopSequence(t *testing.T) {
	rec := httptest.NewRecorder()
	req := &Request{ID: "r", Model: &config.Model{Name: "m"}, Stop: []string{"END"}}
	a := newAnswer(rec, req, false, parsedCompletion{Stream: true})
	var err error
	for _, text := range []string{"one E", "N", "X two EN", "D three"} {
		if err = a.Tokens([]string{text}); err != nil {
			break
		}
	}
	if !errors.Is(err, errStopSequence) {
		t.Fatalf("got %v, want the stop sequence to end the answer", err)
	}
	if err := a.Finish("stop"); err != nil {
		t.Fatal(err)
	}
	body := rec.Body.String()
	if strings.Contains(body, "END") || strings.Contains(body, "three") || a.text.String() != "one ENX two " {
		t.Fatalf("answer %q in\n%s", a.text.String(), body)
	}
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("the stream does not end in [DONE]:\n%s", body)
	}
}
