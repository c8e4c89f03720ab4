package config

import (
	"maps"
	"slices"
)

// TicketRecord describes an accepted ticket. Records are kept for the most recent
// tickets, so that a ticket that is sent again can be recognised.
type TicketRecord struct {
	Ticket uint64 `json:"ticket"`
	// Revision is the configuration revision that the ticket created.
	Revision uint64 `json:"revision"`
	// ContentHash is the hash returned by Ticket.ContentHash.
	ContentHash string `json:"content"`
	// Objects is the number of objects that the ticket set.
	Objects int `json:"objects"`
	// AcceptedUnix is the time of acceptance in Unix seconds. It is only shown to
	// operators; no decision depends on it.
	AcceptedUnix int64 `json:"accepted_unix,omitempty"`
}

// Configuration is the whole set of configuration objects together with the
// records of recent tickets. It decides which tickets are accepted. It is
// immutable: Accept returns a new Configuration.
type Configuration struct {
	revision uint64
	objects  map[Ref]Object
	records  map[uint64]TicketRecord
}

// NewConfiguration returns the configuration at the given revision. The records
// may cover only the most recent tickets.
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

// Object returns the stored object that ref names, which may be a deleted object.
func (c *Configuration) Object(ref Ref) (Object, bool) {
	o, ok := c.objects[ref]
	return o, ok
}

// Objects returns all stored objects, including deleted ones, sorted by kind and
// name.
func (c *Configuration) Objects() []Object {
	return slices.SortedFunc(maps.Values(c.objects), func(a, b Object) int { return a.Compare(b.Ref) })
}

// Snapshot decodes the objects into a Snapshot.
func (c *Configuration) Snapshot() (*Snapshot, error) {
	return DecodeSnapshot(c.revision, slices.Collect(maps.Values(c.objects)))
}

// Decision is the result of a ticket that Accept did not refuse.
type Decision struct {
	// Next is the configuration after the ticket. It is the unchanged
	// configuration if the ticket had been accepted before.
	Next *Configuration
	// Record is the record of the ticket, with the revision that it created.
	Record TicketRecord
	// AlreadyAccepted reports whether the same ticket had been accepted before.
	AlreadyAccepted bool
}

// Accept either applies all of the ticket or refuses all of it with a *Refusal. The
// first of these rules that fits decides; a ticket that none of them fits is applied:
//
//   - A ticket that has no number or no objects is refused.
//   - A ticket is refused if any of its objects was set by a ticket with a higher
//     number, even if the ticket itself was accepted before.
//   - A ticket whose number was used before is accepted if its content is the same,
//     which changes nothing, and refused if the content differs.
//   - A ticket that would leave the objects inconsistent with each other is refused.
func (c *Configuration) Accept(t *Ticket) (Decision, error) {
	if t.Number == 0 || len(t.Objects) == 0 {
		return Decision{}, &Refusal{Kind: RefusalEmpty, Ticket: t.Number,
			Message: "the ticket has no number or no objects", Remedy: "give it a number above 0 and at least one object"}
	}
	if refusal := c.checkSuperseded(t); refusal != nil {
		return Decision{}, refusal
	}
	record, alreadyAccepted, refusal := c.findAccepted(t)
	if refusal != nil {
		return Decision{}, refusal
	}
	if alreadyAccepted {
		return Decision{Next: c, Record: record, AlreadyAccepted: true}, nil
	}
	next := c.withTicket(t)
	if refusal := next.checkReferences(t); refusal != nil {
		return Decision{}, refusal
	}
	return Decision{Next: next, Record: next.records[t.Number]}, nil
}

// checkSuperseded refuses the ticket if a ticket with a higher number has set one of
// its objects.
func (c *Configuration) checkSuperseded(t *Ticket) *Refusal {
	for _, object := range t.Objects {
		if stored, ok := c.objects[object.Ref]; ok && stored.Ticket > t.Number {
			return newSupersededRefusal(t, stored, c.records[t.Number])
		}
	}
	return nil
}

// findAccepted looks for an accepted ticket with the same number, first in the
// recent records and then in the ticket numbers of the objects. If the record of
// the earlier ticket was evicted, only those of its objects that no later ticket
// replaced are known. A ticket that sets exactly these objects counts as the same
// ticket; it has no effect in either case.
func (c *Configuration) findAccepted(t *Ticket) (record TicketRecord, accepted bool, refusal *Refusal) {
	if record, ok := c.records[t.Number]; ok {
		if record.ContentHash != t.ContentHash() {
			return record, false, newNumberReusedRefusal(t, c.firstDifference(t))
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
			return TicketRecord{}, false, newNumberReusedRefusal(t, o.Ref)
		}
	}
	if inForce > len(t.Objects) {
		return TicketRecord{}, false, newNumberReusedRefusal(t, c.firstDifference(t))
	}
	return TicketRecord{Ticket: t.Number, ContentHash: t.ContentHash(), Objects: len(t.Objects)}, true, nil
}

// firstDifference returns an object in which t differs from the accepted ticket
// with the same number. It compares only objects that no later ticket replaced. If it
// finds no difference in these, it returns the first object of t.
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

// withTicket returns the configuration with the objects and the record of t.
func (c *Configuration) withTicket(t *Ticket) *Configuration {
	next := &Configuration{
		revision: c.revision + 1,
		objects:  maps.Clone(c.objects),
		records:  maps.Clone(c.records),
	}
	for _, o := range t.Objects {
		next.objects[o.Ref] = o
	}
	next.records[t.Number] = TicketRecord{
		Ticket:      t.Number,
		Revision:    next.revision,
		ContentHash: t.ContentHash(),
		Objects:     len(t.Objects),
	}
	return next
}
