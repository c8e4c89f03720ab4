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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is a line of a gateway's log about one request.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	fields   map[string]any
}

// explainFromLogs prints the log lines of the request from the files, or from
// standard input if there are no files.
func (e *explainCommand) explainFromLogs(files []string) subcommands.ExitStatus {
	env := e.admin.env
	var lines []logLine
	if len(files) == 0 {
		lines = readRequestLines(env.Stdin, e.request)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			env.errorf("explain: %v\n", err)
			return subcommands.ExitFailure
		}
		lines = append(lines, readRequestLines(f, e.request)...)
		_ = f.Close()
	}
	if len(lines) == 0 {
		env.errorf("explain: no log line names request %s\n", e.request)
		return subcommands.ExitFailure
	}
	printLogLines(env.Stdout, lines)
	return subcommands.ExitSuccess
}

// readRequestLines returns the log lines of one request. It skips text before the
// JSON object, such as the prefix of a log collector, and ignores all other lines.
func readRequestLines(r io.Reader, request string) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte(text[start:]), &line) != nil || line.Request != request {
			continue
		}
		if json.Unmarshal([]byte(text[start:]), &line.fields) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

func printLogLines(out io.Writer, lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	// Write errors are ignored: they mean that nobody reads the output.
	_, _ = fmt.Fprintln(w, "TIME\tGATEWAY\tWHAT\tDETAILS")
	for _, line := range lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", line.Time.UTC().Format("15:04:05.000"), line.Instance, line.Message, line.details())
	}
	_ = w.Flush()
}

// details returns the fields that have no column of their own, sorted by name.
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
