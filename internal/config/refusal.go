package config

import "fmt"

// RefusalKind is the reason why a ticket was refused. The values are stable, so that
// scripts can match them.
type RefusalKind string

// The kinds of refusals.
const (
	// RefusalSuperseded means that a ticket with a higher number has set an object of
	// the ticket.
	RefusalSuperseded RefusalKind = "superseded"
	// RefusalNumberReused means that a ticket with the same number and other content
	// was accepted before.
	RefusalNumberReused RefusalKind = "number_reused"
	// RefusalBrokenReference means that an object would name a pool that does not exist
	// or has the wrong role.
	RefusalBrokenReference RefusalKind = "broken_reference"
	// RefusalDuplicate means that two objects would have the same key hash or route
	// prefix.
	RefusalDuplicate RefusalKind = "duplicate"
	// RefusalEmpty means that the ticket has no number or no objects.
	RefusalEmpty RefusalKind = "empty"
	// RefusalTooLarge means that the resulting configuration would exceed the size
	// limits of the key-value service.
	RefusalTooLarge RefusalKind = "too_large"
)

// Refusal is the error for a ticket that was refused. No part of the ticket was
// applied.
type Refusal struct {
	Kind   RefusalKind `json:"kind"`
	Ticket uint64      `json:"ticket"`
	// Object is the first object that caused the refusal.
	Object Ref `json:"object"`
	// ConflictingTicket is the number of the accepted ticket that the refused ticket
	// conflicts with. It is 0 for refusals of other kinds.
	ConflictingTicket uint64 `json:"winner,omitempty"`
	Message           string `json:"message"`
	Remedy            string `json:"remedy"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("ticket %d refused: %s; %s", r.Ticket, r.Message, r.Remedy)
}

// newSupersededRefusal refuses t because stored, one of its objects, was set by a
// ticket with a higher number. earlier is the record of an accepted ticket with the
// number of t, or the zero value.
func newSupersededRefusal(t *Ticket, stored Object, earlier TicketRecord) *Refusal {
	message := fmt.Sprintf("%s was set by ticket %d, which has a higher number", stored.Ref, stored.Ticket)
	if earlier.ContentHash == t.ContentHash() {
		message += fmt.Sprintf(" (ticket %d itself was accepted before, as revision %d)", t.Number, earlier.Revision)
	}
	return &Refusal{
		Kind:              RefusalSuperseded,
		Ticket:            t.Number,
		Object:            stored.Ref,
		ConflictingTicket: stored.Ticket,
		Message:           message,
		Remedy: fmt.Sprintf("compare with ticket %d and, if the change is still wanted, "+
			"send it with a number above %d", stored.Ticket, stored.Ticket),
	}
}

// newNumberReusedRefusal refuses t because its number was used for a ticket with
// other content; ref names an object that differs.
func newNumberReusedRefusal(t *Ticket, ref Ref) *Refusal {
	return &Refusal{
		Kind:              RefusalNumberReused,
		Ticket:            t.Number,
		Object:            ref,
		ConflictingTicket: t.Number,
		Message:           fmt.Sprintf("number %d was accepted before with other content; %s differs", t.Number, ref),
		Remedy:            fmt.Sprintf("send the change with a new number above %d", t.Number),
	}
}
