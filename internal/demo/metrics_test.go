package demo

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	metricName = regexp.MustCompile(`fescueslip_[a-z_]+`)
	sumLabels  = regexp.MustCompile(`by \(([a-z_, ]+)\)`)
	labelName  = regexp.MustCompile(`([a-z_]+)="`)
)

// scrape returns the fescueslip_ metric lines of all processes.
func scrape(t *testing.T, cluster *Cluster) []string {
	t.Helper()
	transport := &http.Transport{DialContext: cluster.network.Dial}
	defer transport.CloseIdleConnections()
	var lines []string
	for _, n := range slices.Concat(cluster.entries, cluster.sidecars) {
		resp, err := (&http.Client{Transport: transport}).Get("http://" + n.adminAddress + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("read metrics of %s: status %s, error %v", n.name(), resp.Status, err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, "fescueslip_") {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// labelsByName returns the set of label names of each exported metric.
func labelsByName(lines []string) map[string]map[string]bool {
	labels := make(map[string]map[string]bool)
	for _, line := range lines {
		name := metricName.FindString(line)
		if labels[name] == nil {
			labels[name] = make(map[string]bool)
		}
		for _, label := range labelName.FindAllStringSubmatch(line, -1) {
			labels[name][label[1]] = true
		}
	}
	return labels
}

// sumSeries returns the sum of one series over all processes.
func sumSeries(t *testing.T, lines []string, series string) float64 {
	t.Helper()
	sum := 0.0
	for _, line := range lines {
		value, ok := strings.CutPrefix(line, series+" ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += v
	}
	return sum
}

// dashboardRows returns the rows of the dashboard table in docs/OPERATIONS.md that
// contain a query.
func dashboardRows(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "\n## Dashboard\n")
	var rows []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "|") && strings.Contains(line, "fescueslip_") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	if len(rows) == 0 {
		t.Fatal("docs/OPERATIONS.md has no dashboard rows with a query")
	}
	return rows
}

// Guards against dashboard queries that match no exported metric or label, and
// against a caller label, whose cardinality grows with the number of callers.
func TestDashboardQueriesMatchExportedMetrics(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *Cluster) {
		client, done := newClient(cluster, callerKeys[0])
		defer done()
		if _, err := client.Chat.Completions.New(context.Background(), chatParams("Hello there", 4)); err != nil {
			t.Fatal(err)
		}
		unknown := chatParams("hi", 1)
		unknown.Model = "nope"
		if _, err := client.Chat.Completions.New(context.Background(), unknown); err == nil {
			t.Fatal("an unknown model was accepted")
		}
		time.Sleep(time.Second)
		exported := labelsByName(scrape(t, cluster))
		for _, row := range dashboardRows(t) {
			for _, name := range metricName.FindAllString(row, -1) {
				if exported[name] == nil {
					t.Errorf("%s is not exported: %s", name, row)
				}
				for _, by := range sumLabels.FindAllStringSubmatch(row, -1) {
					for label := range strings.SplitSeq(by[1], ", ") {
						if !exported[name][label] {
							t.Errorf("%s has no label %s: %s", name, label, row)
						}
					}
				}
			}
		}
		for name, labels := range exported {
			if labels["caller"] {
				t.Errorf("%s has a caller label", name)
			}
		}
	})
}

// Guards against metrics that are exported but never updated.
func TestMetricsCountRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *Cluster) {
		client, done := newClient(cluster, callerKeys[0])
		defer done()
		if _, err := client.Chat.Completions.New(t.Context(), chatParams("Hello there", 4)); err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DialContext: cluster.network.Dial}
		defer transport.CloseIdleConnections()
		url := "http://" + cluster.options.Addresses.Entry(0) + "/orders/"
		for _, call := range []plainCall{
			{method: http.MethodGet, url: url + "status/1"},
			{method: http.MethodPost, url: url + "book", body: `{"id":"once"}`},
			{method: http.MethodPost, url: url + "book", body: `{"id":"k1"}`, idempotencyKey: "k1"},
			{method: http.MethodPost, url: url + "book", body: `{"id":"k1"}`, idempotencyKey: "k1"},
			{method: http.MethodPost, url: url + "book", body: `{"id":"k2"}`, idempotencyKey: "k1"},
		} {
			call.client, call.key = &http.Client{Transport: transport}, callerKeys[0]
			call.run(t.Context())
			time.Sleep(time.Second)
		}
		lines := scrape(t, cluster)
		for series, want := range map[string]float64{
			`fescueslip_sidecar_grants_total{role="prefill"}`:                             1,
			`fescueslip_sidecar_transfers_total{result="finished"}`:                       1,
			`fescueslip_plain_calls_total{result="answered",route_kind="repeatable"}`:     1,
			`fescueslip_plain_calls_total{result="answered",route_kind="non_repeatable"}`: 3,
			`fescueslip_service_submitted_total`:                                          3,
			`fescueslip_service_running`:                                                  0,
			`fescueslip_ledger_calls_total{result="committed"}`:                           1,
			`fescueslip_ledger_calls_total{result="replayed"}`:                            1,
			`fescueslip_ledger_calls_total{result="conflict"}`:                            1,
			`fescueslip_sidecar_slots_limit{role="decode"}`:                               float64(cluster.options.DecodeEngines * cluster.options.Params.Slots),
		} {
			if got := sumSeries(t, lines, series); got != want {
				t.Errorf("%s is %v, want %v", series, got, want)
			}
		}
	})
}
