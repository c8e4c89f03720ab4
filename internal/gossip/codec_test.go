package gossip

import (
	"reflect"
	"testing"
	"time"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/policy/waitqueue"
	"github.com/fescueslip/fescueslip/internal/quarantine"
)

func sample(now time.Time) message {
	return message{sender: "front-a-1", incarnation: 1 << 60, sequence: 7, state: gateway.PeerState{
		WaitingOnTime: 3, WaitingLate: 1,
		QueueHead: &waitqueue.Head{Service: "mind", Priority: 1, Due: now.Add(340 * time.Millisecond)},
		Engines: []gateway.EngineLoad{{
			ID: "i-1", Incarnation: 1700000000000, PrefillTokens: 1600, RoleChangeRemaining: 2 * time.Second,
			Requests: []gateway.RequestLoad{
				{PromptTokens: 4800, MedianOutputTokens: 3200, MaxOutputTokens: 7680, OutputStart: now.Add(-time.Second)},
				{PromptTokens: 160, MedianOutputTokens: 320, MaxOutputTokens: 640, OutputStart: now.Add(200 * time.Millisecond)},
			},
		}},
		CrashNotices: []quarantine.Notice{
			{Fingerprint: quarantine.Fingerprint{1, 2, 3}, Process: quarantine.Process{Upstream: "i-1", Incarnation: 1700000000000}},
			{Fingerprint: quarantine.Fingerprint{4, 5, 6}, Completed: true},
		},
	}}
}

// Guards the round trip of a message between processes whose clocks differ.
func TestRoundTrip(t *testing.T) {
	sent := time.Unix(1000, 0)
	received := sent.Add(72 * time.Hour)
	got, err := decode(encode(sample(sent), sent), received)
	if err != nil {
		t.Fatal(err)
	}
	if want := sample(received); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards the exchange with processes of the release before crashes were told:
// their messages end where the notices begin.
func TestMessageOfEarlierRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	want := sample(now)
	want.state.CrashNotices, want.state.QueueHead = nil, nil
	b := encode(want, now)
	got, err := decode(b[:len(b)-2], now) // without the number of notices and the head
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a datagram that crashes the receiver or uses up its memory.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1000, 0)
	f.Add(encode(sample(now), now))
	f.Add([]byte{formatFull, 1, 'a', 0, 0, 0, 0, 0xff, 0xff, 0x03})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data, now)
		if err == nil && m.sender == "" {
			t.Error("accepted a message without a sender")
		}
	})
}
