package demo

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// newClient returns the OpenAI client library against the first entry.
func newClient(f *Fleet, key string) (openai.Client, func()) {
	hc := &http.Client{Transport: &http.Transport{DialContext: f.network.Dial}}
	c := openai.NewClient(
		option.WithBaseURL("http://"+f.options.Addresses.Entry(0)+"/v1"),
		option.WithAPIKey(key),
		option.WithHTTPClient(hc),
		option.WithMaxRetries(0),
	)
	return c, hc.CloseIdleConnections
}

func withFleet(t *testing.T, test func(t *testing.T, f *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Start(t.Context(), testOptions(t))
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(stopBubbleEnd)
		defer f.Stop()
		test(t, f)
	})
}

func chatParams(text string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     modelName,
		MaxTokens: openai.Int(maxTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// Guards against an API that a well-known client library cannot use.
func TestOpenAIClient(t *testing.T) {
	withFleet(t, func(t *testing.T, f *Fleet) {
		c, done := newClient(f, "demo-caller-a")
		defer done()
		want, _ := f.options.Params.Output("user: Hello there\nassistant:", 12)
		ctx := context.Background()

		whole, err := c.Chat.Completions.New(ctx, chatParams("Hello there", 12))
		if err != nil {
			t.Fatal(err)
		}
		if got := whole.Choices[0].Message.Content; got != want || whole.Usage.CompletionTokens != 12 {
			t.Errorf("whole answer %q with %d tokens, want %q with 12", got, whole.Usage.CompletionTokens, want)
		}

		stream := c.Chat.Completions.NewStreaming(ctx, chatParams("Hello there", 12))
		var streamed strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				streamed.WriteString(choice.Delta.Content)
			}
		}
		if err := stream.Err(); err != nil || streamed.String() != want {
			t.Errorf("streamed answer %q, %v; want %q", streamed.String(), err, want)
		}

		models, err := c.Models.List(ctx)
		if err != nil || len(models.Data) != 1 || models.Data[0].ID != modelName {
			t.Errorf("models %+v, %v", models, err)
		}
	})
}

// Guards against refusals that the client library cannot read.
func TestOpenAIClientSeesTypedErrors(t *testing.T) {
	cases := []struct {
		name, key string
		params    openai.ChatCompletionNewParams
		status    int
		code      string
	}{
		{"wrong key", "nobody", chatParams("hi", 1), 401, "invalid_api_key"},
		{"unknown model", "demo-caller-a", openai.ChatCompletionNewParams{Model: "nope",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")}}, 404, "model_not_found"},
		{"long prompt", "demo-caller-a", chatParams(strings.Repeat("word ", 40_000), 1), 400, "context_length_exceeded"},
		{"large body", "demo-caller-a", chatParams(strings.Repeat("x", 3_000_000), 1), 413, "request_too_large"},
	}
	withFleet(t, func(t *testing.T, f *Fleet) {
		for _, c := range cases {
			client, done := newClient(f, c.key)
			_, err := client.Chat.Completions.New(context.Background(), c.params)
			done()
			var apiErr *openai.Error
			if !errors.As(err, &apiErr) {
				t.Errorf("%s: got %v, want an API error", c.name, err)
				continue
			}
			if apiErr.StatusCode != c.status || apiErr.Code != c.code || apiErr.Response.Header.Get("Fescueslip-Outcome") != "not-run" {
				t.Errorf("%s: got %d %s %s", c.name, apiErr.StatusCode, apiErr.Code, apiErr.Response.Header.Get("Fescueslip-Outcome"))
			}
		}
	})
}
