package entry

import (
	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// handleTokens writes new output tokens to the caller. A stop sequence completes
// the response before the engine reports the end.
func (r *runner) handleTokens(t *wire.Tokens) error {
	fresh, err := r.req.Accept(t)
	if err != nil {
		return r.failAttempt(r.decode.target.upstream, wire.FailureKind_FAILURE_ENGINE, err.Error())
	}
	if len(fresh) == 0 {
		return nil
	}
	if r.req.Delivered() == uint64(len(fresh)) {
		r.entry.observeFirstToken(r.req)
		r.recordEvent("first-token", r.decode.target.upstream, "")
	}
	err = r.response.WriteTokens(fresh)
	if errors.Is(err, errStopSequence) {
		return r.finish("stop")
	}
	return err
}

// handleDone completes the response if the engine's token count matches the
// delivered output.
func (r *runner) handleDone(c *decodeConn, d *wire.Done) error {
	if !r.req.Complete(d) {
		return r.failAttempt(c.target.upstream, wire.FailureKind_FAILURE_ENGINE, "the end does not match the output")
	}
	return r.finish(d.FinishReason)
}

func (r *runner) finish(reason string) error {
	r.recordEvent("done", r.decode.target.upstream, reason)
	if err := r.response.Finish(reason); err != nil {
		return err
	}
	return errFinished
}
