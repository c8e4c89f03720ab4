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
func (rw *responseWriter) WriteTokens(fresh []string) error {
	for _, t := range fresh {
		rw.text.WriteString(t)
	}
	if at := rw.stopIndex(); at >= 0 {
		cut := rw.text.String()[:at]
		rw.text.Reset()
		rw.text.WriteString(cut)
		if err := rw.flushText(len(cut)); err != nil {
			return err
		}
		return errStopSequence
	}
	return rw.flushText(rw.text.Len() - rw.stopPrefixBytes())
}

// stopIndex returns the byte offset of the first stop sequence in the output, or
// -1.
func (rw *responseWriter) stopIndex() int {
	first := -1
	for _, s := range rw.req.Stop {
		if at := strings.Index(rw.text.String(), s); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// stopPrefixBytes returns the number of bytes at the end of the output that may
// be the beginning of a stop sequence. They must not be streamed before more
// output has ruled that out.
func (rw *responseWriter) stopPrefixBytes() int {
	text := rw.text.String()
	held := 0
	for _, s := range rw.req.Stop {
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
func (rw *responseWriter) flushText(end int) error {
	if !rw.stream || end <= rw.sentBytes {
		return nil
	}
	part := rw.text.String()[rw.sentBytes:end]
	c := choice{}
	if rw.chat {
		c.Delta = &responseMessage{Content: part}
		if rw.sentBytes == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &part
	}
	rw.sentBytes = end
	return rw.writeEvent(rw.response([]choice{c}, nil))
}

// Finish completes the response with the given finish reason.
func (rw *responseWriter) Finish(reason string) error {
	u := &tokenUsage{PromptTokens: rw.req.PromptTokens, CompletionTokens: int(rw.req.Delivered())}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if !rw.stream {
		return rw.writeWhole(reason, u)
	}
	if err := rw.flushText(rw.text.Len()); err != nil {
		return err
	}
	last := choice{FinishReason: &reason}
	if rw.chat {
		last.Delta = &responseMessage{}
	} else {
		last.Text = new(string)
	}
	if err := rw.writeEvent(rw.response([]choice{last}, nil)); err != nil {
		return err
	}
	if rw.includeUsage {
		if err := rw.writeEvent(rw.response([]choice{}, u)); err != nil {
			return err
		}
	}
	return rw.writeRaw("data: [DONE]\n\n")
}

func (rw *responseWriter) writeWhole(reason string, u *tokenUsage) error {
	text := rw.text.String()
	c := choice{FinishReason: &reason}
	if rw.chat {
		c.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	rw.writeHeader("application/json")
	return json.NewEncoder(rw.w).Encode(rw.response([]choice{c}, u))
}

// Fail reports an error: as the complete response if nothing has been sent, and
// as an event of the stream otherwise. A failed stream carries no [DONE] event,
// so that a client does not mistake partial output for the complete output.
func (rw *responseWriter) Fail(e *fault.Error) {
	if !rw.headerSent {
		rw.headerSent = true
		e.Write(rw.w)
		return
	}
	_ = rw.writeEvent(e.Body())
}

func (rw *responseWriter) response(choices []choice, u *tokenUsage) completionResponse {
	r := completionResponse{
		ID:      rw.objectID(),
		Created: rw.created,
		Model:   rw.req.Model.Name,
		Choices: choices,
		Usage:   u,
	}
	switch {
	case !rw.chat:
		r.Object = "text_completion"
	case rw.stream:
		r.Object = "chat.completion.chunk"
	default:
		r.Object = "chat.completion"
	}
	return r
}

func (rw *responseWriter) objectID() string {
	if rw.chat {
		return "chatcmpl-" + rw.req.ID
	}
	return "cmpl-" + rw.req.ID
}

func (rw *responseWriter) writeHeader(contentType string) {
	if rw.headerSent {
		return
	}
	rw.headerSent = true
	rw.w.Header().Set("Content-Type", contentType)
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.w.WriteHeader(http.StatusOK)
}

func (rw *responseWriter) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode response event of request %s", rw.req.ID)
	}
	return rw.writeRaw("data: " + string(raw) + "\n\n")
}

// callerWriteTimeout bounds one write to a caller that does not read. Without
// it, the request would hold engine memory for as long as the caller keeps the
// connection open.
const callerWriteTimeout = 10 * time.Second

func (rw *responseWriter) writeRaw(s string) error {
	rw.writeHeader("text/event-stream")
	// A ResponseWriter without support for deadlines returns an error here; the
	// stream then works without a write timeout.
	_ = rw.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := rw.w.Write([]byte(s)); err != nil {
		return errors.Wrapf(err, "write response of request %s to the caller", rw.req.ID)
	}
	if err := rw.rc.Flush(); err != nil {
		return errors.Wrapf(err, "flush response of request %s to the caller", rw.req.ID)
	}
	return nil
}
