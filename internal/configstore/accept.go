package configstore

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

const (
	// acceptTries bounds how often a ticket is decided again after another
	// ticket was faster or a write was not acknowledged.
	acceptTries        = 30
	firstAcceptBackoff = 10 * time.Millisecond
	maxAcceptBackoff   = time.Second
	// acceptTimeout bounds an Accept without a shorter deadline of its own.
	acceptTimeout = 30 * time.Second
	// blankTimeout bounds the collection of replaced pages, which is not part of
	// the acceptance.
	blankTimeout = 5 * time.Second
)

// Result tells how a ticket was accepted.
type Result struct {
	config.TicketRecord
	// Already tells that the same ticket had been accepted before this call.
	AlreadyAccepted bool
	// BytesWritten counts the values written, and PagesWritten the pages among them.
	BytesWritten int
	PagesWritten int
}

// StoreError tells that the key-value service kept a ticket from being decided.
type StoreError struct {
	Ticket uint64
	// Unknown is false if the ticket was certainly not accepted.
	OutcomeUnknown bool
	Cause          error
}

// Error implements error.
func (e *StoreError) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("it is unknown whether ticket %d was accepted: %v; apply the same ticket again "+
			"when the key-value service answers, which is safe", e.Ticket, e.Cause)
	}
	return fmt.Sprintf("ticket %d was not accepted: %v; apply it again when the key-value service answers", e.Ticket, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// errConflict means that another ticket replaced the head first.
var errConflict = errors.New("other tickets replaced the configuration head again and again")

// acceptance is one call of Accept.
type acceptance struct {
	store  *Store
	ticket *config.Ticket
	// started labels the ticket's record; one label for all tries keeps the page
	// of recent tickets the same.
	started time.Time
	result  Result
	// ambiguous is set while a write of the head, based on the state base, was
	// not acknowledged and may have taken effect or may still do so.
	ambiguous bool
	base      *State
}

// Accept decides the ticket on the stored configuration. The error is a
// *config.Refusal if the rules refuse the ticket and a *StoreError if the
// service is down.
func (s *Store) Accept(ctx context.Context, t *config.Ticket) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a := &acceptance{store: s, ticket: t, started: time.Now()}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstAcceptBackoff
	delay.MaxInterval = maxAcceptBackoff
	var last error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := a.try(ctx)
		last = err
		if err != nil && !retryable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delay), backoff.WithMaxTries(acceptTries))
	var refusal *config.Refusal
	switch {
	case err == nil:
		return a.result, nil
	case errors.As(err, &refusal):
		return Result{}, refusal
	default:
		// The last try tells more than the deadline that ended the tries.
		return Result{}, &StoreError{Ticket: t.Number, OutcomeUnknown: a.ambiguous, Cause: last}
	}
}

func retryable(err error) bool {
	return errors.Is(err, errConflict) || errors.Is(err, kvservice.ErrUnavailable) || errors.Is(err, kvservice.ErrRateLimited)
}

func (a *acceptance) try(ctx context.Context) error {
	state, err := a.store.LoadWithTickets(ctx)
	if err != nil {
		return err
	}
	if accepted, err := a.readBack(state); accepted || err != nil {
		return err
	}
	current, err := state.Configuration()
	if err != nil {
		return err
	}
	decision, err := current.Accept(a.ticket)
	if err != nil {
		return err
	}
	if decision.Already {
		a.result.TicketRecord, a.result.AlreadyAccepted = decision.Record, true
		return nil
	}
	return a.write(ctx, state, decision)
}

// errForgotten means that a write was not acknowledged and that so many tickets
// followed that its record may be gone.
var errForgotten = errors.New("too many tickets followed to tell whether it took effect")

// readBack resolves a write of the head that was not acknowledged: the ticket's
// record proves that it took effect. Once the head has changed
// without it, the write can no longer take effect, as its index is outdated.
func (a *acceptance) readBack(state *State) (accepted bool, err error) {
	if !a.ambiguous {
		return false, nil
	}
	records, err := state.Tickets()
	if err != nil {
		return false, err
	}
	for _, record := range records {
		if record.Ticket == a.ticket.Number && record.Content == a.ticket.Content() {
			a.result.TicketRecord = record
			return true, nil
		}
	}
	if state.Index == a.base.Index {
		return false, nil
	}
	if len(records) == 0 || records[0].Revision > a.base.Head.Revision+1 {
		return false, errForgotten
	}
	a.ambiguous = false
	return false, nil
}

func (a *acceptance) write(ctx context.Context, state *State, decision config.Decision) error {
	record := decision.Record
	record.AcceptedUnix = a.started.Unix()
	records, err := state.Tickets()
	if err != nil {
		return err
	}
	next, err := encodeNext(state, decision.Next, a.ticket, append(records, record))
	if err != nil {
		return err
	}
	data, err := next.head.Encode()
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	if !headFits(data) {
		return errors.New("configuration head does not fit into the key-value service")
	}
	if err := a.writePages(ctx, next.pages); err != nil {
		return err
	}
	a.result.BytesWritten += len(data)
	swapped, err := a.store.kv.CompareAndSwap(ctx, HeadKey, data, state.Index)
	if err != nil {
		if errors.Is(err, kvservice.ErrUnavailable) {
			a.ambiguous, a.base = true, state
		}
		return errors.Wrap(err, "write configuration head")
	}
	if !swapped {
		return errConflict
	}
	a.result.TicketRecord = record
	a.store.blank(ctx, state.Head.Replaced)
	return nil
}

func (a *acceptance) writePages(ctx context.Context, pages map[string][]byte) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for _, hash := range sortedHashes(pages) {
		a.result.PagesWritten++
		a.result.BytesWritten += len(pages[hash])
		group.Go(func() error { return a.store.writePage(groupCtx, hash, pages[hash]) })
	}
	return group.Wait()
}

// writePage makes sure that the page is stored. Writing it again is harmless,
// because the key is the hash of the content.
func (s *Store) writePage(ctx context.Context, hash string, content []byte) error {
	created, err := s.kv.CompareAndSwap(ctx, pageKey(hash), content, 0)
	if err != nil {
		return errors.Wrap(err, "write configuration page")
	}
	if created {
		return nil
	}
	_, err = s.fetchPage(ctx, hash)
	return err
}

// blank empties pages that no head has used for a revision; the service's
// protocol of this system has no deletion. It is best effort: a page that stays
// is never read again. Pages of a ticket that lost a race are not collected, as
// another process may be about to refer to them.
func (s *Store) blank(ctx context.Context, hashes []string) {
	ctx, cancel := context.WithTimeout(ctx, blankTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, hash := range hashes {
		group.Go(func() error {
			entry, err := s.kv.Get(ctx, pageKey(hash))
			if err != nil || len(entry.Value) == 0 {
				return err
			}
			_, err = s.kv.CompareAndSwap(ctx, pageKey(hash), nil, entry.Index)
			return err
		})
	}
	// A failure leaves garbage of one page, which docs/configuration.md covers.
	_ = group.Wait()
}
