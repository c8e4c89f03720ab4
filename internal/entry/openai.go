package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fault"
)

// defaultMaxTokens applies when a request names no limit.
const defaultMaxTokens = 256

// maxStopSequences is the limit of the OpenAI API.
const maxStopSequences = 4

// completionRequest is the body of both completion calls. Fields that the
// engines take as they are stay in sampling.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Stop                json.RawMessage `json:"stop"`
	N                   *int            `json:"n"`

	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	Seed             *int64   `json:"seed"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// samplingOptions are passed to the engine unchanged.
type samplingOptions struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
}

// parsedCompletion is a completionRequest after validation.
type parsedCompletion struct {
	Model        string
	Prompt       string
	MaxTokens    int
	Stream       bool
	IncludeUsage bool
	Stop         []string
	Sampling     string
}

func malformed(param, remedy, format string, args ...any) *fault.Error {
	return fault.New(fault.KindMalformedRequest, remedy, format, args...).WithParam(param)
}

// parseCompletion reads and checks the body of a completion call.
func parseCompletion(body []byte, chat bool) (parsedCompletion, error) {
	var in completionRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&in); err != nil {
		return parsedCompletion{}, malformed("", "send one JSON object", "the body is not valid JSON: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return parsedCompletion{}, malformed("", "send one JSON object", "the body has data after the JSON object")
	}
	out := parsedCompletion{Model: in.Model, Stream: in.Stream}
	if in.StreamOptions != nil {
		out.IncludeUsage = in.StreamOptions.IncludeUsage
	}
	if in.Model == "" {
		return out, malformed("model", "name a model of GET /v1/models", "the field model is missing")
	}
	if in.N != nil && *in.N != 1 {
		return out, malformed("n", "send n requests instead", "n must be 1, got %d", *in.N)
	}
	var err error
	if out.Prompt, err = promptOf(&in, chat); err != nil {
		return out, err
	}
	if out.MaxTokens, err = maxTokensOf(&in); err != nil {
		return out, err
	}
	if out.Stop, err = stopOf(in.Stop); err != nil {
		return out, err
	}
	out.Sampling, err = samplingOf(&in)
	return out, err
}

func promptOf(in *completionRequest, chat bool) (string, error) {
	if chat {
		return chatPrompt(in.Messages)
	}
	var prompt string
	if err := json.Unmarshal(in.Prompt, &prompt); err == nil {
		if strings.TrimSpace(prompt) == "" {
			return "", malformed("prompt", "send a prompt with text", "the prompt is empty")
		}
		return prompt, nil
	}
	var list []string
	if err := json.Unmarshal(in.Prompt, &list); err == nil && len(list) == 1 && strings.TrimSpace(list[0]) != "" {
		return list[0], nil
	}
	return "", malformed("prompt", "send one string", "the prompt must be one string")
}

// chatPrompt renders messages as lines of role and text. The engines see the
// rendered text, so the same conversation always has the same prefix.
func chatPrompt(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", malformed("messages", "send at least one message", "the field messages is missing or empty")
	}
	var b strings.Builder
	for _, m := range messages {
		if m.Role == "" {
			return "", malformed("messages", "set role to system, user or assistant", "a message has no role")
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteString("\n")
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", malformed("messages", "send content as a string or a list of text parts", "a message has no valid content")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", malformed("messages", "send text parts only", "content parts of type %q are not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func maxTokensOf(in *completionRequest) (int, error) {
	limit := in.MaxTokens
	if in.MaxCompletionTokens != nil {
		limit = in.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 {
		return 0, malformed("max_tokens", "send a number above 0 or leave it out", "max_tokens must be at least 1, got %d", *limit)
	}
	return *limit, nil
}

func stopOf(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return checkStop([]string{one})
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil {
		return nil, malformed("stop", "send a string or a list of strings", "stop has the wrong type")
	}
	return checkStop(list)
}

func checkStop(list []string) ([]string, error) {
	if len(list) > maxStopSequences {
		return nil, malformed("stop", "send at most 4", "%d stop sequences are too many", len(list))
	}
	for _, s := range list {
		if s == "" {
			return nil, malformed("stop", "leave it out", "a stop sequence is empty")
		}
	}
	return list, nil
}

func samplingOf(in *completionRequest) (string, error) {
	raw, err := json.Marshal(samplingOptions{
		Temperature:      in.Temperature,
		TopP:             in.TopP,
		Seed:             in.Seed,
		PresencePenalty:  in.PresencePenalty,
		FrequencyPenalty: in.FrequencyPenalty,
	})
	if err != nil {
		return "", malformed("", "send finite numbers", "sampling options: %v", err)
	}
	return string(raw), nil
}
