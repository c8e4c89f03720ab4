// Package peer implements the control service with which the processes of the
// system call each other. The Twirp code is generated from peer.proto.
package peer

import (
	"net/http"

	"github.com/fescueslip/fescueslip/internal/membership"
	"github.com/fescueslip/fescueslip/internal/wire"
)

// NewClient returns a client of the process with the given peer address,
// host:port.
func NewClient(address string, hc *http.Client, secret string) Peer {
	return NewPeerProtobufClient("http://"+address, &secretClient{client: hc, secret: secret})
}

// secretClient is an HTTP client that adds the shared peer secret to each call.
type secretClient struct {
	client *http.Client
	secret string
}

// Do implements HTTPClient.
func (c *secretClient) Do(req *http.Request) (*http.Response, error) {
	wire.SetSecret(req.Header, c.secret)
	return c.client.Do(req)
}

// MemberToProto converts a member to its protobuf message.
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

// MemberFromProto converts a protobuf message to a member.
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
