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

// bench is a fleet with a watch and a caller, for tests of single faults.
type bench struct {
	*watch
	t      *testing.T
	fleet  *Fleet
	report *Report
	client *http.Client
}

// inFleet runs a test in virtual time on a fleet and then checks every promise.
func inFleet(t *testing.T, change func(*Options), test func(ctx context.Context, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(t)
		if change != nil {
			change(&o)
		}
		f, err := Start(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer time.Sleep(stopBubbleEnd)
		defer f.Stop()
		b := &bench{watch: newWatch(f), t: t, fleet: f, report: newReport()}
		b.client = &http.Client{Transport: &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}}
		test(t.Context(), b)
		f.checkAfter(b.report)
		for _, line := range b.finish(b.report) {
			t.Error(line)
		}
		t.Log("figures:", b.worst)
	})
}

// call sends a streamed completion through an entry and returns what the caller saw.
func (b *bench) call(ctx context.Context, entry int, prompt string, maxTokens int, leaveAfter time.Duration) modelResult {
	entry %= b.fleet.options.Entries
	c := modelCall{
		client: b.client, url: "http://" + b.fleet.options.Addresses.Entry(entry), entry: entry,
		key: caller(entry), stream: true, prompt: prompt, maxTokens: maxTokens, leaveAfter: leaveAfter,
	}
	b.began(c)
	m := c.run(ctx)
	b.ended(c, m)
	want, _ := b.fleet.options.Params.Output(c.enginePrompt(), c.maxTokens)
	b.report.addModel(c, m, want)
	return m
}

// fault starts a fault of the registry and tells the watch.
func (b *bench) fault(target, kind string, length time.Duration) {
	b.noteFault(target, kind, length)
	if err := b.fleet.registry.StartFault(target, kind, length); err != nil {
		b.t.Errorf("%s %s: %v", target, kind, err)
	}
}

// words returns a prompt of n words that belongs to one request only.
func words(name string, n int) string {
	var s strings.Builder
	for i := range n {
		fmt.Fprintf(&s, "%s-%d ", name, i)
	}
	return strings.TrimSpace(s.String())
}

// long returns a prompt of n words whose answer is cut off by maxTokens only.
// The stand-in's answers have a length of their own, by prompt.
func (b *bench) long(name string, n, maxTokens int) string {
	for i := range 1000 {
		prompt := words(fmt.Sprint(name, "-", i), n)
		if text, _ := b.fleet.options.Params.Output(prompt, maxTokens); len(strings.Fields(text)) >= maxTokens {
			return prompt
		}
	}
	b.t.Fatalf("no prompt has an answer of %d tokens", maxTokens)
	return ""
}
