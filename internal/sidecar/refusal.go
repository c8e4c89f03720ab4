package sidecar

import (
	"time"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// refusal is the reason why work was not accepted. Refused work did not run.
type refusal struct {
	kind       wire.RefusalKind
	detail     string
	retryAfter time.Duration
}

func refusalLeaving() *refusal {
	return &refusal{kind: wire.RefusalKind_REFUSAL_LEAVING, detail: "the upstream is leaving; choose another"}
}

func refusalEngineDown() *refusal {
	return &refusal{kind: wire.RefusalKind_REFUSAL_ENGINE_DOWN, detail: "the engine does not answer; choose another upstream"}
}

func refusalRoleChanging() *refusal {
	return &refusal{kind: wire.RefusalKind_REFUSAL_WRONG_ROLE, detail: "the engine's role is being changed; choose another upstream"}
}

func refusalTooLarge(detail string) *refusal {
	return &refusal{kind: wire.RefusalKind_REFUSAL_TOO_LARGE, detail: detail}
}

func refusalSuspect() *refusal {
	return &refusal{
		kind:   wire.RefusalKind_REFUSAL_SUSPECT,
		detail: "the request was in flight when this engine crashed; send it marked as a suspect",
	}
}

func refusalOverloaded(wait time.Duration) *refusal {
	return &refusal{
		kind:       wire.RefusalKind_REFUSAL_OVERLOADED,
		detail:     "the predicted wait exceeds the queue limit; retry later or elsewhere",
		retryAfter: wait,
	}
}

func (r *refusal) message() *wire.Refused {
	return &wire.Refused{Kind: r.kind, Detail: r.detail, RetryAfterMs: toMillis(r.retryAfter)}
}
