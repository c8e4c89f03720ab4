package cli

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/app"
	"github.com/fescueslip/fescueslip/internal/kvservice"
	"github.com/fescueslip/fescueslip/internal/settings"
)

type fixedInstances []kvservice.Instance

func (l fixedInstances) List(context.Context) ([]kvservice.Instance, error) { return l, nil }

// Guards against a restarted process whose incarnation is not above the one of its
// previous run, because the clock stepped back in between. Its peers would take it
// for the previous run.
func TestIncarnationExceedsListedIncarnation(t *testing.T) {
	const listed = math.MaxInt64 - 10 // far in the future of this clock
	s := settings.Default()
	s.Instance = "entry-1"
	p := app.Process{Settings: &s, Logger: log.New(io.Discard), Instances: fixedInstances{
		{Name: "entry-2", Incarnation: listed + 5},
		{Name: "entry-1", Incarnation: listed},
	}}
	if got := incarnation(t.Context(), p); got != listed+1 {
		t.Errorf("incarnation %d, want %d", got, listed+1)
	}
	p.Instances = fixedInstances{{Name: "entry-1", Incarnation: 1}}
	if got := incarnation(t.Context(), p); got < uint64(time.Now().Add(-time.Minute).UnixNano()) {
		t.Errorf("incarnation %d does not grow with the clock", got)
	}
}
