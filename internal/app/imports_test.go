package app_test

import (
	"os/exec"
	"strings"
	"testing"
)

const modulePrefix = "github.com/fescueslip/fescueslip/"

func goList(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list"}, args...)...).Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	return string(out)
}

// Guards against a dependency of the serving packages on a stand-in, which would
// become part of every process.
func TestServingPackagesImportNoStandIns(t *testing.T) {
	for pkg := range strings.FieldsSeq(goList(t, "-deps", modulePrefix+"internal/app")) {
		if strings.HasPrefix(pkg, modulePrefix+"internal/standin/") {
			t.Errorf("the serving packages import %s", pkg)
		}
	}
}

// Guards against use of the standard library's reverse proxy: the packages of this
// module forward requests themselves.
func TestNoPackageImportsHTTPUtil(t *testing.T) {
	for line := range strings.Lines(goList(t, "-f", `{{.ImportPath}} {{join .Imports " "}}`, modulePrefix+"...")) {
		if strings.Contains(line, " net/http/httputil") {
			t.Errorf("imports net/http/httputil: %s", line)
		}
	}
}
