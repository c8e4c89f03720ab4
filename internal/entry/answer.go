package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
)

// RequestIDHeader is the response header that carries the request ID. The same
// ID appears in logs and in the output of the explain command.
const RequestIDHeader = "X-Request-Id"

// errStopSequence ends a request whose output contains a stop sequence.
var errStopSequence = errors.New("stop sequence reached")

// tokenUsage is the usage object of the OpenAI API.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
	Logprobs     *struct{}        `json:"logprobs"`
}

type completionResponse struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// responseWriter writes the output of a request to the caller, either as
// server-sent events or as one JSON body. It sends the HTTP header together with
// the first token, so that a request that is refused earlier can still set its
// HTTP status.
type responseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	req          *Request
	chat         bool
	stream       bool
	includeUsage bool
	created      int64

	headerSent bool
	text       strings.Builder
	sentBytes  int // bytes of text already sent to a streaming caller
}

func newResponseWriter(w http.ResponseWriter, req *Request, chat bool, p parsedCompletion) *responseWriter {
	return &responseWriter{
		w:            w,
		rc:           http.NewResponseController(w),
		req:          req,
		chat:         chat,
		stream:       p.Stream,
		includeUsage: p.IncludeUsage,
		created:      time.Now().Unix(),
	}
}

// WriteTokens appends new output. It returns errStopSequence when a stop
// sequence completes the output, and any other error when the output cannot be
// written to the caller.
func (a *responseWriter) WriteTokens(fresh []string) error {
	for _, t := range fresh {
		a.text.WriteString(t)
	}
	if at := a.stopIndex(); at >= 0 {
		cut := a.text.String()[:at]
		a.text.Reset()
		a.text.WriteString(cut)
		if err := a.flushText(len(cut)); err != nil {
			return err
		}
		return errStopSequence
	}
	return a.flushText(a.text.Len() - a.stopPrefixBytes())
}

// stopIndex returns the byte offset of the first stop sequence in the output, or
// -1.
func (a *responseWriter) stopIndex() int {
	first := -1
	for _, s := range a.req.Stop {
		if at := strings.Index(a.text.String(), s); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// stopPrefixBytes returns the number of bytes at the end of the output that may
// be the beginning of a stop sequence. They must not be streamed before more
// output has ruled that out.
func (a *responseWriter) stopPrefixBytes() int {
	text := a.text.String()
	held := 0
	for _, s := range a.req.Stop {
		for n := min(len(s)-1, len(text)); n > held; n-- {
			if strings.HasSuffix(text, s[:n]) {
				held = n
				break
			}
		}
	}
	return held
}

// flushText sends the output up to byte offset end to a streaming caller.
func (a *responseWriter) flushText(end int) error {
	if !a.stream || end <= a.sentBytes {
		return nil
	}
	part := a.text.String()[a.sentBytes:end]
	c := choice{}
	if a.chat {
		c.Delta = &responseMessage{Content: part}
		if a.sentBytes == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &part
	}
	a.sentBytes = end
	return a.writeEvent(a.response([]choice{c}, nil))
}

// Finish completes the response with the given finish reason.
func (a *responseWriter) Finish(reason string) error {
	u := &tokenUsage{PromptTokens: a.req.PromptTokens, CompletionTokens: int(a.req.Delivered())}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if !a.stream {
		return a.writeWhole(reason, u)
	}
	if err := a.flushText(a.text.Len()); err != nil {
		return err
	}
	last := choice{FinishReason: &reason}
	if a.chat {
		last.Delta = &responseMessage{}
	} else {
		last.Text = new(string)
	}
	if err := a.writeEvent(a.response([]choice{last}, nil)); err != nil {
		return err
	}
	if a.includeUsage {
		if err := a.writeEvent(a.response([]choice{}, u)); err != nil {
			return err
		}
	}
	return a.writeRaw("data: [DONE]\n\n")
}

func (a *responseWriter) writeWhole(reason string, u *tokenUsage) error {
	text := a.text.String()
	c := choice{FinishReason: &reason}
	if a.chat {
		c.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.writeHeader("application/json")
	return json.NewEncoder(a.w).Encode(a.response([]choice{c}, u))
}

// Fail reports an error: as the complete response if nothing has been sent, and
// as an event of the stream otherwise. A failed stream carries no [DONE] event,
// so that a client does not mistake partial output for the complete output.
func (a *responseWriter) Fail(e *fault.Error) {
	if !a.headerSent {
		a.headerSent = true
		e.Write(a.w)
		return
	}
	_ = a.writeEvent(e.Body())
}

func (a *responseWriter) response(choices []choice, u *tokenUsage) completionResponse {
	r := completionResponse{
		ID:      a.objectID(),
		Created: a.created,
		Model:   a.req.Model.Name,
		Choices: choices,
		Usage:   u,
	}
	switch {
	case !a.chat:
		r.Object = "text_completion"
	case a.stream:
		r.Object = "chat.completion.chunk"
	default:
		r.Object = "chat.completion"
	}
	return r
}

func (a *responseWriter) objectID() string {
	if a.chat {
		return "chatcmpl-" + a.req.ID
	}
	return "cmpl-" + a.req.ID
}

func (a *responseWriter) writeHeader(contentType string) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	a.w.Header().Set("Content-Type", contentType)
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *responseWriter) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode response event of request %s", a.req.ID)
	}
	return a.writeRaw("data: " + string(raw) + "\n\n")
}

// callerWriteTimeout bounds one write to a caller that does not read. Without
// it, the request would hold engine memory for as long as the caller keeps the
// connection open.
const callerWriteTimeout = 10 * time.Second

func (a *responseWriter) writeRaw(s string) error {
	a.writeHeader("text/event-stream")
	// A ResponseWriter without support for deadlines returns an error here; the
	// stream then works without a write timeout.
	_ = a.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := a.w.Write([]byte(s)); err != nil {
		return errors.Wrapf(err, "write response of request %s to the caller", a.req.ID)
	}
	if err := a.rc.Flush(); err != nil {
		return errors.Wrapf(err, "flush response of request %s to the caller", a.req.ID)
	}
	return nil
}
