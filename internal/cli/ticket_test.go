package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/subcommands"

	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/standin/instances"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
)

const (
	kvAddress   = "10.0.0.1:8500"
	listAddress = "10.0.0.1:8501"
)

// commandRig runs commands against stand-ins in virtual time.
type commandRig struct {
	t       *testing.T
	network *memnet.Network
	kv      *kvstore.Server
	list    *instances.Server
	admins  []*http.Server
}

func withCommands(t *testing.T, test func(t *testing.T, b *commandRig)) {
	synctest.Test(t, func(t *testing.T) {
		b := &commandRig{t: t, network: memnet.New(time.Millisecond)}
		kvListener, err := b.network.Listen(kvAddress)
		if err != nil {
			t.Fatal(err)
		}
		listListener, err := b.network.Listen(listAddress)
		if err != nil {
			t.Fatal(err)
		}
		b.kv = kvstore.Serve(kvstore.NewStore(kvstore.Options{}), kvListener, nil)
		defer b.kv.Close()
		b.list = instances.Serve(instances.NewList(0), listListener)
		defer b.list.Close()
		test(t, b)
		for _, s := range b.admins {
			_ = s.Close()
		}
	})
}

// process lists a process whose admin port answers with the revision.
func (b *commandRig) process(name, admin string, revision uint64) {
	b.list.Register(instances.Instance{Name: name, PeerAddress: "10.0.0.9:1", AdminAddress: admin})
	listener, err := b.network.Listen(admin)
	if err != nil {
		b.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/debug/state" {
			_, _ = fmt.Fprintf(w, `{"other":{"config_revision":99},"config_revision":%d}`, revision)
		}
	})}
	b.admins = append(b.admins, s)
	go func() { _ = s.Serve(listener) }()
}

// run runs a command line and returns what it printed and its exit code.
func (b *commandRig) run(stdin string, args ...string) (string, subcommands.ExitStatus) {
	b.t.Helper()
	var out bytes.Buffer
	env := Env{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &out, Dial: b.network.Dial}
	flags := flag.NewFlagSet("fescueslip", flag.ContinueOnError)
	flags.SetOutput(&out)
	commander := subcommands.NewCommander(flags, "fescueslip")
	commander.Output, commander.Error = &out, &out
	commander.Register(Ticket(env), "")
	commander.Register(Check(env), "")
	if err := flags.Parse(args); err != nil {
		b.t.Fatal(err)
	}
	code := commander.Execute(context.Background())
	return out.String(), code
}

// TestTicketCommands guards the exit codes and the output that operators and
// their scripts rely on.
func TestTicketCommands(t *testing.T) {
	const pool = "ticket: 17\nobjects:\n  - {kind: pool, name: a, spec: {role: service}}\n"
	const kv, list = "http://" + kvAddress, "http://" + listAddress
	withCommands(t, func(t *testing.T, b *commandRig) {
		b.process("current", "10.0.0.2:1", 1)
		b.process("outdated", "10.0.0.3:1", 0)
		b.list.Register(instances.Instance{Name: "silent", PeerAddress: "10.0.0.9:1", AdminAddress: "10.0.0.4:1"})
		cases := []struct {
			name, stdin, args string
			code              subcommands.ExitStatus
			want              []string
		}{
			{"apply", pool, "ticket apply -f - -kv " + kv, 0, []string{"ticket 17 accepted as revision 1 (1 objects)"}},
			{"apply again", pool, "ticket apply -json -f - -kv " + kv, 0, []string{`"already": true`, `"revision": 1`}},
			{"lower number", strings.Replace(pool, "17", "16", 1), "ticket apply -f - -kv " + kv, 1,
				[]string{"ticket 16 refused: pool/a was set by ticket 17"}},
			{"refusal as JSON", strings.Replace(pool, "17", "16", 1), "ticket apply -json -f - -kv " + kv, 1,
				[]string{`"accepted": false`, `"kind": "superseded"`, `"winner": 17`}},
			{"faults", "ticket: 18\nobjects: 5\n", "ticket apply -f - -kv " + kv, 2, []string{"line 2: objects: expected a list"}},
			{"no service given", pool, "ticket apply -f -", 1, []string{"-kv URL"}},
			{"no file given", pool, "ticket apply -kv " + kv, 2, []string{"-f"}},
			{"list", "", "ticket list -kv " + kv, 0, []string{"configuration revision 1", "17      1         1"}},
			{"list as JSON", "", "ticket list -json -kv " + kv, 0, []string{`"ticket": 17`}},
			{"status", "", "ticket status 17 -kv " + kv + " -instances " + list, 1, []string{
				"accepted as revision 1; in force on 1 of 3 instances",
				"in force   current at revision 1", "behind     outdated at revision 0", "no answer  silent: "}},
			{"status of another ticket", "", "ticket status 18 -kv " + kv, 1, []string{"ticket 18 was not accepted"}},
			{"status without number", "", "ticket status -kv " + kv, 2, []string{"is not a ticket number"}},
		}
		for _, c := range cases {
			out, code := b.run(c.stdin, strings.Fields(c.args)...)
			if code != c.code {
				t.Errorf("%s: exit code %d, want %d; output:\n%s", c.name, code, c.code, out)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("%s: output has no %q:\n%s", c.name, want, out)
				}
			}
		}
		b.list.Remove("outdated")
		b.list.Remove("silent")
		out, code := b.run("", "ticket", "status", "-json", "-kv", kv, "-instances", list, "17")
		var status ticketStatus
		if err := json.Unmarshal([]byte(out), &status); err != nil || code != 0 || len(status.InForce) != 1 {
			t.Errorf("in force everywhere: exit code %d, %v, %s", code, err, out)
		}
		b.kv.StartOutage(0)
		out, code = b.run(pool, "ticket", "apply", "-json", "-f", "-", "-kv", kv)
		if code != 1 || !strings.Contains(out, `"kind": "store_unavailable"`) || !strings.Contains(out, "apply it again") {
			t.Errorf("outage: exit code %d, %s", code, out)
		}
	})
}

// TestCheck guards that faulty settings give exit code 2 with all faults.
func TestCheck(t *testing.T) {
	withCommands(t, func(t *testing.T, b *commandRig) {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte("role: entry\nlisten: {peer: 1}\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		out, code := b.run("", "check", "-config", path, "-json")
		var report checkReport
		if err := json.Unmarshal([]byte(out), &report); err != nil || code != 2 || report.OK || len(report.Faults) < 5 {
			t.Errorf("exit code %d, %v, %s", code, err, out)
		}
		if out, code := b.run("", "check", "-config", path+".missing"); code != 2 || !strings.Contains(out, "-config") {
			t.Errorf("missing file: exit code %d, %s", code, out)
		}
	})
}
