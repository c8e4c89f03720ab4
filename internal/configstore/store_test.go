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

// testKV is the stand-in service with a hook before each write.
type testKV struct {
	*kvstore.Store
	kvservice.KV
	beforeSwap func(key string)
	mu         sync.Mutex
	sizes      map[string]int
}

func newTestKV(t testing.TB) *testKV {
	store := kvstore.NewStore(kvstore.Options{ReadsPerSecond: 1e9, WritesPerSecond: 1e9})
	t.Cleanup(store.Close)
	return &testKV{Store: store, KV: kvmem.New(store), sizes: make(map[string]int)}
}

func (k *testKV) Get(ctx context.Context, key string) (kvservice.Entry, error) {
	return k.KV.Get(ctx, key)
}

func (k *testKV) Watch(ctx context.Context, key string, after uint64) (kvservice.Entry, error) {
	return k.KV.Watch(ctx, key, after)
}

func (k *testKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if k.beforeSwap != nil {
		k.beforeSwap(key)
	}
	done, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if done {
		k.mu.Lock()
		k.sizes[key] = len(value)
		k.mu.Unlock()
	}
	return done, err
}

// atHead runs f before the first write of the head.
func atHead(f func()) func(string) {
	var once sync.Once
	return func(key string) {
		if key == HeadKey {
			once.Do(f)
		}
	}
}

// callers returns a ticket that sets the callers from first to last.
func callers(number uint64, first, last int) *config.Ticket {
	t := &config.Ticket{Number: number}
	for i := first; i <= last; i++ {
		t.Objects = append(t.Objects, caller(number, i))
	}
	return t
}

func caller(number uint64, i int) config.Object {
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

// TestAcceptAndLoad guards that another process reads exactly what was accepted.
func TestAcceptAndLoad(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	empty, err := store.Load(t.Context())
	if err != nil || empty.Index != 0 || empty.Head.Revision != 0 {
		t.Fatalf("empty store: %+v, %v", empty, err)
	}
	mustAccept(t, store, callers(5, 1, 3))
	if r := mustAccept(t, store, callers(6, 3, 4)); r.Revision != 2 || r.AlreadyAccepted {
		t.Fatalf("second ticket: %+v", r)
	}
	if r := mustAccept(t, New(Options{KV: kv}), callers(6, 3, 4)); r.Revision != 2 || !r.AlreadyAccepted {
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
	if _, err := store.Accept(t.Context(), callers(4, 4, 5)); !errors.As(err, &refusal) || refusal.Winner != 6 {
		t.Fatalf("lower number: %v, want a refusal that names ticket 6", err)
	}
}

// TestLostAcknowledgement guards that a write that took effect without an
// answer is reported as accepted, not as a refusal or a second revision.
func TestLostAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		kv.beforeSwap = atHead(func() { kv.LoseAcks(1) })
		if r := mustAccept(t, New(Options{KV: kv}), callers(1, 1, 1)); r.Revision != 1 || r.AlreadyAccepted {
			t.Fatalf("got %+v, want revision 1 accepted by this call", r)
		}
	})
}

// TestOutage guards the two answers that an outage allows: certainly not
// accepted before the head was written, and unknown after that.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		kv.StartOutage(0)
		var storeErr *StoreError
		_, err := New(Options{KV: kv}).Accept(t.Context(), callers(1, 1, 1))
		if !errors.As(err, &storeErr) || storeErr.OutcomeUnknown {
			t.Fatalf("outage before the write: %v", err)
		}
		kv.EndOutage()
		kv.beforeSwap = atHead(func() { kv.StartOutage(0) })
		_, err = New(Options{KV: kv}).Accept(t.Context(), callers(1, 1, 1))
		if !errors.As(err, &storeErr) || !storeErr.OutcomeUnknown {
			t.Fatalf("outage at the write: %v", err)
		}
	})
}

// TestLateWrite guards against a definite answer while a write is still under
// way: reading back an unchanged head does not prove that it never takes effect.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newTestKV(t)
		store := New(Options{KV: kv})
		mustAccept(t, store, callers(1, 1, 1))
		var headWritten atomic.Bool
		kv.beforeSwap = func(key string) {
			if key == HeadKey {
				kv.DelayWrites(1, time.Minute)
				headWritten.Store(true)
			} else if headWritten.Load() {
				kv.StartOutage(0)
			}
		}
		var storeErr *StoreError
		_, err := store.Accept(t.Context(), callers(2, 1, 1))
		if !errors.As(err, &storeErr) || !storeErr.OutcomeUnknown {
			t.Fatalf("write under way: %v, want an unknown outcome", err)
		}
		time.Sleep(time.Minute)
		kv.EndOutage()
		kv.beforeSwap = nil
		if r := mustAccept(t, store, callers(2, 1, 1)); !r.AlreadyAccepted || r.Revision != 2 {
			t.Fatalf("applied again: %+v, want the late write's revision 2", r)
		}
	})
}

// TestWatch guards that a watcher sees each revision and that a reader whose
// head is outdated reads the newer one instead of failing on a blanked page.
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
			mustAccept(t, writer, callers(n, 1, 1))
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
		mustAccept(t, writer, callers(6, 1, 1))
		mustAccept(t, writer, callers(7, 1, 1))
		state, err := New(Options{KV: kv}).complete(t.Context(), old, objectPages)
		if err != nil || state.Head.Revision != 7 {
			t.Fatalf("outdated head: %+v, %v", state, err)
		}
	})
}

// TestGrowth guards that pages stay small and complete while the number of
// callers grows to the target size, and that replaced pages are blanked.
func TestGrowth(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	number := uint64(0)
	for first := 1; first <= 18000; first += 3000 {
		number++
		mustAccept(t, store, callers(number, first, first+2999))
	}
	mustAccept(t, store, callers(number+1, 1, 1))
	state, err := New(Options{KV: kv}).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := state.Snapshot()
	if err != nil || len(snapshot.Callers) != 18000 {
		t.Fatalf("%d callers, %v", len(snapshot.Callers), err)
	}
	live := 0
	for key, size := range kv.sizes {
		if size > MaxPageBytes {
			t.Errorf("%s has %d bytes", key, size)
		}
		if key != HeadKey && size > 0 {
			live++
		}
	}
	// The pages replaced by the last ticket are still there for slow readers.
	if want := len(state.Head.pageHashes()) + len(state.Head.Replaced); live != want {
		t.Errorf("%d pages with content, want %d", live, want)
	}
}

// TestAssembleChecksPages guards that pages from peers cannot be mixed up.
func TestAssembleChecksPages(t *testing.T) {
	kv := newTestKV(t)
	store := New(Options{KV: kv})
	mustAccept(t, store, callers(1, 1, 10))
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
	if _, err := store.Accept(b.Context(), callers(1, 1, 18000)); err != nil {
		b.Fatal(err)
	}
	number := uint64(1)
	// The page of recent tickets is full after maxRecords tickets.
	for number < maxRecords {
		number++
		if _, err := store.Accept(b.Context(), callers(number, int(number), int(number))); err != nil {
			b.Fatal(err)
		}
	}
	written := 0
	for b.Loop() {
		number++
		r, err := store.Accept(b.Context(), callers(number, int(number)%18000, int(number)%18000))
		if err != nil {
			b.Fatal(err)
		}
		written += r.BytesWritten
	}
	b.ReportMetric(float64(written)/float64(b.N), "bytes-written/op")
}

// TestAssemblerReuse guards that a reused assembler gives what a fresh one gives.
func TestAssemblerReuse(t *testing.T) {
	store := New(Options{KV: newTestKV(t)})
	assembler := NewAssembler()
	for n := uint64(1); n <= 30; n++ {
		mustAccept(t, store, callers(n, int(n), int(n)+200))
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
	for i, ticket := range []*config.Ticket{callers(1, 1, 18000), callers(2, 7, 7)} {
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
	if _, err := store.Accept(b.Context(), callers(1, 1, 18000)); err != nil {
		b.Fatal(err)
	}
	state, err := store.Load(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(state.objectBytes()), "page-bytes")
	for b.Loop() {
		if _, err := state.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}
