package demo

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// allowedWallClockReads maps each file that may read the wall clock to the label
// or field for which it does.
var allowedWallClockReads = map[string]string{
	"app/server.go":         "time of an event in the explain command",
	"cli/ticket_list.go":    "time of acceptance in the list of tickets",
	"cli/serve.go":          "incarnation of a process; see docs/PROMISES.md, not covered",
	"entry/answer.go":       "field created of an answer",
	"configstore/accept.go": "time of acceptance in a ticket's record",
}

var wallClockPattern = regexp.MustCompile(`\.(Unix|UnixMilli|UnixMicro|UnixNano|Weekday|YearDay|Hour)\(\)|time\.(Date|Unix)\(`)

// Guards against decisions that depend on a wall clock. Wall clocks jump and differ
// between processes, so decisions may use monotonic durations only.
func TestWallClockIsReadForLabelsOnly(t *testing.T) {
	root := ".."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		name := strings.TrimPrefix(filepath.ToSlash(path), root+"/")
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") ||
			strings.HasPrefix(name, "standin/") || strings.HasSuffix(name, ".pb.go") || strings.HasSuffix(name, ".twirp.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		if err == nil && wallClockPattern.Match(raw) && allowedWallClockReads[name] == "" {
			t.Errorf("%s reads the wall clock: %s", name, wallClockPattern.Find(raw))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
