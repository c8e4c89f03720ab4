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
		Waiting: 3, WaitingLate: 1,
		Head: &waitqueue.Head{Service: "mind", Priority: 1, Due: now.Add(340 * time.Millisecond)},
		Engines: []gateway.EngineState{{
			ID: "i-1", Incarnation: 1700000000000, PrefillTokens: 1600, Resting: 2 * time.Second,
			Runs: []gateway.RunState{
				{Prompt: 4800, MedianOutput: 3200, MaxOutput: 7680, Began: now.Add(-time.Second)},
				{Prompt: 160, MedianOutput: 320, MaxOutput: 640, Began: now.Add(200 * time.Millisecond)},
			},
		}},
		Crashes: []quarantine.Notice{
			{Fingerprint: quarantine.Fingerprint{1, 2, 3}, Site: quarantine.Site{Upstream: "i-1", Incarnation: 1700000000000}},
			{Fingerprint: quarantine.Fingerprint{4, 5, 6}, Acquitted: true},
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
	want.state.Crashes, want.state.Head = nil, nil
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
