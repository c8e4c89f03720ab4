package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/fleet"
	"github.com/fescueslip/fescueslip/internal/quarantine"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// Guards against a request that takes one engine after another down without a sign, and is
// never refused because its client leaves before its deadline.
func TestSilentCrashesCountWhenTheClientLeaves(t *testing.T) {
	for silence, refused := range map[time.Duration]bool{suspectSilence + time.Second: true, suspectSilence / 2: false} {
		g := &Gateway{Options: Options{Logger: log.New(io.Discard)}, crashDetector: newCrashDetector()}
		c := &Call{ID: "r", Method: "POST", Target: "/x", Service: &routing.Service{Name: "s"}, Route: &routing.Route{}}
		left, cancel := context.WithCancel(context.Background())
		cancel()
		for i := range 3 {
			g.recordFailedAttempt(left, c, &attemptResult{
				instance: &fleet.Instance{ID: fmt.Sprintf("i-%d", i)}, err: errors.New("the client left"), mayHaveRun: true, duration: silence,
			})
		}
		g.crashDetector.watchlist.Settle(time.Now(), time.Now().Add(-time.Hour), func(quarantine.Process) bool { return false })
		if got := g.checkSuspended(c) != nil; got != refused {
			t.Errorf("silence of %v: refused %v, want %v", silence, got, refused)
		}
	}
}
