package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/kvservice"
)

const (
	fencePrefix = "fescueslip/fence/"
	// orderLease is how long a holder may issue orders after it acquired the fence.
	// A holder stops leaseClockMargin earlier. The next holder waits for the whole
	// lease if the engine does not check fencing tokens.
	orderLease = 3 * time.Second
	// leaseClockMargin is the allowance for clocks that run at slightly different speeds.
	leaseClockMargin = 300 * time.Millisecond
	// maxFenceAttempts is the number of compare-and-swap attempts to acquire the fence.
	maxFenceAttempts = 5
	maxOrderAttempts = 3
)

// ErrSuperseded reports that another holder has issued or may issue a newer order.
var ErrSuperseded = errors.New("another process took over the orders of this engine; read the engine's current order before issuing a new one")

// ErrFenceUnavailable reports that no fencing token could be obtained, so no
// order was issued.
var ErrFenceUnavailable = errors.New("no fencing token: the key-value service did not confirm the call; retry when it answers")

// fenceRecord is the value of the fence key.
type fenceRecord struct {
	Token   uint64 `json:"token"`
	Holder  string `json:"holder"`
	LeaseMS int64  `json:"lease_ms"`
}

// OrdersOptions configures Orders.
type OrdersOptions struct {
	KV       kvservice.KV
	Engine   engine.Client
	Upstream string
	// Holder identifies this run of this process.
	Holder string
	// ChecksFencing reports whether the engine refuses orders with an old token.
	ChecksFencing func() bool
}

// Orders is the aggregate that issues orders to one engine. Each order carries
// a token from a compare-and-swap on one key, so tokens only increase. An engine
// that checks tokens refuses late orders of a former holder. For an engine that does
// not, Orders waits until the former holder's lease has ended and reads the order in
// force before and after it issues its own.
type Orders struct {
	opts OrdersOptions
	key  string

	issuing chan struct{} // holds a token while an order is issued

	mu     sync.Mutex
	last   engine.Order
	issued int
}

// NewOrders returns the Orders of one upstream.
func NewOrders(o OrdersOptions) *Orders {
	return &Orders{opts: o, key: fencePrefix + o.Upstream, issuing: make(chan struct{}, 1)}
}

func holderName(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", instance, incarnation)
}

// fence is an acquired fencing token with the time until which it may be used.
type fence struct {
	token       uint64
	expires     time.Time
	former      fenceRecord
	modifyIndex uint64
}

// Issue acquires a fencing token, sets it in the order and sends the order to the
// engine. It returns nil once the order is in force.
func (o *Orders) Issue(ctx context.Context, order engine.Order) error {
	o.issuing <- struct{}{}
	defer func() { <-o.issuing }()
	f, err := o.acquireFence(ctx)
	if err != nil {
		return err
	}
	order.Fencing = f.token
	if !o.opts.ChecksFencing() {
		if f, err = o.awaitFormerLease(ctx, f); err != nil {
			return err
		}
		applied, err := o.inForce(ctx, order)
		if applied {
			o.recordIssued(order)
		}
		if applied || err != nil {
			return err
		}
	}
	return o.sendOrder(ctx, order, f)
}

// CheckAvailable returns an error if the fence cannot be read. No fencing token can
// be acquired then.
func (o *Orders) CheckAvailable(ctx context.Context) error {
	_, _, err := o.readFence(ctx)
	return err
}

// acquireFence acquires the next fencing token.
func (o *Orders) acquireFence(ctx context.Context) (fence, error) {
	for range maxFenceAttempts {
		former, index, err := o.readFence(ctx)
		if err != nil {
			return fence{}, err
		}
		next := fenceRecord{Token: former.Token + 1, Holder: o.opts.Holder, LeaseMS: orderLease.Milliseconds()}
		f, ok, err := o.writeFence(ctx, next, index)
		if err != nil {
			return fence{}, err
		}
		if ok {
			f.former = former
			return f, nil
		}
	}
	return fence{}, errors.Wrapf(ErrSuperseded, "acquire fence %s: %d attempts were superseded", o.key, maxFenceAttempts)
}

func (o *Orders) readFence(ctx context.Context) (fenceRecord, uint64, error) {
	e, err := o.opts.KV.Get(ctx, o.key)
	if err != nil {
		return fenceRecord{}, 0, errors.Wrapf(ErrFenceUnavailable, "read fence %s (%v)", o.key, err)
	}
	var rec fenceRecord
	if e.Index == 0 {
		return rec, 0, nil
	}
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return rec, 0, errors.Wrapf(err, "decode fence %s; delete the key when no order is under way", o.key)
	}
	return rec, e.Index, nil
}

// writeFence stores a record with a compare-and-swap. The lease starts before the
// write, so that it ends here before it ends for any process that reads it. The
// record is read back to learn its index, and because the acknowledgement of the
// write may be lost.
func (o *Orders) writeFence(ctx context.Context, rec fenceRecord, index uint64) (fence, bool, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return fence{}, false, errors.Wrapf(err, "encode fence %s", o.key)
	}
	f := fence{token: rec.Token, expires: time.Now().Add(orderLease - leaseClockMargin)}
	ok, casErr := o.opts.KV.CompareAndSwap(ctx, o.key, value, index)
	if casErr == nil && !ok {
		return f, false, nil
	}
	stored, storedIndex, err := o.readFence(ctx)
	if err != nil {
		return f, false, err
	}
	f.modifyIndex = storedIndex
	if stored == rec {
		return f, true, nil
	}
	if casErr != nil {
		return f, false, errors.Wrapf(ErrFenceUnavailable, "write fence %s (%v)", o.key, casErr)
	}
	return f, false, nil
}

// awaitFormerLease waits until the former holder's lease has ended and then renews
// its own lease. The renewal fails if another process took over meanwhile. The former
// holder cannot have renewed its lease after this one was written, because that write
// changed the key.
func (o *Orders) awaitFormerLease(ctx context.Context, f fence) (fence, error) {
	if f.former.Holder == "" || f.former.Holder == o.opts.Holder {
		return f, nil
	}
	wait := time.Duration(f.former.LeaseMS)*time.Millisecond + leaseClockMargin
	select {
	case <-ctx.Done():
		return f, context.Cause(ctx)
	case <-time.After(wait):
	}
	renewal := fenceRecord{Token: f.token, Holder: o.opts.Holder, LeaseMS: orderLease.Milliseconds()}
	renewed, ok, err := o.writeFence(ctx, renewal, f.modifyIndex)
	if err != nil {
		return f, err
	}
	if !ok {
		return f, errors.Wrapf(ErrSuperseded, "renew fence %s", o.key)
	}
	return renewed, nil
}

// inForce reports whether the given order is in force at the engine. It returns
// ErrSuperseded if a newer order is in force.
func (o *Orders) inForce(ctx context.Context, order engine.Order) (applied bool, err error) {
	current, ok, err := o.opts.Engine.CurrentOrder(ctx)
	switch {
	case err != nil:
		return false, errors.Wrapf(err, "read the current order of upstream %s", o.opts.Upstream)
	case !ok:
		return false, nil
	case current.Fencing > order.Fencing:
		return false, errors.Wrapf(ErrSuperseded, "order %s with token %d is in force", current.ID, current.Fencing)
	}
	return current.ID == order.ID && current.Fencing == order.Fencing, nil
}

// sendOrder sends the order while the lease lasts and checks whether it took effect,
// because a response may be lost and an order of a former holder may arrive late.
func (o *Orders) sendOrder(ctx context.Context, order engine.Order, f fence) error {
	lease, cancel := context.WithDeadlineCause(ctx, f.expires, errors.Wrapf(ErrSuperseded, "lease on fence %s ended", o.key))
	defer cancel()
	var lastErr error
	for range maxOrderAttempts {
		if lease.Err() != nil {
			return context.Cause(lease)
		}
		lastErr = o.opts.Engine.IssueOrder(lease, order)
		if engine.IsCode(lastErr, engine.CodeStaleFencing) {
			return errors.Wrapf(ErrSuperseded, "engine refused order %s with token %d", order.ID, order.Fencing)
		}
		if engine.IsAPIError(lastErr) {
			return errors.Wrapf(lastErr, "engine rejected order %s", order.ID)
		}
		applied, err := o.inForce(lease, order)
		if applied {
			o.recordIssued(order)
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			return err
		}
	}
	if lastErr == nil {
		lastErr = ErrSuperseded
	}
	return errors.Wrapf(lastErr, "order %s did not take effect; issue it again", order.ID)
}

// recordIssued remembers the order as the last one, for Recheck.
func (o *Orders) recordIssued(order engine.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = order
	o.issued++
}

// Recheck issues the last order again if an older one replaced it. That happens when
// a late order of a former holder reaches an engine that does not check tokens.
func (o *Orders) Recheck(ctx context.Context) error {
	o.mu.Lock()
	last := o.last
	o.mu.Unlock()
	if last.ID == "" || o.opts.ChecksFencing() {
		return nil
	}
	current, ok, err := o.opts.Engine.CurrentOrder(ctx)
	if err != nil || !ok || current.Fencing >= last.Fencing {
		return err
	}
	return o.Issue(ctx, last)
}

// OrderState is the part of the state dump about orders.
type OrderState struct {
	Issued  int    `json:"issued"`
	Last    string `json:"last,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// State returns the number of orders issued and the last one.
func (o *Orders) State() OrderState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OrderState{Issued: o.issued, Last: o.last.ID, Fencing: o.last.Fencing}
}
