// Package fleet keeps what a gateway knows of its upstreams: which instances
// exist, and how each has behaved lately.
package fleet

// Role is the part of model requests that an engine takes.
type Role int

// The roles of upstreams.
const (
	// RoleNone marks upstreams that are no model engines.
	RoleNone Role = iota
	// RolePrefill marks engines that read prompts.
	RolePrefill
	// RoleDecode marks engines that generate tokens.
	RoleDecode
)

// String returns the name that logs use.
func (r Role) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	default:
		return "none"
	}
}

// Instance is one life of an upstream as the platform's list shows it.
type Instance struct {
	ID string
	// Incarnation grows with each start under the same id; 0 if unknown.
	Incarnation   int64
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the upstream works on at once; 0 if unknown.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	Role    Role
}

// instanceKey tells lives of upstreams apart.
type instanceKey struct {
	id          string
	incarnation int64
}

func (i Instance) key() instanceKey { return instanceKey{id: i.ID, incarnation: i.Incarnation} }
