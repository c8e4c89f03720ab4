package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescueslip/fescueslip/internal/standin/engine"
)

// Guards against a crash that leaves memory held or the boot ID unchanged, against
// one after which a running request still gets a response, and against one whose
// lost prefill tokens are not counted as wasted.
func TestCrash(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		_, before := b.call("p", "GET", "/v1/info", "")
		b.prefill("r/1", prompt(1000, "held"))
		go func() {
			time.Sleep(time.Second)
			b.prefillEngine.Crash(3 * time.Second)
		}()
		if status, _ := b.prefill("r/2", prompt(16000, "running")); status != 0 {
			t.Errorf("prefill during the crash: status %d, want no response", status)
		}
		b.expectHeldTokens(b.prefillEngine, 0)
		if status, _ := b.call("p", "GET", "/healthz", ""); status != 0 {
			t.Errorf("health check during the outage: status %d, want no response", status)
		}
		// One millisecond past the restart, because timers that expire at the same
		// instant fire in any order.
		time.Sleep(3*time.Second + time.Millisecond)
		status, after := b.call("p", "GET", "/v1/info", "")
		if status != 200 || after.BootID == before.BootID {
			t.Errorf("after the restart: %d, boot %s", status, after.BootID)
		}
		if c := b.prefillEngine.Counters(); c.PrefillTokens <= 1000 || c.WastedPrefillTokens != c.PrefillTokens {
			t.Errorf("counters = %+v", c)
		}
		if xs := b.journal.Executions("r/2"); len(xs) != 1 || xs[0].Outcome != engine.OutcomeCrashed {
			t.Errorf("executions = %+v", xs)
		}
	})
}

// Guards against a poison prompt that crashes an engine that does not run it, or
// that crashes none.
func TestPoison(t *testing.T) {
	poison := func(o *engine.Options) { o.PoisonMarker, o.PoisonDecodeMarker = "poison-any", "poison-decode" }
	withTestbed(t, poison, func(b *testbed) {
		text := promptWithLongOutput(100, 50) + " poison-decode"
		b.prefillAndImport("d", "r/1", text, 2000)
		if _, end, _ := b.decode("d", "r/1", text, 0, 50); end == "stop" || end == "length" {
			t.Errorf("the poisoned decode ended with %s", end)
		}
		if status, _ := b.prefill("r/2", prompt(2000, "poison-any")); status != 0 {
			t.Errorf("poisoned prefill: %d", status)
		}
		time.Sleep(engine.DefaultCrashDowntime + time.Millisecond)
		for e, want := range map[*engine.Engine]int{b.prefillEngine: 2, b.decodeEngine1: 2, b.decodeEngine2: 1} {
			if got := e.Counters().Boots; got != want {
				t.Errorf("%s started %d times, want %d", e.Name(), got, want)
			}
		}
	})
}

// Guards against transfers that ignore the rate of the link, and against a stall
// that a cancellation cannot end or that extends the hold of the prefill output.
func TestTransfers(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		_, out := b.prefill("r/0", prompt(3000, "link"))
		start := time.Now()
		go b.importKV("e", "r/2", out.Handle, 4000)
		if status, _ := b.importKV("d", "r/1", out.Handle, 4000); status != 200 {
			t.Errorf("import: %d", status)
		}
		both := params.TransferTime(params.KVBytes(3000), 2)
		if took := time.Since(start); took < both*9/10 || took > both*6/5 {
			t.Errorf("two transfers over one link took %v, want about %v", took, both)
		}
		b.prefillEngine.StallTransfers(0)
		go b.importKV("d", "r/3", out.Handle, 4000)
		time.Sleep(100 * time.Millisecond)
		b.expectHeldTokens(b.decodeEngine1, 8000)
		_, freed := b.call("d", "POST", "/v1/cancel", `{"request_id":"r/3"}`)
		if freed.FreedTokens != 4000 {
			t.Errorf("freed %d tokens", freed.FreedTokens)
		}
		go b.importKV("d", "r/4", out.Handle, 4000)
		time.Sleep(2 * params.HoldTime)
		b.expectHeldTokens(b.prefillEngine, 0)
		b.prefillEngine.EndTransferStall()
		time.Sleep(time.Second)
		b.expectHeldTokens(b.decodeEngine1, 4000)
	})
}

// Guards against a paused or blackholed engine that still responds, and against
// one that does not recover.
func TestPauseAndBlackhole(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		time.AfterFunc(100*time.Millisecond, func() { b.prefillEngine.Pause(2 * time.Second) })
		start := time.Now()
		if status, _ := b.prefill("r/1", prompt(3000, "pause")); status != 200 || time.Since(start) < 2*time.Second {
			t.Errorf("prefill during a pause: %d after %v", status, time.Since(start))
		}
		text := promptWithLongOutput(100, 50)
		b.prefillAndImport("d", "r/2", text, 2000)
		done := make(chan string, 1)
		go func() {
			_, end, _ := b.decode("d", "r/2", text, 0, 50)
			done <- end
		}()
		time.Sleep(100 * time.Millisecond)
		b.decodeEngine1.Blackhole(0, false)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		select {
		case end := <-done:
			t.Errorf("the blackholed stream ended with %s", end)
		default:
		}
		if status, _ := b.call("d", "GET", "/healthz", ""); status != 200 {
			t.Errorf("new connection: %d", status)
		}
		if err := b.decodeEngine1.Close(); err != nil {
			t.Error(err)
		}
		b.client.CloseIdleConnections()
	})
}

// Guards against an engine that allocates more memory than it has: a stream that
// needs more must end with an error, and an import must be rejected.
func TestMemoryRunsOut(t *testing.T) {
	small := func(o *engine.Options) {
		o.Params = params
		o.Params.CapacityTokens = 2 * params.ChunkTokens
	}
	withTestbed(t, small, func(b *testbed) {
		text := promptWithLongOutput(1990, 50)
		b.prefillAndImport("d", "r/1", text, 2000)
		b.prefillAndImport("d", "r/2", prompt(100, "x"), 2000)
		_, out := b.prefill("r/3", prompt(100, "y"))
		if status, got := b.importKV("d", "r/3", out.Handle, 0); status != 503 || got.Error.Code != "no_memory" {
			t.Errorf("import without memory: %d %+v", status, got)
		}
		if _, end, _ := b.decode("d", "r/1", text, 0, 50); end != "no_memory" {
			t.Errorf("the stream that needed more memory ended with %s, want no_memory", end)
		}
		b.expectHeldTokens(b.decodeEngine1, 2000)
	})
}

// Guards against a prefix cache without effect, and against cache events that are
// visible before their lag or are lost without a reported gap.
func TestPrefixCache(t *testing.T) {
	withTestbed(t, func(o *engine.Options) { o.DropEventEvery = 5 }, func(b *testbed) {
		b.prefill("r/1", prompt(640, "cache"))
		_, out := b.prefill("r/2", prompt(1000, "cache"))
		if out.CachedTokens != 640 {
			t.Errorf("%d tokens cached, want 640", out.CachedTokens)
		}
		if _, out = b.prefill("r/3", prompt(640, "cache")); out.CachedTokens != 512 {
			t.Errorf("%d tokens of a prompt seen before cached, want all blocks but the last", out.CachedTokens)
		}
		expect := func(after int, events int, gap bool) {
			t.Helper()
			_, out := b.call("p", "GET", fmt.Sprint("/v1/cache/events?after=", after), "")
			if len(out.Events) != events || out.Gap != gap {
				t.Errorf("events after %d: %d, gap %v", after, len(out.Events), out.Gap)
			}
		}
		b.prefill("r/4", prompt(128, "late"))
		expect(0, 0, false)
		time.Sleep(200 * time.Millisecond)
		expect(0, 4, false)
		time.Sleep(engine.DefaultEventLag)
		expect(0, 7, true)
		expect(5, 3, false)
		expect(100, 7, true)
	})
}

// Guards against an order that is overridden by one with an older fencing token,
// and against a load report without the lag of a real engine.
func TestOrdersAndLoad(t *testing.T) {
	check := func(o *engine.Options) { o.CheckFencing = o.Name == "d" }
	withTestbed(t, check, func(b *testbed) {
		const order = `{"id":"o%d","fencing":%d,"kind":"set_role","role":"prefill"}`
		steps := []struct {
			engine        string
			fencing, want int
		}{{"d", 5, 200}, {"d", 4, 409}, {"d", 5, 200}, {"e", 5, 200}, {"e", 4, 200}}
		for i, s := range steps {
			if status, _ := b.call(s.engine, "POST", "/v1/orders", fmt.Sprintf(order, i, s.fencing)); status != s.want {
				t.Errorf("order %d to %s: %d, want %d", i, s.engine, status, s.want)
			}
		}
		if status, out := b.importKV("d", "r/1", "h", 0); status != 409 || out.Error.Code != "wrong_role" {
			t.Errorf("import by a prefill engine: %d %+v", status, out)
		}
		b.prefill("r/2", prompt(100, "load"))
		if _, out := b.call("p", "GET", "/v1/load", ""); out.HeldTokens != 0 {
			t.Errorf("the load is reported without lag: %+v", out)
		}
		time.Sleep(engine.DefaultLoadLag + time.Millisecond)
		if _, out := b.call("p", "GET", "/v1/load", ""); out.HeldTokens != 2000 {
			t.Errorf("the load is not reported after its lag: %+v", out)
		}
	})
}

// Guards against a prefill queue that ignores priorities.
func TestPriority(t *testing.T) {
	withTestbed(t, nil, func(b *testbed) {
		finished := make(chan int, 3)
		for i, priority := range []int{0, 1, 2} {
			go func() {
				body := map[string]any{"request_id": fmt.Sprint("r/", i), "prompt": prompt(4000, fmt.Sprint(i)), "priority": priority}
				b.call("p", "POST", "/v1/prefill", mustJSON(body))
				finished <- priority
			}()
			time.Sleep(time.Millisecond)
		}
		if a, b, c := <-finished, <-finished, <-finished; a != 0 || b != 2 || c != 1 {
			t.Errorf("prefills finished with priorities %d, %d, %d; want 0, 2, 1", a, b, c)
		}
	})
}
