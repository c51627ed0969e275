// Package protocol defines the typed messages that daemons exchange over
// net/rpc. It holds data only; the node core decides and the control package
// carries.
package protocol

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Format is the revision of these messages and of the resource encoding. A
// daemon refuses a peer or head whose format it does not know in whole, so a
// newer field is never understood by half of the mesh.
const Format = 3

// NodeID is the stable identity of a daemon, from its settings.
type NodeID string

// Version counts accepted configurations; 0 means none.
type Version uint64

// Incarnation grows each time that a daemon starts (wall-clock nanoseconds,
// raised above any incarnation that peers remember of it).
type Incarnation uint64

// MemberState is what the mesh believes of a member.
type MemberState int

// The states of a member, in the order in which they win at the same
// incarnation and sequence.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDraining
	MemberLeft
	MemberDead
)

// EndpointState is the state of the back end beside a daemon.
type EndpointState int

// The states of an endpoint.
const (
	EndpointNone EndpointState = iota
	EndpointWarming
	EndpointReady
	EndpointDraining
	EndpointDown
	// EndpointDegraded takes calls but fails many of them: it is a last resort.
	EndpointDegraded
	// EndpointEvacuated takes no work because its zone is to be empty.
	EndpointEvacuated
)

// memberStateNames are the names of member states in logs and status.
var memberStateNames = map[MemberState]string{
	MemberAlive:    "alive",
	MemberSuspect:  "suspect",
	MemberDraining: "draining",
	MemberLeft:     "left",
	MemberDead:     "dead",
}

// String names the state; empty for none.
func (s MemberState) String() string { return memberStateNames[s] }

// endpointStateNames are the names of endpoint states in logs and status.
var endpointStateNames = map[EndpointState]string{
	EndpointNone:     "none",
	EndpointWarming:  "warming",
	EndpointReady:    "ready",
	EndpointDraining: "draining",
	EndpointDown:     "down",
	EndpointDegraded: "degraded",

	EndpointEvacuated: "evacuated",
}

// TakesWork tells whether a back end in the state may get new calls.
func (s EndpointState) AcceptsCalls() bool {
	return s == EndpointReady || s == EndpointWarming || s == EndpointDegraded
}

// String names the state.
func (s EndpointState) String() string { return endpointStateNames[s] }

// BackendStart identifies one start of a back end. Starts under the same name are told apart
// by when they began.
type BackendStart struct {
	// Instance is the name of the back end.
	Instance string
	// Born is when it started by its own word, in Unix milliseconds; 0 when it does not tell.
	Born int64
}

// String names the start, in the same way on all daemons.
func (s BackendStart) String() string {
	if s.Born == 0 {
		return s.Instance
	}
	return s.Instance + "@" + strconv.FormatInt(s.Born, 10)
}

// Member is the soft record of one daemon and of the back end beside it.
// Records are merged by (Incarnation, Sequence, State); the daemon itself is
// the only one that raises Sequence.
type Member struct {
	ID          NodeID
	Incarnation Incarnation
	Sequence    uint64
	State       MemberState
	// ControlAddress is where net/rpc is served, an IP and port.
	ControlAddress string
	// DataAddress is where calls from other daemons are taken.
	DataAddress string
	Region      string
	Zone        string
	// Reader is set while the daemon holds a reader lease.
	Reader bool
	// Root is set while the daemon has no parent and acts as its region's root.
	Root bool
	// Parent is the daemon that it fetches from; empty for a root. Only the
	// parent may call it suspect or dead.
	Parent NodeID
	// Service and Backend name the back end beside it; empty for none.
	Service  resource.ServiceRef
	Backend  string
	Endpoint EndpointState
	// Slots is how many calls the back end runs at once.
	Slots int
	// Software is the version of the back end's software; empty when not known.
	Software string
	// Born is when the back end started by its own word, in Unix milliseconds: it tells two
	// starts under the same name apart. 0 when it does not tell.
	Born int64
}

// BackendStart is the start of the back end beside the daemon.
func (m *Member) BackendStart() BackendStart {
	return BackendStart{Instance: m.Backend, Born: m.Born}
}

// Scope says which resources a daemon holds: the routes of its partners that
// lead to the listed services (all of them when Services is empty), closed
// under references. A relay scope holds everything, encoded.
type Scope struct {
	Partners []resource.Partner
	Services []resource.ServiceRef
	Relay    bool
}

// Acknowledgement folds what the members below a daemon hold, for one zone.
// Folds add up, so their size does not grow with the mesh.
type Acknowledgement struct {
	Region string
	Zone   string
	// Minimum is the lowest version in force on any counted member.
	Minimum Version
	// Count and MemberSum identify the counted members: MemberSum is the sum
	// modulo 2^64 of the xxhash of each id and incarnation, so that a member
	// counted twice cannot stand in for one that is missing.
	Count     uint32
	MemberSum uint64
	// Behind names some members at Minimum, at most MaxNamed.
	Behind []NodeID
}

// MaxNamed bounds the lists of names in acknowledgements and status.
const MaxListedNodes = 8

// FetchRequest is the one long-poll call of distribution, from a daemon to
// its parent. It is a heartbeat, an acknowledgement and a question at once.
type FetchRequest struct {
	Format int
	// From and Incarnation identify the sender.
	From        NodeID
	Incarnation Incarnation
	// Counter grows with each fetch of the sender, so that a parent can tell a
	// late duplicate from the newest.
	Counter uint64
	// Self is the sender's record; zero when unchanged since the last fetch
	// that this parent answered.
	Self Member
	// KeeperRevision is the newest keeper set that the sender knows.
	KeeperRevision Version
	Scope          Scope
	// Have is the version in force on the sender, HaveDigest its snapshot's.
	Have       Version
	HaveDigest resource.Digest
	// Acknowledgements cover the sender and all below it.
	Acknowledgements []Acknowledgement
	// Members are soft records that changed since the last fetch.
	Members []Member
	// MemberCursor is the parent's cursor from the last reply; 0 asks for all.
	MemberCursor uint64
	// RosterSums are sent with MemberCursor 0: sums of the records that the
	// sender knows, by bucket, so that a new parent sends only what differs.
	RosterSums []uint64
	// ParentIncarnation guards MemberCursor against a restarted parent.
	ParentIncarnation Incarnation
	// Wait is the longest time to hold the call when there is nothing to say.
	Wait time.Duration
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Format int
	// Code is OK, AskAnother, Overloaded, NotReadyYet or UnknownFormat.
	Code result.Code
	// RetryAfter is the least wait before the next call.
	RetryAfter time.Duration
	// Released is the newest version that the sender may put in force.
	Released Version
	// Delta leads from Have to Released; nil when nothing changed for the
	// sender's scope, which then stands at Released with the same digest.
	Delta *Delta
	// InForce is the newest version known to be in force on all counted members.
	InForce Version
	// Keepers is the keeper set of the sender's region.
	Keepers KeeperSet
	// Regions are all regions that hold configuration, in ascending order; empty
	// when unchanged. A later root must wait for each of them.
	Regions []string
	// LeaseRemaining is how long the sender may serve, from when it sent the
	// request; it never exceeds what the parent itself was granted.
	LeaseRemaining time.Duration
	Members        []Member
	MemberCursor   uint64
	Incarnation    Incarnation
	// Summary is the region roots' view, for status; nil when unchanged.
	Summary *Summary
}

// Delta leads from one snapshot of a scope to another. It is applied in whole
// or not at all: the result's digest must equal Digest.
type Delta struct {
	// From is 0 when the delta is a whole snapshot.
	From Version
	To   Version
	// Digest is the digest of the snapshot that results.
	Digest resource.Digest
	// Payload is the encoded, compressed list of changes, encoded once and
	// shared between receivers. Its layout belongs to the snapshot package.
	Payload []byte
}
