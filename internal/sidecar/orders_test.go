package sidecar

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/engine"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// fakeKV is a key-value service that can lose acknowledgements and be down.
type fakeKV struct {
	mu      sync.Mutex
	value   []byte
	index   uint64
	down    bool
	loseAck bool
}

func (k *fakeKV) Get(_ context.Context, key string) (kvservice.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return kvservice.Entry{}, kvservice.ErrUnavailable
	}
	return kvservice.Entry{Key: key, Value: k.value, Index: k.index}, nil
}

func (k *fakeKV) CompareAndSwap(_ context.Context, _ string, value []byte, index uint64) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.down:
		return false, kvservice.ErrUnavailable
	case index != k.index:
		return false, nil
	}
	k.value, k.index = value, k.index+1
	if k.loseAck {
		k.loseAck = false
		return false, kvservice.ErrUnavailable
	}
	return true, nil
}

func (k *fakeKV) Watch(context.Context, string, uint64) (kvservice.Entry, error) {
	return kvservice.Entry{}, kvservice.ErrUnavailable
}

func newTestOrders(kv kvservice.KV, f engine.Client, holder string, checks bool) *Orders {
	return NewOrders(OrdersOptions{KV: kv, Engine: f, Upstream: "up", Holder: holder, ChecksFencing: func() bool { return checks }})
}

func loadOrder(id string) engine.Order {
	return engine.Order{ID: id, Kind: engine.OrderLoadModel, Model: id}
}

// TestOrderWaitsForFormerLease guards against an order that is issued before the
// former holder's lease has ended, and against a late order of the former holder
// that stays in force on an engine that does not check tokens.
func TestOrderWaitsForFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, f := &fakeKV{}, newFakeEngine(engine.RoleDecode)
		old, next := newTestOrders(kv, f, "old", false), newTestOrders(kv, f, "next", false)
		if err := old.Issue(t.Context(), loadOrder("a")); err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		late := loadOrder("late")
		late.Fencing = 1
		f.lateOrder = &late
		if err := next.Issue(t.Context(), loadOrder("b")); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(begin); elapsed < orderLease {
			t.Fatalf("issued after %v, before the former holder's lease ended", elapsed)
		}
		if f.currentOrder.ID != "b" || f.currentOrder.Fencing != 2 {
			t.Fatalf("in force: %+v, want b with token 2", f.currentOrder)
		}
		f.apply(late)
		if err := next.Recheck(t.Context()); err != nil || f.currentOrder.ID != "b" {
			t.Fatalf("in force after a late order: %+v (%v), want b", f.currentOrder, err)
		}
	})
}

// TestOrderRequiresConfirmedToken guards against two holders that issue orders at
// the same time, and against orders without a confirmed token.
func TestOrderRequiresConfirmedToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, f := &fakeKV{}, newFakeEngine(engine.RoleDecode)
		a, b := newTestOrders(kv, f, "a", false), newTestOrders(kv, f, "b", true)
		if err := a.Issue(t.Context(), loadOrder("1")); err != nil {
			t.Fatal(err)
		}
		c := newTestOrders(kv, f, "c", false)
		got := make(chan error)
		go func() { got <- c.Issue(t.Context(), loadOrder("2")) }()
		time.Sleep(time.Second)
		if err := b.Issue(t.Context(), loadOrder("3")); err != nil {
			t.Fatal(err)
		}
		if err := <-got; !errors.Is(err, ErrSuperseded) || f.currentOrder.ID != "3" {
			t.Fatalf("got %v with %+v in force, want superseded by 3", err, f.currentOrder)
		}
		kv.loseAck = true
		if err := b.Issue(t.Context(), loadOrder("4")); err != nil || f.currentOrder.ID != "4" {
			t.Fatalf("lost acknowledgement: %v, %+v in force", err, f.currentOrder)
		}
		kv.down = true
		if err := b.Issue(t.Context(), loadOrder("5")); !errors.Is(err, ErrFenceUnavailable) || f.currentOrder.ID != "4" {
			t.Fatalf("key-value service down: %v, %+v in force", err, f.currentOrder)
		}
	})
}

// TestRoleFollowsThePool guards against a role that never changes because new
// requests keep arriving, and against a change of the role that interrupts a
// request.
func TestRoleFollowsThePool(t *testing.T) {
	f := newFakeEngine(engine.RoleDecode)
	f.outputTokens = 200
	runWithHarness(t, f, func(h *harness) {
		running := h.decode(reserveFrame("a", "x"))
		defer running.Close()
		running.until(isGranted)
		running.start("h")
		running.until(isTokens)
		h.sidecar.orders.opts.KV = &fakeKV{}
		h.sidecar.opts.Config = config.StaticSource{Fixed: config.BuildSnapshot(2, config.DecodedObjects{
			Pools:     []*config.Pool{{Name: "p", Role: config.RolePrefill}},
			Upstreams: []*config.Upstream{{Name: "up", Pool: "p"}},
		})}
		if err := h.sidecar.reconcileRole(context.Background()); err != nil {
			t.Fatal(err)
		}
		late := h.decode(reserveFrame("b", "x"))
		defer late.Close()
		if m := late.until(isFinal); m.GetRefused().GetKind() != wire.RefusalKind_REFUSAL_WRONG_ROLE {
			t.Fatalf("got %v, want a refusal", m)
		}
		if m := running.until(isFinal); m.GetDone().GetTotalTokens() != 200 {
			t.Fatalf("got %v, want the whole answer", m)
		}
		time.Sleep(time.Second)
		for range 2 { // the first call issues the order, the second one sees it in effect
			if err := h.sidecar.reconcileRole(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		p := h.prefill(prefillFrame("c", "x"))
		defer p.Close()
		if p.until(isReady) == nil {
			t.Fatal("no prefill completed in the new role")
		}
	})
}
