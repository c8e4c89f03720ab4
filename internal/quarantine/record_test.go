package quarantine_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore"
	"github.com/fescueslip/fescueslip/internal/standin/kvstore/kvmem"
)

// Guards against a request that is quarantined after one crash, or by the same
// upstream twice, and against an acquittal that frees a quarantined request.
func TestRecordVerdicts(t *testing.T) {
	f := quarantine.Fingerprint{1}
	cases := []struct {
		name    string
		crashes []string
		acquit  bool
		want    quarantine.Status
	}{
		{"unknown", nil, false, quarantine.Clear},
		{"one crash", []string{"a"}, false, quarantine.Suspect},
		{"same upstream twice", []string{"a", "a"}, false, quarantine.Suspect},
		{"two upstreams", []string{"a", "b"}, false, quarantine.Quarantined},
		{"suspect that finished", []string{"a"}, true, quarantine.Clear},
		{"quarantined and acquitted", []string{"a", "b"}, true, quarantine.Quarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r quarantine.Record
			for _, upstream := range c.crashes {
				r.ReportCrash(f, upstream)
			}
			if c.acquit {
				r.ClearSuspect(f)
			}
			if got := r.Status(f); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against a crash that is forgotten because the service was down or its
// acknowledgement was lost, and against a quarantine that cannot be lifted.
func TestKeeperWritesThroughOutagesAndLifts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := kvstore.NewStore(kvstore.Options{})
		kv := kvmem.New(store)
		k := quarantine.NewReplica(kv, log.New(io.Discard))
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = k.RunWriter(ctx)
		}()
		f := quarantine.Fingerprint{7}
		store.Down(3 * time.Second)
		k.ReportCrash(f, "a")
		time.Sleep(5 * time.Second)
		store.LoseAcks(1)
		k.ReportCrash(f, "b")
		time.Sleep(5 * time.Second)
		r, err := quarantine.ReadRecord(t.Context(), kv)
		if err != nil || r.Status(f) != quarantine.Quarantined {
			t.Errorf("stored verdict %v, %v; want quarantined", r, err)
		}
		if found, err := quarantine.Lift(t.Context(), kv, f); !found || err != nil {
			t.Errorf("lift: %t, %v", found, err)
		}
		if err := k.Refresh(t.Context()); err != nil || k.Status(f) != quarantine.Clear {
			t.Errorf("verdict %d after the lift, %v; want clear", k.Status(f), err)
		}
		cancel()
		<-done
	})
}
