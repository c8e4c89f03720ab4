package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fescueslip/fescueslip/internal/exchange"
)

// Guards against an answer that is joined to a stream which broke off, although it does
// not continue it: an error, another document, or events that the client has already.
func TestResumedStreamTakesOnlyItsContinuation(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	events := http.Header{"Content-Type": {eventStreamType}}
	cases := []struct {
		name   string
		status int
		header http.Header
		body   string
		want   string
	}{
		{"continuation", 200, events, "id: 3\ndata: c\n\n", "id: 3\ndata: c\n\n"},
		{"no event", 200, events, "", ""},
		{"error with its status", 500, http.Header{"Content-Type": {"text/plain"}}, "failed\n\n", ""},
		{"error as events", 200, events, "failed\n\n", ""},
		{"head of an error", 200, http.Header{}, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed", ""},
		{"document", 200, http.Header{"Content-Type": {"application/json"}}, "{}\n\n", ""},
		{"event that the client has", 200, events, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			relay := newStreamRelay(w)
			relay.beginRun(&exchange.Response{Status: 200, Header: events, Framing: exchange.Chunked})
			if err := relay.copy(strings.NewReader(begun)); err != nil {
				t.Fatal(err)
			}
			resp := &exchange.Response{Status: c.status, Header: c.header, Framing: exchange.Chunked}
			err := checkContinuation(resp)
			if err == nil {
				relay.beginRun(resp)
				err = relay.copy(strings.NewReader(c.body))
			}
			if got := w.Body.String(); got != begun+c.want || (err == nil) != (c.want != "") {
				t.Errorf("the client gets %q, error %v; want %q", got, err, begun+c.want)
			}
		})
	}
}
