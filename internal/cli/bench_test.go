package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"slices"
	"testing"

	"github.com/google/subcommands"
)

// Guards against renamed, missing or additional fields in the JSON output, which
// scripts read.
func TestBenchJSONFields(t *testing.T) {
	var out, errOut bytes.Buffer
	cmd := Bench(Env{Stdout: &out, Stderr: &errOut})
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	cmd.SetFlags(f)
	if err := f.Parse([]string{"-profile", "huronbay", "-load", "0.5", "-duration", "10s", "-json"}); err != nil {
		t.Fatal(err)
	}
	if status := cmd.Execute(context.Background(), f); status != subcommands.ExitSuccess {
		t.Fatalf("status %v: %s", status, errOut.String())
	}
	var got map[string]float64
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := []string{"offered", "finished", "refused_not_run", "goodput_ratio", "wasted_prefill_ratio", "ttft_p50_ms",
		"ttft_p95_ms", "tpot_p95_ms", "fairness_max_over_min", "quiet_caller_ttft_ratio", "lookup_p95_ms",
		"leaked_tokens", "duplicate_runs", "upper_bound_goodput_ratio"}
	for _, name := range want {
		if _, ok := got[name]; !ok {
			t.Errorf("field %s is missing", name)
		}
	}
	for name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("unexpected field %s", name)
		}
	}
}
