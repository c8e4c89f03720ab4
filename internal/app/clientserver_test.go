package app

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fescueslip/fescueslip/internal/gateway"
	"github.com/fescueslip/fescueslip/internal/memnet"
	"github.com/fescueslip/fescueslip/internal/routing"
)

// Guards against a server for new limits that is started while the port is being closed, and
// that nothing ever closes. The bubble fails if one of its goroutines is left.
func TestLimitsChangeDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := memnet.New(0).Listen("10.1.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		began, logger := time.Now(), log.New(io.Discard)
		one := func() int { return 1 }
		g := gateway.New(gateway.Options{Tables: new(routing.Holder), Logger: logger, RecentGateways: one,
			Clock: func() time.Duration { return time.Since(began) }})
		s := newClientServer(l, g, logger)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.shutdown(ctx)
		limits := routing.DefaultLimits()
		limits.BodyBytes++
		s.setLimits(limits)
		if len(s.servers) != 1 {
			t.Errorf("%d servers after new limits for a closed port; want 1", len(s.servers))
		}
	})
}
