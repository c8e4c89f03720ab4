// Package fleet stores what a gateway knows about its upstreams: which
// instances exist, and how each of them has behaved recently.
package fleet

// Role is the stage of model requests that an engine runs.
type Role int

// The roles of upstreams.
const (
	// RoleNone is the role of upstreams that are not model engines.
	RoleNone Role = iota
	// RolePrefill is the role of engines that process prompts.
	RolePrefill
	// RoleDecode is the role of engines that generate tokens.
	RoleDecode
)

// String returns the name of the role in logs.
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

// Instance is one incarnation of an upstream as described by the instance list
// of the platform.
type Instance struct {
	ID string
	// Incarnation increases with each start under the same id; 0 if unknown.
	Incarnation int64
	// Heartbeats is the number of heartbeats that the instance had sent since its start
	// when it described itself like this; 0 if unknown.
	Heartbeats uint64
	Service    string
	// SoftwareVersion names the release of the upstream's software. What two releases
	// write does not fit together.
	SoftwareVersion string
	Address         string
	FailureDomain   string
	// Slots is the number of requests that the upstream can work on at once; 0
	// if unknown.
	Slots int
	// Leaving reports that the upstream is shutting down and must get no new
	// work.
	Leaving bool
	Role    Role
}

// instanceKey identifies one incarnation of an upstream.
type instanceKey struct {
	id          string
	incarnation int64
}

func (i Instance) key() instanceKey { return instanceKey{id: i.ID, incarnation: i.Incarnation} }
