package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/config"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore/kvmem"
)

// testKV is the simulated key-value service with a hook before each write. It records
// the size of each value.
type testKV struct {
	*kvstore.Store
	kvservice.KV
	beforeWrite func(key string)
	mu          sync.Mutex
	valueSizes  map[string]int
}

func newTestKV(t testing.TB) *testKV {
	store := kvstore.NewStore(kvstore.Options{ReadsPerSecond: 1e9, WritesPerSecond: 1e9})
	t.Cleanup(store.Close)
	return &testKV{Store: store, KV: kvmem.New(store), valueSizes: make(map[string]int)}
}

func (k *testKV) Get(ctx context.Context, key string) (kvservice.Entry, error) {
	return k.KV.Get(ctx, key)
}

func (k *testKV) Watch(ctx context.Context, key string, after uint64) (kvservice.Entry, error) {
	return k.KV.Watch(ctx, key, after)
}

func (k *testKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if k.beforeWrite != nil {
		k.beforeWrite(key)
	}
	done, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if done {
		k.mu.Lock()
		k.valueSizes[key] = len(value)
		k.mu.Unlock()
	}
	return done, err
}

// beforeFirstHeadWrite returns a hook that runs f before the first write of the head.
func beforeFirstHeadWrite(f func()) func(string) {
	var once sync.Once
	return func(key string) {
		if key == HeadKey {
			once.Do(f)
		}
	}
}

// callerTicket returns a ticket that sets the callers from first to last.
func callerTicket(number uint64, first, last int) *config.Ticket {
	t := &config.Ticket{Number: number}
	for i := first; i <= last; i++ {
		t.Objects = append(t.Objects, callerObject(number, i))
	}
	return t
}

func callerObject(number uint64, i int) config.Object {
	sum := sha256.Sum256(fmt.Appendf(nil, "key %d of ticket %d", i, number))
	spec, _ := json.Marshal(config.Caller{KeySHA256: hex.EncodeToString(sum[:]), Share: 1})
	return config.Object{
		Ref:    config.Ref{Kind: config.KindCaller, Name: fmt.Sprintf("caller-%05d", i)},
		Ticket: number,
		Spec:   spec,
	}
}

func mustAccept(t *testing.T, s *Store, ticket *config.Ticket) Result {
	t.Helper()
	r, err := s.Accept(t.Context(), ticket)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestLoadReturnsAcceptedTickets guards against a stored configuration that differs from
// what was accepted: another process must load exactly the accepted objects.
func TestLoadReturnsAcceptedTickets(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	empty, err := store.Load(t.Context())
	if err != nil || empty.Index != 0 || empty.Head.Revision != 0 {
		t.Fatalf("empty store: %+v, %v", empty, err)
	}
	mustAccept(t, store, callerTicket(5, 1, 3))
	if r := mustAccept(t, store, callerTicket(6, 3, 4)); r.Revision != 2 || r.AlreadyAccepted {
		t.Fatalf("second ticket: %+v", r)
	}
	if r := mustAccept(t, New(Options{KV: kv}), callerTicket(6, 3, 4)); r.Revision != 2 || !r.AlreadyAccepted {
		t.Fatalf("second ticket again: %+v", r)
	}
	state, err := New(Options{KV: kv}).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := state.Snapshot()
	if err != nil || snapshot.Revision != 2 || len(snapshot.Callers) != 4 {
		t.Fatalf("snapshot: %+v, %v", snapshot, err)
	}
	var refusal *config.Refusal
	if _, err := store.Accept(t.Context(), callerTicket(4, 4, 5)); !errors.As(err, &refusal) || refusal.ConflictingTicket != 6 {
		t.Fatalf("lower number: %v, want a refusal that names ticket 6", err)
	}
}

// TestLostAcknowledgement guards against a wrong result after a write of the head took
// effect but its acknowledgement was lost. The ticket must be reported as accepted,
// not as refused, and must not create a second revision.
func TestLostAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		kv.beforeWrite = beforeFirstHeadWrite(func() { kv.LoseAcks(1) })
		if r := mustAccept(t, New(Options{KV: kv}), callerTicket(1, 1, 1)); r.Revision != 1 || r.AlreadyAccepted {
			t.Fatalf("got %+v, want revision 1 accepted by this call", r)
		}
	})
}

// TestAcceptDuringOutage guards the two results that are correct during an outage. If
// it starts before the head was written, the ticket was certainly not accepted. If it
// starts at the write, the outcome is unknown.
func TestAcceptDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		kv.StartOutage(0)
		var storeErr *StoreError
		_, err := New(Options{KV: kv}).Accept(t.Context(), callerTicket(1, 1, 1))
		if !errors.As(err, &storeErr) || storeErr.OutcomeUnknown {
			t.Fatalf("outage before the write: %v", err)
		}
		kv.EndOutage()
		kv.beforeWrite = beforeFirstHeadWrite(func() { kv.StartOutage(0) })
		_, err = New(Options{KV: kv}).Accept(t.Context(), callerTicket(1, 1, 1))
		if !errors.As(err, &storeErr) || !storeErr.OutcomeUnknown {
			t.Fatalf("outage at the write: %v", err)
		}
	})
}

// TestLateWrite guards against a definite result while a write is still in progress.
// An unchanged head does not prove that the write will never take effect.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		store := New(Options{KV: kv})
		mustAccept(t, store, callerTicket(1, 1, 1))
		var headWritten atomic.Bool
		kv.beforeWrite = func(key string) {
			if key == HeadKey {
				kv.DelayWrites(1, time.Minute)
				headWritten.Store(true)
			} else if headWritten.Load() {
				kv.StartOutage(0)
			}
		}
		var storeErr *StoreError
		_, err := store.Accept(t.Context(), callerTicket(2, 1, 1))
		if !errors.As(err, &storeErr) || !storeErr.OutcomeUnknown {
			t.Fatalf("write under way: %v, want an unknown outcome", err)
		}
		time.Sleep(time.Minute)
		kv.EndOutage()
		kv.beforeWrite = nil
		if r := mustAccept(t, store, callerTicket(2, 1, 1)); !r.AlreadyAccepted || r.Revision != 2 {
			t.Fatalf("applied again: %+v, want the late write's revision 2", r)
		}
	})
}

// TestWatch guards against a watcher that misses the last revision or sees revisions
// out of order, and against a reader with an outdated head that fails on a cleared
// page instead of reading the newer head.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		writer, watcher := New(Options{KV: kv}), New(Options{KV: kv})
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan uint64, 100)
		go func() {
			defer close(seen)
			var after uint64
			for {
				state, err := watcher.Watch(ctx, after)
				if err != nil {
					return
				}
				after = state.Index
				seen <- state.Head.Revision
			}
		}()
		for n := uint64(1); n <= 5; n++ {
			mustAccept(t, writer, callerTicket(n, 1, 1))
			synctest.Wait()
		}
		cancel()
		last := uint64(0)
		for r := range seen {
			if r <= last {
				t.Fatalf("revision %d after %d", r, last)
			}
			last = r
		}
		if last != 5 {
			t.Fatalf("last revision seen is %d, want 5", last)
		}
		old, err := writer.kv.Get(t.Context(), HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		mustAccept(t, writer, callerTicket(6, 1, 1))
		mustAccept(t, writer, callerTicket(7, 1, 1))
		state, err := New(Options{KV: kv}).loadState(t.Context(), old, selectObjectPages)
		if err != nil || state.Head.Revision != 7 {
			t.Fatalf("outdated head: %+v, %v", state, err)
		}
	})
}

// TestPagesStayBoundedAsCallersGrow guards against oversized pages, lost callers and
// replaced pages that are not cleared while the number of callers grows to the target
// size of 18,000.
func TestPagesStayBoundedAsCallersGrow(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	number := uint64(0)
	for first := 1; first <= 18000; first += 3000 {
		number++
		mustAccept(t, store, callerTicket(number, first, first+2999))
	}
	mustAccept(t, store, callerTicket(number+1, 1, 1))
	state, err := New(Options{KV: kv}).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := state.Snapshot()
	if err != nil || len(snapshot.Callers) != 18000 {
		t.Fatalf("%d callers, %v", len(snapshot.Callers), err)
	}
	live := 0
	for key, size := range kv.valueSizes {
		if size > MaxPageBytes {
			t.Errorf("%s has %d bytes", key, size)
		}
		if key != HeadKey && size > 0 {
			live++
		}
	}
	// The pages that the last ticket replaced are kept for slow readers.
	if want := len(state.Head.pageHashes()) + len(state.Head.Replaced); live != want {
		t.Errorf("%d pages with content, want %d", live, want)
	}
}

// TestAssembleChecksPages guards against missing, damaged or misplaced pages from peers
// that are accepted as valid.
func TestAssembleChecksPages(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	mustAccept(t, store, callerTicket(1, 1, 10))
	state, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	head, err := DecodeHead(state.HeadBytes)
	if err != nil {
		t.Fatal(err)
	}
	missing := MissingPages(head, func(string) bool { return false })
	if len(missing) != 1 {
		t.Fatalf("missing pages %v, want one", missing)
	}
	var pageErr *PageError
	if _, err := Assemble(head, nil); !errors.As(err, &pageErr) {
		t.Errorf("without the page: %v", err)
	}
	damaged := append([]byte(nil), state.Pages[missing[0]]...)
	damaged[len(damaged)/2] ^= 1
	if _, err := Assemble(head, map[string][]byte{missing[0]: damaged}); !errors.As(err, &pageErr) {
		t.Errorf("with a damaged page: %v", err)
	}
	moved := *head
	moved.Pages = []string{"", missing[0]}
	if _, err := Assemble(&moved, state.Pages); !errors.As(err, &pageErr) {
		t.Errorf("with a page of another bucket: %v", err)
	}
}

func BenchmarkAccept18000(b *testing.B) {
	kv := newTestKV(b)
	store := New(Options{KV: kv})
	if _, err := store.Accept(b.Context(), callerTicket(1, 1, 18000)); err != nil {
		b.Fatal(err)
	}
	number := uint64(1)
	// The page of recent tickets reaches its full size after maxTicketRecords tickets.
	for number < maxTicketRecords {
		number++
		if _, err := store.Accept(b.Context(), callerTicket(number, int(number), int(number))); err != nil {
			b.Fatal(err)
		}
	}
	written := 0
	for b.Loop() {
		number++
		r, err := store.Accept(b.Context(), callerTicket(number, int(number)%18000, int(number)%18000))
		if err != nil {
			b.Fatal(err)
		}
		written += r.BytesWritten
	}
	b.ReportMetric(float64(written)/float64(b.N), "bytes-written/op")
}

// TestReusedAssemblerMatchesFreshOne guards against stale pages in a reused Assembler: it
// must return the same snapshot as a new one.
func TestReusedAssemblerMatchesFreshOne(t *testing.T) {
	store := New(Options{KV: newTestKV(t)})
	assembler := NewAssembler()
	for n := uint64(1); n <= 30; n++ {
		mustAccept(t, store, callerTicket(n, int(n), int(n)+200))
		state, err := store.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		want, err := state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := assembler.Assemble(state.Head, state.Pages); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("revision %d: snapshots differ: %v", n, err)
		}
	}
}

func BenchmarkAssembleNext18000(b *testing.B) {
	store := New(Options{KV: newTestKV(b)})
	assembler := NewAssembler()
	var states [2]*State
	for i, ticket := range []*config.Ticket{callerTicket(1, 1, 18000), callerTicket(2, 7, 7)} {
		if _, err := store.Accept(b.Context(), ticket); err != nil {
			b.Fatal(err)
		}
		var err error
		if states[i], err = store.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	for i := 0; b.Loop(); i++ {
		if _, err := assembler.Assemble(states[i%2].Head, states[i%2].Pages); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAssemble18000(b *testing.B) {
	store := New(Options{KV: newTestKV(b)})
	if _, err := store.Accept(b.Context(), callerTicket(1, 1, 18000)); err != nil {
		b.Fatal(err)
	}
	state, err := store.Load(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(state.objectPageBytes()), "page-bytes")
	for b.Loop() {
		if _, err := state.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
