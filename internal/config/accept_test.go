package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestAcceptanceRules guards against a change of the acceptance rules or of the
// refusal messages. Each file in testdata/accept is a sequence of tickets with
// the expected result of each.
func TestAcceptanceRules(t *testing.T) {
	datadriven.Walk(t, "testdata/accept", func(t *testing.T, path string) {
		state := NewConfiguration(0, nil, nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "apply":
				ticket, err := ParseTicket("ticket.yaml", []byte(d.Input))
				if err != nil {
					return err.Error() + "\n"
				}
				decision, err := state.Accept(ticket)
				if err != nil {
					return fmt.Sprintf("%s\n%v\n", err.(*Refusal).Kind, err)
				}
				state = decision.Next
				return fmt.Sprintf("accepted revision=%d already=%t\n", decision.Record.Revision, decision.AlreadyAccepted)
			case "forget":
				state = NewConfiguration(state.Revision(), state.Objects(), nil)
				return ""
			case "show":
				return formatObjects(state)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func formatObjects(c *Configuration) string {
	var b strings.Builder
	for _, o := range c.Objects() {
		content := string(o.Spec)
		if o.Deleted {
			content = "deleted"
		}
		fmt.Fprintf(&b, "%s ticket=%d %s\n", o.Ref, o.Ticket, content)
	}
	return b.String()
}

// TestContentHashIgnoresObjectOrder guards against a content hash that depends on
// the order of the objects. With such a hash, a ticket that is sent again with its
// objects in another order would be refused as a reuse of its number.
func TestContentHashIgnoresObjectOrder(t *testing.T) {
	a := Object{Ref: Ref{KindPool, "a"}, Ticket: 1, Spec: encodeSpec(&Pool{Role: RoleDecode})}
	b := Object{Ref: Ref{KindPool, "b"}, Ticket: 1, Spec: encodeSpec(&Pool{Role: RoleDecode})}
	decision, err := NewConfiguration(0, nil, nil).Accept(&Ticket{Number: 1, Objects: []Object{a, b}})
	if err != nil {
		t.Fatal(err)
	}
	if again, err := decision.Next.Accept(&Ticket{Number: 1, Objects: []Object{b, a}}); err != nil || !again.AlreadyAccepted {
		t.Fatalf("%+v, %v; want the ticket accepted as the same", again, err)
	}
}
