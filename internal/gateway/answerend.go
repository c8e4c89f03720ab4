package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/fleet"
)

// endCheckTimeout limits the check whether an upstream is still up after its response. A
// first packet that is lost is sent again after a second.
const endCheckTimeout = 1200 * time.Millisecond

// errUpstreamGone is the error of a response that ended with its connection, while its
// upstream accepts no connections any more.
var errUpstreamGone = errors.New("the response ended with its connection, and its upstream no longer accepts connections")

// confirmEnd returns an error if the end of a response, whose connection ended in order,
// may be that of a crashed upstream. A length or a last chunk proves a response whole. A
// response without them also ends in order if its upstream's process ends, so the upstream
// must still accept connections.
func (g *Gateway) confirmEnd(ctx context.Context, instance *fleet.Instance, framing exchange.Framing) error {
	if framing != exchange.CloseDelimited {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if err := g.Pool.CheckReachable(ctx, instance.Address); err != nil {
		return errors.Wrap(errUpstreamGone, err.Error())
	}
	return nil
}
