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

// Guards against quarantining a request after one crash or after two crashes of the
// same upstream, and against releasing a quarantined request that ran to completion.
func TestRecordStatus(t *testing.T) {
	f := quarantine.Fingerprint{1}
	cases := []struct {
		name      string
		crashes   []string
		completed bool
		want      quarantine.Status
	}{
		{"unknown", nil, false, quarantine.Clear},
		{"one crash", []string{"a"}, false, quarantine.Suspect},
		{"same upstream twice", []string{"a", "a"}, false, quarantine.Suspect},
		{"two upstreams", []string{"a", "b"}, false, quarantine.Quarantined},
		{"suspect that finished", []string{"a"}, true, quarantine.Clear},
		{"quarantined and completed", []string{"a", "b"}, true, quarantine.Quarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r quarantine.Record
			for _, upstream := range c.crashes {
				r.ReportCrash(f, upstream)
			}
			if c.completed {
				r.ClearSuspect(f)
			}
			if got := r.Status(f); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against losing a crash when the service is unavailable or the
// acknowledgement of a write is lost, and against a quarantine that cannot be
// lifted.
func TestReplicaWritesDespiteOutageAndLift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := kvstore.NewStore(kvstore.Options{})
		kv := kvmem.New(store)
		replica := quarantine.NewReplica(kv, log.New(io.Discard))
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = replica.RunWriter(ctx)
		}()
		f := quarantine.Fingerprint{7}
		store.StartOutage(3 * time.Second)
		replica.ReportCrash(f, "a")
		time.Sleep(5 * time.Second)
		store.LoseAcks(1)
		replica.ReportCrash(f, "b")
		time.Sleep(5 * time.Second)
		r, err := quarantine.ReadRecord(t.Context(), kv)
		if err != nil || r.Status(f) != quarantine.Quarantined {
			t.Errorf("stored record %v, error %v; want the request quarantined", r, err)
		}
		if found, err := quarantine.Lift(t.Context(), kv, f); !found || err != nil {
			t.Errorf("lift: found %t, error %v; want true, nil", found, err)
		}
		if err := replica.Refresh(t.Context()); err != nil || replica.Status(f) != quarantine.Clear {
			t.Errorf("status %d after the lift, error %v; want Clear", replica.Status(f), err)
		}
		cancel()
		<-done
	})
}
