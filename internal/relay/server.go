package relay

import (
	"context"

	"github.com/fescueslip/fescueslip/internal/peer"
)

// HandleExchange answers an exchange that a peer began. If the peer has newer
// data, it is fetched in the background, so that the response does not wait for
// it.
func (r *Relay) HandleExchange(ctx context.Context, req *peer.ExchangeRequest) *peer.ExchangeResponse {
	r.answers.Add(1)
	r.mergeAuthoritative(req.Self)
	r.mergeRelayed(req.Changes)
	background := context.WithoutCancel(ctx)
	go r.fetchIfNewer(background, req.Self)
	resp := &peer.ExchangeResponse{Self: peer.MemberToProto(r.Self()), Changes: r.changes.take()}
	resp.QuarantineIndex, resp.Quarantine = r.Quarantine.StoredValue(req.QuarantineIndex)
	if resp.QuarantineIndex < req.QuarantineIndex {
		go r.pullQuarantine(background, req.Self)
	}
	if len(req.TableDigest) > 0 {
		for _, m := range r.Table.DifferingMembers(req.TableDigest, maxComparisonRecords) {
			resp.Table = append(resp.Table, peer.MemberToProto(m))
		}
	}
	return resp
}

// pullQuarantine begins an exchange with a peer that has a newer quarantine
// record.
func (r *Relay) pullQuarantine(ctx context.Context, record *peer.MemberRecord) {
	if record == nil || !r.pullingQuarantine.CompareAndSwap(false, true) {
		return
	}
	defer r.pullingQuarantine.Store(false)
	r.exchange(ctx, peer.MemberFromProto(record), false)
}

// HandleFetchConfig answers a peer's fetch of the configuration head or of
// pages.
func (r *Relay) HandleFetchConfig(req *peer.FetchConfigRequest) *peer.FetchConfigResponse {
	if len(req.WantPages) == 0 {
		revision, head := r.Cache.NewerHead(req.HaveRevision)
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
