package cli_test

import (
	"encoding/json"
	"net/http"
	"testing"
)

// completionText returns the text in one event of a streamed completion.
func completionText(t *testing.T, data string) string {
	t.Helper()
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error any `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil || event.Error != nil {
		t.Fatalf("event %q: %v", data, err)
	}
	if len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Text
}

// findBusyDecode returns the name of the decode upstream whose sidecar is running a
// request.
func (c *testCluster) findBusyDecode(t *testing.T, decodes map[string]*process) string {
	t.Helper()
	for name, p := range decodes {
		resp, err := http.Get("http://" + p.admin + "/debug/state")
		if err != nil {
			t.Fatal(err)
		}
		var state struct {
			Parts struct {
				Engine struct {
					Requests int `json:"requests"`
				} `json:"engine"`
			} `json:"parts"`
		}
		err = json.NewDecoder(resp.Body).Decode(&state)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if state.Parts.Engine.Requests > 0 {
			return name
		}
	}
	t.Fatal("no decode sidecar runs the request")
	return ""
}
