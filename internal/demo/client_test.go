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

// newClient returns an OpenAI client that calls the first entry, and a function
// that closes its idle connections.
func newClient(cluster *Cluster, key string) (openai.Client, func()) {
	hc := &http.Client{Transport: &http.Transport{DialContext: cluster.network.Dial}}
	client := openai.NewClient(
		option.WithBaseURL("http://"+cluster.options.Addresses.Entry(0)+"/v1"),
		option.WithAPIKey(key),
		option.WithHTTPClient(hc),
		option.WithMaxRetries(0),
	)
	return client, hc.CloseIdleConnections
}

func runWithCluster(t *testing.T, test func(t *testing.T, cluster *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster, err := Start(t.Context(), testOptions(t))
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(postStopWait)
		defer cluster.Stop()
		test(t, cluster)
	})
}

func chatParams(prompt string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     modelName,
		MaxTokens: openai.Int(maxTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// Guards against an API that is incompatible with the OpenAI client library: whole
// answers, streamed answers and the list of models must be readable by it.
func TestOpenAIClient(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *Cluster) {
		client, done := newClient(cluster, "demo-caller-a")
		defer done()
		want, _ := cluster.options.Params.Output("user: Hello there\nassistant:", 12)
		ctx := context.Background()

		whole, err := client.Chat.Completions.New(ctx, chatParams("Hello there", 12))
		if err != nil {
			t.Fatal(err)
		}
		if got := whole.Choices[0].Message.Content; got != want || whole.Usage.CompletionTokens != 12 {
			t.Errorf("non-streamed answer is %q with %d tokens, want %q with 12", got, whole.Usage.CompletionTokens, want)
		}

		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("Hello there", 12))
		var streamed strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				streamed.WriteString(choice.Delta.Content)
			}
		}
		if err := stream.Err(); err != nil || streamed.String() != want {
			t.Errorf("streamed answer is %q with error %v, want %q", streamed.String(), err, want)
		}

		models, err := client.Models.List(ctx)
		if err != nil || len(models.Data) != 1 || models.Data[0].ID != modelName {
			t.Errorf("list models: got %+v with error %v, want one model", models, err)
		}
	})
}

// Guards against refusals that the OpenAI client library cannot parse, or that
// carry the wrong status, code or outcome.
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
	runWithCluster(t, func(t *testing.T, cluster *Cluster) {
		for _, c := range cases {
			client, done := newClient(cluster, c.key)
			_, err := client.Chat.Completions.New(context.Background(), c.params)
			done()
			var apiErr *openai.Error
			if !errors.As(err, &apiErr) {
				t.Errorf("%s: got %v, want an API error", c.name, err)
				continue
			}
			if apiErr.StatusCode != c.status || apiErr.Code != c.code || apiErr.Response.Header.Get("Fescueslip-Outcome") != "not-run" {
				t.Errorf("%s: got status %d, code %q and outcome %q", c.name, apiErr.StatusCode, apiErr.Code, apiErr.Response.Header.Get("Fescueslip-Outcome"))
			}
		}
	})
}
