package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

// ProcessIdentifier finds out which process of an upstream runs now.
type ProcessIdentifier interface {
	// Running asks the process at the address of the instance, on a new connection, for
	// its incarnation. It is 0 if the process does not tell one. An error means that
	// nothing answered, or that it was another instance. healthPath is that of the
	// instance's service.
	Running(ctx context.Context, instance *fleet.Instance, healthPath string) (incarnation int64, err error)
	// Listed reads the entry of the instance from the list, as it is now, and returns its
	// incarnation, which is 0 if the entry names none. The error is ErrNotListed if there
	// is no entry.
	Listed(ctx context.Context, id string) (incarnation int64, err error)
}

// ErrNotListed is returned by ProcessIdentifier.Listed for an instance without an entry.
var ErrNotListed = errors.New("the instance is not on the list")

// endCheckTimeout limits the check whether an upstream is still up after its response. A
// first packet that is lost is sent again after a second.
const endCheckTimeout = 1200 * time.Millisecond

// errUpstreamGone is the error of a response that ended with its connection, while the
// process that sent it may have ended too.
var errUpstreamGone = errors.New("the response ended with its connection, and its process may have ended before")

// confirmEnd returns an error if the end of a response, whose connection ended in order,
// may be that of a crashed upstream. A length or a last chunk proves a response whole. A
// response without them also ends in order if its upstream's process ends, so the same
// process must still run. Another one may already have its address.
func (g *Gateway) confirmEnd(ctx context.Context, c *Call, instance *fleet.Instance, framing exchange.Framing) error {
	if framing != exchange.CloseDelimited {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	running, err := g.Processes.Running(ctx, instance, c.Service.HealthPath)
	if err == nil {
		err = g.checkIncarnation(ctx, instance, running)
	}
	if err != nil {
		return errors.Wrap(errUpstreamGone, err.Error())
	}
	return nil
}

// checkIncarnation returns an error if the process that runs now may not be that of the
// instance. running is the incarnation that it tells itself, or 0 if it tells none. The
// list then decides, or this gateway's copy of it while the list cannot be read.
func (g *Gateway) checkIncarnation(ctx context.Context, instance *fleet.Instance, running int64) error {
	if running == 0 {
		listed, err := g.listedIncarnation(ctx, instance)
		if err != nil {
			return err
		}
		running = listed
	}
	if running != instance.Incarnation {
		return errors.Errorf("incarnation %d of upstream %s runs, and %d sent the response", running, instance.ID, instance.Incarnation)
	}
	return nil
}

func (g *Gateway) listedIncarnation(ctx context.Context, instance *fleet.Instance) (int64, error) {
	listed, err := g.Processes.Listed(ctx, instance.ID)
	if err == nil || errors.Is(err, ErrNotListed) {
		return listed, err
	}
	if g.Fleet.Snapshot().Find(instance.ID, instance.Incarnation) == nil {
		return 0, err
	}
	return instance.Incarnation, nil
}
