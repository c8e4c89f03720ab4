package relay

import (
	"context"

	"github.com/fescueslip/fescueslip/internal/peer"
)

// HandleExchange answers an exchange of a peer. When the peer is ahead, the
// fetch follows in the background, so that the answer does not wait for it.
func (r *Relay) HandleExchange(ctx context.Context, req *peer.ExchangeRequest) *peer.ExchangeResponse {
	r.take(req.Self)
	for _, c := range req.Changes {
		r.take(c)
	}
	go r.fetchIfNewer(context.WithoutCancel(ctx), req.Self)
	return &peer.ExchangeResponse{Self: peer.RecordOf(r.Self()), Changes: r.changes.take()}
}

// HandleFetchConfig answers a fetch of a peer.
func (r *Relay) HandleFetchConfig(req *peer.FetchConfigRequest) *peer.FetchConfigResponse {
	if len(req.WantPages) == 0 {
		revision, head := r.Cache.Head(req.HaveRevision)
		return &peer.FetchConfigResponse{Revision: revision, Head: head}
	}
	resp := &peer.FetchConfigResponse{Revision: r.Cache.Revision()}
	for _, hash := range req.WantPages {
		if content, ok := r.Cache.Page(hash); ok {
			resp.Pages = append(resp.Pages, &peer.ConfigPage{Hash: hash, Content: content})
		}
	}
	return resp
}
