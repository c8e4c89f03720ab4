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

type fixedList []kvservice.Instance

func (l fixedList) List(context.Context) ([]kvservice.Instance, error) { return l, nil }

// Guards against a process that its peers take for its earlier life, because
// the clock stepped back between the two.
func TestIncarnationExceedsTheListedOne(t *testing.T) {
	const listed = math.MaxInt64 - 10 // far in the future of this clock
	s := settings.Default()
	s.Instance = "entry-1"
	p := app.Process{Settings: &s, Logger: log.New(io.Discard), Instances: fixedList{
		{Name: "entry-2", Incarnation: listed + 5},
		{Name: "entry-1", Incarnation: listed},
	}}
	if got := incarnation(t.Context(), p); got != listed+1 {
		t.Errorf("incarnation %d, want %d", got, listed+1)
	}
	p.Instances = fixedList{{Name: "entry-1", Incarnation: 1}}
	if got := incarnation(t.Context(), p); got < uint64(time.Now().Add(-time.Minute).UnixNano()) {
		t.Errorf("incarnation %d does not grow with the clock", got)
	}
}
