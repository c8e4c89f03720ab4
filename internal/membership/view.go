// Package membership tracks the processes of the system: one incarnation per
// process, with the states starting, serving, suspect, leaving and gone.
package membership

// State is the state of a member.
type State int

// The states of a member, in the order in which a process passes through them.
const (
	Starting State = iota + 1
	Serving
	Suspect
	Leaving
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "unspecified"
	}
}

// AcceptsWork reports whether new work may be sent to a member in this state.
// A suspect member still gets work when no other candidate is left.
func (s State) AcceptsWork() bool { return s == Serving || s == Suspect }

// Member is one process of the system.
type Member struct {
	Name           string
	Role           string // "entry" or "sidecar"
	Upstream       string // set for sidecars
	FailureDomain  string
	Region         string
	PeerAddress    string
	AdminAddress   string
	Incarnation    uint64
	State          State
	ConfigRevision uint64
}

// View is a read-only view of the members. Implementations return immutable
// slices, so that the request path takes no lock.
type View interface {
	// Members returns all members that are not gone.
	Members() []Member
	// Upstream returns the newest incarnation of the sidecar of an upstream.
	SidecarOf(name string) (Member, bool)
	// Report tells the view what a request learned about a member, for
	// example that it announced its leaving on a reply.
	ReportState(name string, incarnation uint64, state State)
}
