package gateway

import (
	"strings"
	"testing"
)

// Guards against an event that is split or held back because of its line ends.
func TestEndOfLastEvent(t *testing.T) {
	cases := []struct {
		text        string
		end, events int
	}{
		{"", 0, 0},
		{"data: a", 0, 0},
		{"data: a\n", 0, 0},
		{"data: a\n\n", 9, 1},
		{"data: a\n\ndata: b\n", 9, 1},
		{"data: a\r\n\r", 0, 0},
		{"data: a\r\n\r\n", 11, 1},
		{"data: a\r\n\r\ndata: b\r\n\r\nid", 22, 2},
		{"data: a\n\r\n", 10, 1},
		{"data: a\r\rdata", 9, 1},
	}
	for _, c := range cases {
		end := endOfLastEvent([]byte(c.text))
		if events := countEvents([]byte(c.text)[:end]); end != c.end || events != c.events {
			t.Errorf("%q: whole events end at %d with %d events, want %d with %d", c.text, end, events, c.end, c.events)
		}
	}
}

// Guards against an event that is joined wrongly when its bytes arrive one by one.
func FuzzEndOfLastEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("id: 1\r\ndata: a\r\n\r\nid")
	f.Fuzz(func(t *testing.T, text string) {
		end := endOfLastEvent([]byte(text))
		if end < 0 || end > len(text) {
			t.Fatalf("end %d of %d bytes", end, len(text))
		}
		if rest := text[end:]; strings.Contains(rest, "\n\n") || strings.Contains(rest, "\r\n\r\n") {
			t.Errorf("%q holds the end of an event", rest)
		}
	})
}

// Guards against a stream that is resumed after the wrong event because the text of an
// event contains what looks like an ID.
func TestLastEventID(t *testing.T) {
	cases := []struct{ events, id string }{
		{"id: 7\ndata: a\n\n", "7"},
		{"id: 7\ndata: a\n\nid: 8\ndata: valid: yes\n\n", "8"},
		{"data: paid: 5\nid:9\n\n", "9"},
		{"id: 7\r\ndata: a\r\n\r\n", "7"},
		{"id: 7\rdata: a\r\r", "7"},
		{"data: id: 5\n\n", ""},
	}
	for _, c := range cases {
		s := &streamRelay{}
		s.updateLastID([]byte(c.events))
		if s.lastID != c.id {
			t.Errorf("%q: ID %q, want %q", c.events, s.lastID, c.id)
		}
	}
}
