package relay

import (
	"context"

	"github.com/fescueslip/fescueslip/internal/peer"
)

// HandleExchange answers an exchange of a peer. When the peer is ahead, the
// fetch follows in the background, so that the answer does not wait for it.
func (r *Relay) HandleExchange(ctx context.Context, req *peer.ExchangeRequest) *peer.ExchangeResponse {
	r.answers.Add(1)
	r.takeSelf(req.Self)
	r.takeRelayed(req.Changes)
	background := context.WithoutCancel(ctx)
	go r.fetchIfNewer(background, req.Self)
	resp := &peer.ExchangeResponse{Self: peer.MemberToProto(r.Self()), Changes: r.changes.take()}
	resp.QuarantineIndex, resp.Quarantine = r.Quarantine.StoredValue(req.QuarantineIndex)
	if resp.QuarantineIndex < req.QuarantineIndex {
		go r.pullQuarantine(background, req.Self)
	}
	if len(req.TableDigest) > 0 {
		for _, m := range r.Table.Differing(req.TableDigest, maxTable) {
			resp.Table = append(resp.Table, peer.MemberToProto(m))
		}
	}
	return resp
}

// pullQuarantine exchanges with a peer that has a newer quarantine record.
func (r *Relay) pullQuarantine(ctx context.Context, record *peer.MemberRecord) {
	if record == nil || !r.pulling.CompareAndSwap(false, true) {
		return
	}
	defer r.pulling.Store(false)
	r.exchange(ctx, peer.MemberFromProto(record), false)
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
