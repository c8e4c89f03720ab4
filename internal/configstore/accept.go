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
	// maxAcceptAttempts bounds how often Accept decides a ticket. It decides again
	// after another ticket changed the configuration first, after a write was not
	// acknowledged, and after a call that the rate limit or an outage stopped.
	maxAcceptAttempts    = 30
	initialAcceptBackoff = 10 * time.Millisecond
	maxAcceptBackoff     = time.Second
	// acceptTimeout bounds a call of Accept whose context has no earlier deadline.
	acceptTimeout = 30 * time.Second
	// clearPagesTimeout bounds the clearing of replaced pages. The ticket is already
	// accepted at that point.
	clearPagesTimeout = 5 * time.Second
)

// Result describes an accepted ticket.
type Result struct {
	config.TicketRecord
	// AlreadyAccepted reports whether the ticket had been accepted before this call.
	AlreadyAccepted bool
	// BytesWritten is the total size of the values that this call wrote to the
	// key-value service, over all its attempts. PagesWritten is the number of pages
	// among these values.
	BytesWritten int
	PagesWritten int
}

// StoreError is the error of Accept for every failure other than a refusal, such as a
// failed call to the key-value service or a configuration head that is too large.
type StoreError struct {
	Ticket uint64
	// OutcomeUnknown is true if the ticket may have been accepted. If it is false, the
	// ticket was certainly not accepted.
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

// errConflict means that another ticket replaced the head between the read and the
// write of an attempt.
var errConflict = errors.New("another ticket replaced the configuration head first")

// acceptOperation is the state of one call of Accept.
type acceptOperation struct {
	store  *Store
	ticket *config.Ticket
	// startedAt is the time of acceptance in the ticket's record. All attempts use the
	// same time, so that they produce the same page of recent tickets.
	startedAt time.Time
	result    Result
	// headWriteUnknown is true while a write of the head was not acknowledged, so that
	// it may have taken effect or may still do so.
	headWriteUnknown bool
	// headWriteBase is the state that the unacknowledged write was to replace.
	headWriteBase *State
}

// Accept applies the ticket to the stored configuration. The error is a
// *config.Refusal if the rules refuse the ticket, and a *StoreError in every other case.
func (s *Store) Accept(ctx context.Context, t *config.Ticket) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	op := &acceptOperation{store: s, ticket: t, startedAt: time.Now()}
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialAcceptBackoff
	delay.MaxInterval = maxAcceptBackoff
	var lastErr error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := op.attempt(ctx)
		lastErr = err
		if err != nil && !isRetryable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delay), backoff.WithMaxTries(maxAcceptAttempts))
	var refusal *config.Refusal
	switch {
	case err == nil:
		return op.result, nil
	case errors.As(err, &refusal):
		return Result{}, refusal
	default:
		// The error of the last attempt is more useful than that of the deadline.
		return Result{}, &StoreError{Ticket: t.Number, OutcomeUnknown: op.headWriteUnknown, Cause: lastErr}
	}
}

// isRetryable reports whether another attempt may succeed: after a conflict with
// another ticket, and when the key-value service was unavailable or the rate limit
// was exceeded.
func isRetryable(err error) bool {
	return errors.Is(err, errConflict) || errors.Is(err, kvservice.ErrUnavailable) || errors.Is(err, kvservice.ErrRateLimited)
}

// attempt reads the stored configuration, decides the ticket and, if it is accepted,
// writes the result.
func (op *acceptOperation) attempt(ctx context.Context) error {
	state, err := op.store.LoadWithTickets(ctx)
	if err != nil {
		return err
	}
	if accepted, err := op.resolveHeadWrite(state); accepted || err != nil {
		return err
	}
	current, err := state.Configuration()
	if err != nil {
		return err
	}
	decision, err := current.Accept(op.ticket)
	if err != nil {
		return err
	}
	if decision.AlreadyAccepted {
		op.result.TicketRecord, op.result.AlreadyAccepted = decision.Record, true
		return nil
	}
	return op.writeNext(ctx, state, decision)
}

// errRecordEvicted means that a write was not acknowledged and that so many tickets
// were accepted since that the record of this ticket may have been evicted.
var errRecordEvicted = errors.New("too many tickets were accepted since the write to tell whether it took effect")

// resolveHeadWrite finds out whether an unacknowledged write of the head took effect.
// The record of the ticket proves that it did. If the head is unchanged, the outcome
// stays unknown. If the head has changed and the record is not there, the write did not
// and cannot take effect, because the index that it expects is outdated. The exception
// is a record that may have been evicted since: then the error is errRecordEvicted.
func (op *acceptOperation) resolveHeadWrite(state *State) (accepted bool, err error) {
	if !op.headWriteUnknown {
		return false, nil
	}
	records, err := state.Tickets()
	if err != nil {
		return false, err
	}
	for _, record := range records {
		if record.Ticket == op.ticket.Number && record.ContentHash == op.ticket.ContentHash() {
			op.result.TicketRecord = record
			return true, nil
		}
	}
	if state.Index == op.headWriteBase.Index {
		return false, nil
	}
	if len(records) == 0 || records[0].Revision > op.headWriteBase.Head.Revision+1 {
		return false, errRecordEvicted
	}
	op.headWriteUnknown = false
	return false, nil
}

// writeNext stores the configuration after the ticket: first its new pages, then the
// head by one compare-and-swap.
func (op *acceptOperation) writeNext(ctx context.Context, state *State, decision config.Decision) error {
	record := decision.Record
	record.AcceptedUnix = op.startedAt.Unix()
	records, err := state.Tickets()
	if err != nil {
		return err
	}
	next, err := encodeNext(state, decision.Next, op.ticket, append(records, record))
	if err != nil {
		return err
	}
	data, err := next.head.Encode()
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	if !headFits(data) {
		return errors.Errorf("configuration head has %d bytes, more than a value of the key-value service may have (%d)", len(data), kvservice.MaxValueBytes)
	}
	if err := op.writePages(ctx, next.pages); err != nil {
		return err
	}
	op.result.BytesWritten += len(data)
	swapped, err := op.store.kv.CompareAndSwap(ctx, HeadKey, data, state.Index)
	if err != nil {
		if errors.Is(err, kvservice.ErrUnavailable) {
			op.headWriteUnknown, op.headWriteBase = true, state
		}
		return errors.Wrap(err, "write configuration head")
	}
	if !swapped {
		return errConflict
	}
	op.result.TicketRecord = record
	op.store.clearPages(ctx, state.Head.Replaced)
	return nil
}

func (op *acceptOperation) writePages(ctx context.Context, pages map[string][]byte) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, hash := range sortedHashes(pages) {
		op.result.PagesWritten++
		op.result.BytesWritten += len(pages[hash])
		group.Go(func() error { return op.store.writePage(groupCtx, hash, pages[hash]) })
	}
	return group.Wait()
}

// writePage stores the page or, if the key exists, checks that it holds the page. The
// key is the hash of the content, so two processes that write the same key write the
// same page.
func (s *Store) writePage(ctx context.Context, hash string, content []byte) error {
	created, err := s.kv.CompareAndSwap(ctx, pageKey(hash), content, 0)
	if err != nil {
		return errors.Wrapf(err, "write configuration page %s", hash)
	}
	if created {
		return nil
	}
	_, err = s.fetchPage(ctx, hash)
	return err
}

// clearPages overwrites pages that the head stopped using one revision ago with empty
// values, because interface kvservice.KV has no deletion. It ignores errors, because a
// page that is not cleared is never read again. Pages that a
// ticket wrote before it lost a race for the head are not cleared, because another
// process may be about to refer to them.
func (s *Store) clearPages(ctx context.Context, hashes []string) {
	ctx, cancel := context.WithTimeout(ctx, clearPagesTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
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
	// A failure leaves an unused page in the service, see docs/configuration.md.
	_ = group.Wait()
}
