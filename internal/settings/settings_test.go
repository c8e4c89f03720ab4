package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against faults of a settings file that are not reported, or are
// reported with a wrong line or remedy, and against wrong defaults. Arguments of the
// command in testdata/parse define environment variables.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			env := make(map[string]string)
			for _, arg := range d.CmdArgs {
				env[arg.Key] = strings.Join(arg.Vals, "")
			}
			lookup := func(name string) (string, bool) { v, ok := env[name]; return v, ok }
			s, err := Parse("settings.yaml", []byte(d.Input), lookup)
			if err != nil {
				return err.Error() + "\n"
			}
			return fmt.Sprintf("ok\n%+v\n%+v\nsecret of %d bytes\n", s.Limits, s.Log, len(s.PeerSecret))
		})
	})
}

// FuzzParse guards against input that makes Parse panic or return neither settings nor an
// error.
func FuzzParse(f *testing.F) {
	f.Add([]byte("role: entry\nlisten: {peer: \"127.0.0.1:1\"}\nlimits: {max_body: 2MB}\n"))
	f.Add([]byte("role: [\n- ? a\n  : &b *b"))
	f.Add([]byte("limits:\n  body_timeout: 5s\n  max_header: 999999999999GiB\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data, func(string) (string, bool) { return "", false })
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v; want exactly one of them", s, err)
		}
	})
}

// TestSizeRoundTrip guards against a printed size that cannot be parsed or is parsed as
// another size.
func TestSizeRoundTrip(t *testing.T) {
	for _, s := range []Size{0, 1, 999, 1000, 1024, 2 * Megabyte, 3 * Mebibyte, Gibibyte, 1 << 62} {
		var parsed Size
		if err := parsed.UnmarshalText([]byte(s.String())); err != nil || parsed != s {
			t.Errorf("%d printed as %s, read as %d, %v", int64(s), s, int64(parsed), err)
		}
	}
}
