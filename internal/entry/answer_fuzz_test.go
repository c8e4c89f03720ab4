package entry

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fescueslip/fescueslip/internal/config"
)

// writeResponse writes the pieces as one response and returns the recorded body.
func writeResponse(t *testing.T, pieces []string, stop string, stream, chat bool) string {
	t.Helper()
	rec := httptest.NewRecorder()
	req := &Request{ID: "r", Model: &config.Model{Name: "m"}}
	if stop != "" {
		req.Stop = []string{stop}
	}
	w := newResponseWriter(rec, req, chat, parsedCompletion{Stream: stream})
	for _, p := range pieces {
		err := w.WriteTokens([]string{p})
		if errors.Is(err, errStopSequence) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Finish("stop"); err != nil {
		t.Fatal(err)
	}
	return rec.Body.String()
}

// eventText returns the text of an event stream and the number of its [DONE]
// events. It fails on a block that is not an event.
func eventText(t *testing.T, body string) (text string, ends int) {
	t.Helper()
	for block := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(block, "data: ")
		if !ok || strings.ContainsAny(data, "\r\n") {
			t.Fatalf("block %q is not an event", block)
		}
		if data == "[DONE]" {
			ends++
			continue
		}
		text += responseText(t, data)
	}
	return text, ends
}

func responseText(t *testing.T, data string) string {
	t.Helper()
	var r completionResponse
	if err := json.Unmarshal([]byte(data), &r); err != nil {
		t.Fatalf("event %q: %v", data, err)
	}
	switch c := r.Choices[0]; {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return *c.Text
	}
}

// Guards against an event stream that is broken by line ends in the text, that
// differs from the non-streamed response, or that lets a stop sequence through.
func FuzzResponseStream(f *testing.F) {
	f.Add("one E", "N", "X two EN", "D three", "END", true)
	f.Add("data: [DONE]\n\n", "\r\n", "\"}", "", "", false)
	f.Add("aa", "ab", "aaab", "b", "aab", true)
	f.Fuzz(func(t *testing.T, a, b, c, d, stop string, chat bool) {
		pieces := []string{a, b, c, d}
		for i := range pieces {
			pieces[i] = strings.ToValidUTF8(pieces[i], "?")
		}
		stop = strings.ToValidUTF8(stop, "?")
		want := strings.Join(pieces, "")
		if at := strings.Index(want, stop); stop != "" && at >= 0 {
			want = want[:at]
		}
		text, ends := eventText(t, writeResponse(t, pieces, stop, true, chat))
		if text != want || ends != 1 {
			t.Errorf("streamed text is %q with %d [DONE] events, want %q with 1", text, ends, want)
		}
		if whole := responseText(t, writeResponse(t, pieces, stop, false, chat)); whole != want {
			t.Errorf("non-streamed text is %q, want %q", whole, want)
		}
	})
}
