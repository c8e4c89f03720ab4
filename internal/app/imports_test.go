package app_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/fescueslip/fescueslip/"

func goList(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list"}, args...)...).Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	return string(out)
}

// Guards against a serving package that comes to depend on a stand-in.
func TestServingPackagesImportNoStandIns(t *testing.T) {
	for pkg := range strings.FieldsSeq(goList(t, "-deps", module+"internal/app")) {
		if strings.HasPrefix(pkg, module+"internal/standin/") {
			t.Errorf("the serving packages import %s", pkg)
		}
	}
}

// Guards against the ready-made proxy of the standard library.
func TestNoPackageImportsHTTPUtil(t *testing.T) {
	for line := range strings.Lines(goList(t, "-f", `{{.ImportPath}} {{join .Imports " "}}`, module+"...")) {
		if strings.Contains(line, " net/http/httputil") {
			t.Errorf("imports net/http/httputil: %s", line)
		}
	}
}
