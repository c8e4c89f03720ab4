package config

import "fmt"

// RefusalKind is a stable name of the reason why a ticket was refused.
type RefusalKind string

// The kinds of refusals.
const (
	// RefusalSuperseded: a higher number has set an object of the ticket.
	RefusalSuperseded RefusalKind = "superseded"
	// RefusalReused: the number was accepted before with other content.
	RefusalReused RefusalKind = "number_reused"
	// RefusalReference: an object would name one that is missing or of the wrong role.
	RefusalReference RefusalKind = "broken_reference"
	// RefusalDuplicate: two objects would share a key hash or a route prefix.
	RefusalDuplicate RefusalKind = "duplicate"
	// RefusalEmpty: the ticket has no number or no objects.
	RefusalEmpty RefusalKind = "empty"
	// RefusalTooLarge: the configuration would not fit into the key-value service.
	RefusalTooLarge RefusalKind = "too_large"
)

// Refusal tells why a ticket was refused as a whole. Nothing of it was applied.
type Refusal struct {
	Kind   RefusalKind `json:"kind"`
	Ticket uint64      `json:"ticket"`
	// Object is the object at fault.
	Object Ref `json:"object"`
	// Winner is the ticket that has set the object, when it is the reason.
	Winner  uint64 `json:"winner,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("ticket %d refused: %s; %s", r.Ticket, r.Message, r.Remedy)
}

func refuseSuperseded(t *Ticket, have Object, earlier TicketRecord) *Refusal {
	message := fmt.Sprintf("%s was set by ticket %d, which has a higher number", have.Ref, have.Ticket)
	if earlier.Content == t.Content() {
		message += fmt.Sprintf(" (ticket %d itself was accepted before, as revision %d)", t.Number, earlier.Revision)
	}
	return &Refusal{
		Kind:    RefusalSuperseded,
		Ticket:  t.Number,
		Object:  have.Ref,
		Winner:  have.Ticket,
		Message: message,
		Remedy: fmt.Sprintf("compare with ticket %d and, if the change is still wanted, "+
			"send it with a number above %d", have.Ticket, have.Ticket),
	}
}

func refuseReused(t *Ticket, ref Ref) *Refusal {
	return &Refusal{
		Kind:    RefusalReused,
		Ticket:  t.Number,
		Object:  ref,
		Winner:  t.Number,
		Message: fmt.Sprintf("number %d was accepted before with other content; %s differs", t.Number, ref),
		Remedy:  fmt.Sprintf("send the change with a new number above %d", t.Number),
	}
}
