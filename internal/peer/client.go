// Package peer is the control service between the system's processes. The
// twirp code is generated from peer.proto.
package peer

import (
	"net/http"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// NewClient returns a client of the process at a peer address, host:port.
func NewClient(address string, hc *http.Client, secret string) Peer {
	return NewPeerProtobufClient("http://"+address, &secretClient{client: hc, secret: secret})
}

// secretClient adds the shared peer secret to each call.
type secretClient struct {
	client *http.Client
	secret string
}

// Do implements HTTPClient.
func (c *secretClient) Do(req *http.Request) (*http.Response, error) {
	wire.SetSecret(req.Header, c.secret)
	return c.client.Do(req)
}

// MemberToProto encodes a member.
func MemberToProto(m membership.Member) *MemberRecord {
	return &MemberRecord{
		Name:           m.Name,
		Role:           m.Role,
		Upstream:       m.Upstream,
		FailureDomain:  m.FailureDomain,
		Region:         m.Region,
		PeerAddress:    m.PeerAddress,
		AdminAddress:   m.AdminAddress,
		Incarnation:    m.Incarnation,
		State:          MemberState(m.State),
		ConfigRevision: m.ConfigRevision,
	}
}

// MemberFromProto decodes a member.
func MemberFromProto(r *MemberRecord) membership.Member {
	return membership.Member{
		Name:           r.Name,
		Role:           r.Role,
		Upstream:       r.Upstream,
		FailureDomain:  r.FailureDomain,
		Region:         r.Region,
		PeerAddress:    r.PeerAddress,
		AdminAddress:   r.AdminAddress,
		Incarnation:    r.Incarnation,
		State:          membership.State(r.State),
		ConfigRevision: r.ConfigRevision,
	}
}
