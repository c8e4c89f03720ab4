package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// maxLogLine bounds one log line, in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a gateway's log that concerns one request.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	fields   map[string]any
}

// fromLogs tells a request's way from log lines.
func (e *explainCommand) fromLogs(files []string) subcommands.ExitStatus {
	env := e.admin.env
	var lines []logLine
	if len(files) == 0 {
		lines = readLog(env.Stdin, e.request)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			env.errorf("explain: %v\n", err)
			return subcommands.ExitFailure
		}
		lines = append(lines, readLog(f, e.request)...)
		_ = f.Close()
	}
	if len(lines) == 0 {
		env.errorf("explain: no log line names request %s\n", e.request)
		return subcommands.ExitFailure
	}
	printLog(env.Stdout, lines)
	return subcommands.ExitSuccess
}

// readLog returns the lines of one request. Text before the JSON object of a
// line, such as a collector's prefix, is skipped; other lines are ignored.
func readLog(r io.Reader, request string) []logLine {
	var out []logLine
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		text := scan.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) != nil || l.Request != request {
			continue
		}
		if json.Unmarshal([]byte(text[start:]), &l.fields) == nil {
			out = append(out, l)
		}
	}
	return out
}

func printLog(out io.Writer, lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	// A failed write means that nobody reads the output.
	_, _ = fmt.Fprintln(w, "TIME\tGATEWAY\tWHAT\tDETAILS")
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message, l.details())
	}
	_ = w.Flush()
}

// details returns the other fields of a line, sorted by name.
func (l logLine) details() string {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "msg", "instance", "request", "level":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%v", name, l.fields[name])
	}
	return b.String()
}
