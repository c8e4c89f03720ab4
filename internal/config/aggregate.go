package config

import (
	"maps"
	"slices"
)

// TicketRecord remembers an accepted ticket.
type TicketRecord struct {
	Ticket uint64 `json:"ticket"`
	// Revision is the configuration revision that the ticket was accepted as.
	Revision uint64 `json:"revision"`
	// Content is the hash returned by Ticket.Content.
	Content string `json:"content"`
	// Objects counts the objects that the ticket set.
	Objects int `json:"objects"`
	// AcceptedUnix is a label in seconds; nothing is decided by it.
	AcceptedUnix int64 `json:"accepted_unix,omitempty"`
}

// Configuration is the aggregate that decides which tickets are accepted. It is
// immutable: Accept returns the next state.
type Configuration struct {
	revision uint64
	objects  map[Ref]Object
	records  map[uint64]TicketRecord
}

// NewConfiguration returns the state at a revision. Records may be limited to
// the most recent tickets.
func NewConfiguration(revision uint64, objects []Object, records []TicketRecord) *Configuration {
	c := &Configuration{
		revision: revision,
		objects:  make(map[Ref]Object, len(objects)),
		records:  make(map[uint64]TicketRecord, len(records)),
	}
	for _, o := range objects {
		c.objects[o.Ref] = o
	}
	for _, r := range records {
		c.records[r.Ticket] = r
	}
	return c
}

// Revision returns the number of accepted tickets.
func (c *Configuration) Revision() uint64 { return c.revision }

// Object returns the stored state of an object; deleted objects are included.
func (c *Configuration) Object(ref Ref) (Object, bool) {
	o, ok := c.objects[ref]
	return o, ok
}

// Objects returns all stored objects, deleted ones included, sorted by kind and name.
func (c *Configuration) Objects() []Object {
	return slices.SortedFunc(maps.Values(c.objects), func(a, b Object) int { return a.Compare(b.Ref) })
}

// Snapshot returns the snapshot of this state.
func (c *Configuration) Snapshot() (*Snapshot, error) {
	return SnapshotOf(c.revision, slices.Collect(maps.Values(c.objects)))
}

// Decision is the result of an accepted ticket.
type Decision struct {
	// Next is the new state; it is the old one if the ticket was in force already.
	Next *Configuration
	// Record tells as which revision the ticket was accepted.
	Record TicketRecord
	// Already tells that the same ticket had been accepted before.
	Already bool
}

// Accept applies the ticket as a whole, or refuses it as a whole with a *Refusal:
//
//   - an object that was set by a higher number refuses the ticket;
//   - a number that was used before is accepted again with the same content,
//     without effect, and refused with other content;
//   - the resulting objects must be consistent with each other.
func (c *Configuration) Accept(t *Ticket) (Decision, error) {
	if t.Number == 0 || len(t.Objects) == 0 {
		return Decision{}, &Refusal{Kind: RefusalEmpty, Ticket: t.Number,
			Message: "the ticket has no number or no objects", Remedy: "give it a number above 0 and at least one object"}
	}
	if refusal := c.superseded(t); refusal != nil {
		return Decision{}, refusal
	}
	record, used, refusal := c.usedBefore(t)
	if refusal != nil {
		return Decision{}, refusal
	}
	if used {
		return Decision{Next: c, Record: record, Already: true}, nil
	}
	next := c.with(t)
	if refusal := next.checkReferences(t); refusal != nil {
		return Decision{}, refusal
	}
	return Decision{Next: next, Record: next.records[t.Number]}, nil
}

func (c *Configuration) superseded(t *Ticket) *Refusal {
	for _, o := range t.Objects {
		if have, ok := c.objects[o.Ref]; ok && have.Ticket > t.Number {
			return refuseSuperseded(t, have, c.records[t.Number])
		}
	}
	return nil
}

// usedBefore looks for an earlier ticket with the same number: first in the
// recent records, and for older tickets in the objects that it set. Of a ticket
// whose record is gone only the objects still in force are known, so a ticket
// that sets exactly these again counts as the same; it has no effect either way.
func (c *Configuration) usedBefore(t *Ticket) (record TicketRecord, used bool, refusal *Refusal) {
	if record, ok := c.records[t.Number]; ok {
		if record.Content != t.Content() {
			return record, false, refuseReused(t, c.firstDifference(t))
		}
		return record, true, nil
	}
	inForce := 0
	for _, o := range c.objects {
		if o.Ticket == t.Number {
			inForce++
		}
	}
	if inForce == 0 {
		return TicketRecord{}, false, nil
	}
	for _, o := range t.Objects {
		if !c.objects[o.Ref].Equal(o) {
			return TicketRecord{}, false, refuseReused(t, o.Ref)
		}
	}
	if inForce > len(t.Objects) {
		return TicketRecord{}, false, refuseReused(t, c.firstDifference(t))
	}
	return TicketRecord{Ticket: t.Number, Content: t.Content(), Objects: len(t.Objects)}, true, nil
}

// firstDifference finds an object in which the ticket differs from the accepted
// ticket of the same number, as far as its objects are still in force.
func (c *Configuration) firstDifference(t *Ticket) Ref {
	touched := make(map[Ref]bool, len(t.Objects))
	for _, o := range t.Objects {
		touched[o.Ref] = true
		if !c.objects[o.Ref].Equal(o) {
			return o.Ref
		}
	}
	for _, o := range c.Objects() {
		if o.Ticket == t.Number && !touched[o.Ref] {
			return o.Ref
		}
	}
	return t.Objects[0].Ref
}

func (c *Configuration) with(t *Ticket) *Configuration {
	next := &Configuration{
		revision: c.revision + 1,
		objects:  maps.Clone(c.objects),
		records:  maps.Clone(c.records),
	}
	for _, o := range t.Objects {
		next.objects[o.Ref] = o
	}
	next.records[t.Number] = TicketRecord{
		Ticket:   t.Number,
		Revision: next.revision,
		Content:  t.Content(),
		Objects:  len(t.Objects),
	}
	return next
}
