package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// machine applies random tickets and offers random snapshots, also outdated ones.
type machine struct {
	state   *Configuration
	holder  *Holder
	history []*Snapshot
	// accepted remembers the content of every accepted ticket.
	accepted map[uint64]string
}

var machineSpecs = map[Kind][]any{
	KindPool:     {&Pool{Role: RoleService}, &Pool{Role: RoleDecode}},
	KindUpstream: {&Upstream{Pool: "a", Kind: UpstreamService}, &Upstream{Pool: "b", Kind: UpstreamModel}},
	KindRoute:    {&Route{Prefix: "/x", Pool: "a"}, &Route{Prefix: "/y", Pool: "b"}},
	KindCaller: {
		&Caller{KeySHA256: strings.Repeat("a", 64), Share: 1},
		&Caller{KeySHA256: strings.Repeat("b", 64), Share: 2},
	},
}

func drawTicket(t *rapid.T) *Ticket {
	number := rapid.Uint64Range(1, 25).Draw(t, "number")
	objects := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Object {
		kind := rapid.SampledFrom([]Kind{KindPool, KindPool, KindUpstream, KindRoute, KindCaller}).Draw(t, "kind")
		o := Object{Ref: Ref{kind, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}, Ticket: number}
		if o.Deleted = rapid.IntRange(0, 4).Draw(t, "delete") == 0; !o.Deleted {
			o.Spec = encodeSpec(rapid.SampledFrom(machineSpecs[kind]).Draw(t, "spec"))
		}
		return o
	}), 1, 4, func(o Object) Ref { return o.Ref }).Draw(t, "objects")
	return &Ticket{Number: number, Objects: objects}
}

func (m *machine) apply(t *rapid.T) {
	ticket := drawTicket(t)
	before := m.state
	content, used := m.accepted[ticket.Number]
	_, remembered := before.records[ticket.Number]
	inForce := slices.ContainsFunc(before.Objects(), func(o Object) bool { return o.Ticket == ticket.Number })
	decision, err := before.Accept(ticket)
	if err != nil {
		return
	}
	for _, o := range ticket.Objects {
		if got, _ := decision.Next.Object(o.Ref); !got.Equal(o) {
			t.Fatalf("accepted ticket %d, but %s is %+v", ticket.Number, o.Ref, got)
		}
	}
	if decision.Already {
		// Once the record is forgotten, the ticket's objects, compared above, decide.
		if !used || remembered && content != ticket.Content() || decision.Next != before {
			t.Fatalf("ticket %d counts as accepted before, but was not", ticket.Number)
		}
		return
	}
	if remembered || inForce {
		t.Fatalf("number %d was accepted a second time", ticket.Number)
	}
	m.compare(t, before, decision.Next, ticket)
	m.state = decision.Next
	m.accepted[ticket.Number] = ticket.Content()
	snapshot, err := m.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	checkConsistent(t, snapshot)
	m.history = append(m.history, snapshot)
}

// compare guards that numbers only grow and that nothing else changes.
func (m *machine) compare(t *rapid.T, before, after *Configuration, ticket *Ticket) {
	if after.Revision() != before.Revision()+1 {
		t.Fatalf("revision %d follows %d", after.Revision(), before.Revision())
	}
	touched := make(map[Ref]bool)
	for _, o := range ticket.Objects {
		touched[o.Ref] = true
	}
	for _, old := range before.Objects() {
		now, ok := after.Object(old.Ref)
		if !ok || now.Ticket < old.Ticket {
			t.Fatalf("%s went back from ticket %d to %d", old.Ref, old.Ticket, now.Ticket)
		}
		if !touched[old.Ref] && !now.Equal(old) {
			t.Fatalf("ticket %d changed %s, which it does not touch", ticket.Number, old.Ref)
		}
	}
}

// forget drops the records, as the head does for old tickets.
func (m *machine) forget(*rapid.T) {
	m.state = NewConfiguration(m.state.Revision(), m.state.Objects(), nil)
}

func (m *machine) offer(t *rapid.T) {
	if len(m.history) == 0 {
		t.Skip("no snapshot yet")
	}
	s := rapid.SampledFrom(m.history).Draw(t, "snapshot")
	before := m.holder.Revision()
	_, changed := m.holder.SnapshotAndChange()
	taken := m.holder.UpdateIfNewer(s)
	if taken != (s.Revision > before) || m.holder.Revision() != max(before, s.Revision) {
		t.Fatalf("revision %d offered over %d: taken %t, now %d", s.Revision, before, taken, m.holder.Revision())
	}
	select {
	case <-changed:
		if !taken {
			t.Fatal("waiters were woken without a change")
		}
	default:
		if taken {
			t.Fatal("waiters were not woken")
		}
	}
}

func checkConsistent(t *rapid.T, s *Snapshot) {
	for _, u := range s.Upstreams {
		p, ok := s.Pools[u.Pool]
		if !ok || (p.Role == RoleService) != (u.Kind == UpstreamService) {
			t.Fatalf("upstream %+v in pool %+v", u, p)
		}
	}
	prefixes := make(map[string]bool)
	for _, r := range s.Routes {
		if p, ok := s.Pools[r.Pool]; !ok || p.Role != RoleService || prefixes[r.Prefix] {
			t.Fatalf("route %+v in pool %+v", r, p)
		}
		prefixes[r.Prefix] = true
	}
	if len(s.Callers) != len(s.callersByKey) {
		t.Fatal("two callers share a key")
	}
}

// TestNeverReverts guards that whatever tickets and snapshots arrive in whatever
// order, no object goes back to an older ticket, no ticket takes effect in part,
// and no process puts an older revision in force.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{state: NewConfiguration(0, nil, nil), holder: NewHolder(), accepted: make(map[uint64]string)}
		t.Repeat(map[string]func(*rapid.T){
			"apply":  m.apply,
			"again":  m.apply,
			"offer":  m.offer,
			"forget": m.forget,
		})
	})
}

func FuzzParseTicket(f *testing.F) {
	f.Add([]byte("ticket: 17\nobjects:\n  - kind: pool\n    name: a\n    spec: {role: service}\n"))
	f.Add([]byte("ticket: 18\nobjects:\n- {kind: route, name: r, spec: {prefix: /a, methods: [GET], pool: a, timeout: 2s}}\n- {kind: caller, name: old, delete: true}\n"))
	f.Add([]byte("ticket: 1\nobjects: [{kind: policy, name: default, spec: {anticipation: 0.5, hedge: true}}]\n"))
	f.Add([]byte("ticket: 0x1\nobjects:\n  - &a {kind: [x]}\n  - *a\n--- {}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := ParseTicket("fuzz", data)
		if (ticket == nil) == (err == nil) {
			t.Fatalf("ticket %v with error %v; want exactly one of them", ticket, err)
		}
		if err != nil {
			return
		}
		decision, err := NewConfiguration(0, nil, nil).Accept(ticket)
		if err != nil {
			return
		}
		if again, err := decision.Next.Accept(ticket); err != nil || !again.Already {
			t.Fatalf("the same ticket again: %+v, %v", again, err)
		}
		stored := NewConfiguration(1, decision.Next.Objects(), nil)
		if again, err := stored.Accept(ticket); err != nil || !again.Already {
			t.Fatalf("the same ticket again without its record: %+v, %v", again, err)
		}
		if _, err := stored.Snapshot(); err != nil {
			t.Fatal(err, fmt.Sprintf("%q", data))
		}
	})
}
