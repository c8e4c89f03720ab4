package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// modelCall is one completion request of a caller.
type modelCall struct {
	client      *http.Client
	url, key    string
	entry       int // index of the entry that url names
	chat        bool
	stream      bool
	prompt      string
	maxTokens   int
	cancelAfter time.Duration // 0: the caller waits for the whole response
}

// modelResult is the response that the caller received, with its timing.
type modelResult struct {
	status    int
	outcome   string
	errorCode string
	text      string
	complete  bool // a stream ended in [DONE], or a whole body arrived
	// malformed describes a protocol error in a stream: a repeated [DONE] or data
	// after [DONE].
	malformed string
	// connected reports whether the connection to the entry was established.
	connected bool
	start     time.Time
	end       time.Time
	cancelled bool
	err       error
	ttft      time.Duration
	elapsed   time.Duration
	tokens    int
	requestID string
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type responseBody struct {
	Choices []struct {
		Text    string       `json:"text"`
		Message *chatMessage `json:"message"`
		Delta   *chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *responseBody) text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	switch c := r.Choices[0]; {
	case c.Message != nil:
		return c.Message.Content
	case c.Delta != nil:
		return c.Delta.Content
	default:
		return c.Text
	}
}

// enginePrompt returns the prompt that the engines receive: the text itself, or
// the rendered chat.
func (c modelCall) enginePrompt() string {
	if c.chat {
		return "user: " + c.prompt + "\nassistant:"
	}
	return c.prompt
}

func (c modelCall) run(ctx context.Context) (result modelResult) {
	if c.cancelAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cancelAfter)
		defer cancel()
	}
	start := time.Now()
	result.start = start
	defer func() { result.end = time.Now() }()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.connected = true }}
	resp, err := c.send(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		result.err, result.cancelled = err, ctx.Err() != nil
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.status = resp.StatusCode
	result.outcome = resp.Header.Get("Fescueslip-Outcome")
	result.requestID = resp.Header.Get("X-Request-Id")
	if c.stream && resp.StatusCode == http.StatusOK {
		c.readStream(resp.Body, start, &result)
	} else {
		c.readBody(resp.Body, start, &result)
	}
	result.elapsed = time.Since(start)
	result.tokens = len(strings.Fields(result.text))
	result.cancelled = ctx.Err() != nil
	return result
}

func (c modelCall) send(ctx context.Context) (*http.Response, error) {
	body := completionRequest{Model: modelName, MaxTokens: c.maxTokens, Stream: c.stream}
	path := "/v1/completions"
	if c.chat {
		path = "/v1/chat/completions"
		body.Messages = []chatMessage{{Role: "user", Content: c.prompt}}
	} else {
		body.Prompt = c.prompt
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.client.Do(req)
}

// readStream reads a streamed response into result.
func (c modelCall) readStream(body io.Reader, start time.Time, result *modelResult) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if result.complete {
			result.malformed = "data after [DONE]: " + data
		}
		if data == "[DONE]" {
			result.complete = true
			continue
		}
		var response responseBody
		if err := json.Unmarshal([]byte(data), &response); err != nil {
			result.err = err
			return
		}
		if response.Error != nil {
			result.errorCode = response.Error.Code
		}
		if result.ttft == 0 && response.text() != "" {
			result.ttft = time.Since(start)
		}
		result.text += response.text()
	}
	result.err = scanner.Err()
}

// readBody reads a response that is not streamed into result. Its time to first token
// is the time until the whole response was read.
func (c modelCall) readBody(body io.Reader, start time.Time, result *modelResult) {
	var response responseBody
	if result.err = json.NewDecoder(body).Decode(&response); result.err != nil {
		return
	}
	if response.Error != nil {
		result.errorCode = response.Error.Code
		return
	}
	result.ttft = time.Since(start)
	result.text = response.text()
	result.complete = true
}

// plainCall is one request to a plain (non-model) service.
type plainCall struct {
	client         *http.Client
	entry          int // index of the entry that url names
	method, url    string
	key            string
	idempotencyKey string
	body           string
}

type plainResult struct {
	status    int
	outcome   string
	errorCode string
	body      string
	err       error
	elapsed   time.Duration
	connected bool // the connection to the entry was established
	entry     int
	start     time.Time
}

func (c plainCall) run(ctx context.Context) plainResult {
	start := time.Now()
	result := plainResult{start: start, entry: c.entry}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.connected = true }})
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return plainResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		result.err, result.elapsed = err, time.Since(start)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	result.status, result.outcome, result.body, result.err = resp.StatusCode, resp.Header.Get("Fescueslip-Outcome"), string(raw), err
	result.elapsed = time.Since(start)
	var response responseBody
	if json.Unmarshal(raw, &response) == nil && response.Error != nil {
		result.errorCode = response.Error.Code
	}
	return result
}
