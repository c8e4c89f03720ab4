package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// harness is a running cluster with a monitor and an HTTP client, for tests that
// inject chosen faults.
type harness struct {
	*monitor
	t       *testing.T
	cluster *Cluster
	report  *Report
	client  *http.Client
}

// runWithHarness runs a test on a cluster in virtual time and then checks every
// guarantee. configure, if set, changes the cluster's options.
func runWithHarness(t *testing.T, configure func(*Options), test func(ctx context.Context, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(t)
		if configure != nil {
			configure(&o)
		}
		cluster, err := Start(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(postStopWait)
		defer cluster.Stop()
		h := &harness{monitor: newMonitor(cluster), t: t, cluster: cluster, report: newReport()}
		h.client = &http.Client{Transport: &http.Transport{DialContext: cluster.network.Dial, DisableKeepAlives: true}}
		test(t.Context(), h)
		cluster.checkFinalState(h.report)
		for _, line := range h.finish(h.report) {
			t.Error(line)
		}
		t.Log("longest delays:", h.worstDelays)
	})
}

// call sends a streamed completion request through an entry and returns what the
// caller received.
func (h *harness) call(ctx context.Context, entry int, prompt string, maxTokens int, cancelAfter time.Duration) modelResult {
	entry %= h.cluster.options.Entries
	c := modelCall{
		client: h.client, url: "http://" + h.cluster.options.Addresses.Entry(entry), entry: entry,
		key: callerKey(entry), stream: true, prompt: prompt, maxTokens: maxTokens, cancelAfter: cancelAfter,
	}
	h.modelCallStarted(c)
	result := c.run(ctx)
	h.modelCallEnded(c, result)
	want, _ := h.cluster.options.Params.Output(c.enginePrompt(), c.maxTokens)
	h.report.addModel(c, result, want)
	return result
}

// injectFault starts a registered fault and records it with the monitor.
func (h *harness) injectFault(target, kind string, duration time.Duration) {
	h.recordFault(target, kind, duration)
	if err := h.cluster.registry.StartFault(target, kind, duration); err != nil {
		h.t.Errorf("start fault on %s (kind %s): %v", target, kind, err)
	}
}

// uniquePrompt returns a prompt of n words. The words contain name, so that
// requests with different names share no prefix.
func uniquePrompt(name string, n int) string {
	var s strings.Builder
	for i := range n {
		fmt.Fprintf(&s, "%s-%d ", name, i)
	}
	return strings.TrimSpace(s.String())
}

// promptWithAnswerLength returns a prompt of n words whose answer has at least
// maxTokens tokens. The stand-in engine derives the answer length from the prompt,
// so the function tries prompts until one fits.
func (h *harness) promptWithAnswerLength(name string, n, maxTokens int) string {
	for i := range 1000 {
		prompt := uniquePrompt(fmt.Sprint(name, "-", i), n)
		if text, _ := h.cluster.options.Params.Output(prompt, maxTokens); len(strings.Fields(text)) >= maxTokens {
			return prompt
		}
	}
	h.t.Fatalf("none of 1000 prompts named %q has an answer of %d tokens", name, maxTokens)
	return ""
}
