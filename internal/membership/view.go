// Package membership tracks the processes of the system. A process has one
// incarnation per start, whose state is starting, serving, suspect, leaving or
// gone.
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

// AcceptsWork reports whether new work may be sent to a member in this state. A
// suspect member receives work only when no other candidate is left.
func (s State) AcceptsWork() bool { return s == Serving || s == Suspect }

// Member is the record of one process of the system.
type Member struct {
	Name           string
	Role           string // "entry" or "sidecar"
	Upstream       string // the upstream that a sidecar serves; empty for entries
	FailureDomain  string
	Region         string
	PeerAddress    string
	AdminAddress   string
	Incarnation    uint64
	State          State
	ConfigRevision uint64
}

// View gives access to the members. Implementations return immutable slices, so
// that requests take no lock.
type View interface {
	// Members returns all members that are not gone.
	Members() []Member
	// SidecarOf returns the member that serves an upstream. If several members
	// claim the upstream, one that accepts work precedes one that does not, and
	// then the newest incarnation is returned.
	SidecarOf(name string) (Member, bool)
	// ReportState records the state of a member that a request observed, for
	// example that the member announced in a reply that it is leaving.
	ReportState(name string, incarnation uint64, state State)
}
