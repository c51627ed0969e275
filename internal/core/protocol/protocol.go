// Package protocol defines the typed messages that daemons exchange over net/rpc. It
// contains data only: the core packages create and process the messages, and the
// control package transports them.
package protocol

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Format is the revision of these messages and of the resource encoding. A daemon
// refuses a peer or head of another format, so that a new field is never understood by
// only a part of the mesh.
const Format = 3

// NodeID is the stable identity of a daemon, from its settings.
type NodeID string

// Version is the number of an accepted configuration; 0 means none.
type Version uint64

// Incarnation identifies one run of a daemon. It grows with each start: it is the
// wall-clock time in nanoseconds, raised above every incarnation of the daemon that
// peers remember.
type Incarnation uint64

// MemberState is the state of a member as recorded in the mesh.
type MemberState int

// The states of a member, in ascending order of precedence among records of the same
// incarnation and sequence.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDraining
	MemberLeft
	MemberDead
)

// EndpointState is the state of the local back end of a daemon.
type EndpointState int

// The states of an endpoint.
const (
	EndpointNone EndpointState = iota
	EndpointWarming
	EndpointReady
	EndpointDraining
	EndpointDown
	// EndpointDegraded accepts calls but fails many of them; it is used as a last
	// resort.
	EndpointDegraded
	// EndpointEvacuated accepts no calls because its zone is evacuated.
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

// String returns the name of the state; empty for an unknown state.
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

// AcceptsCalls reports whether a back end in the state may receive new calls.
func (s EndpointState) AcceptsCalls() bool {
	return s == EndpointReady || s == EndpointWarming || s == EndpointDegraded
}

// String returns the name of the state.
func (s EndpointState) String() string { return endpointStateNames[s] }

// BackendStart identifies one instance of a back end, that is, one start of its process.
// Instances with the same name differ in their start time.
type BackendStart struct {
	// Instance is the name of the back end.
	Instance string
	// Born is the start time that the back end reports, in Unix milliseconds; 0 if it
	// reports none.
	Born int64
}

// String returns a name of the instance that is the same on all daemons.
func (s BackendStart) String() string {
	if s.Born == 0 {
		return s.Instance
	}
	return s.Instance + "@" + strconv.FormatInt(s.Born, 10)
}

// Member is the soft-state record of one daemon and of its local back end. Records
// are merged by (Incarnation, Sequence, State); only the daemon itself increments
// Sequence. In CBOR, its fields are identified by numbers, which must not be used again.
type Member struct {
	ID          NodeID      `cbor:"1,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"2,keyasint,omitempty"`
	Sequence    uint64      `cbor:"3,keyasint,omitempty"`
	State       MemberState `cbor:"4,keyasint,omitempty"`
	// ControlAddress is the IP and port at which the daemon serves net/rpc.
	ControlAddress string `cbor:"5,keyasint,omitempty"`
	// DataAddress is the address at which the daemon accepts calls from others.
	DataAddress string `cbor:"6,keyasint,omitempty"`
	Region      string `cbor:"7,keyasint,omitempty"`
	Zone        string `cbor:"8,keyasint,omitempty"`
	// Reader is set while the daemon holds a reader lease.
	Reader bool `cbor:"9,keyasint,omitempty"`
	// Root is set while the daemon has no parent and acts as its region's root.
	Root bool `cbor:"10,keyasint,omitempty"`
	// Parent is the daemon that it fetches from; empty for a root. The parent
	// monitors it and marks it as suspect or dead; the root does so for a member
	// without a live parent.
	Parent NodeID `cbor:"11,keyasint,omitempty"`
	// Service and Backend identify the local back end; empty for none.
	Service  resource.ServiceRef `cbor:"12,keyasint,omitempty"`
	Backend  string              `cbor:"13,keyasint,omitempty"`
	Endpoint EndpointState       `cbor:"14,keyasint,omitempty"`
	// Slots is the number of calls that the back end runs concurrently.
	Slots int `cbor:"15,keyasint,omitempty"`
	// Software is the version of the back end's software; empty if unknown.
	Software string `cbor:"16,keyasint,omitempty"`
	// Born is the start time that the back end reports, in Unix milliseconds. It
	// distinguishes instances with the same name; 0 if the back end reports none.
	Born int64 `cbor:"17,keyasint,omitempty"`
	// CapacityClass grows with the processor time that the machine has; see
	// settings.HostedMachine. It ranks daemons for costly duties; 0 if unknown.
	CapacityClass uint8 `cbor:"18,keyasint,omitempty"`
	// CallRate is the number of calls per second that the back end states to accept; 0 if it states
	// none. Small changes are not published.
	CallRate float64 `cbor:"19,keyasint,omitempty"`
}

// BackendStart identifies the instance of the local back end.
func (m *Member) BackendStart() BackendStart {
	return BackendStart{Instance: m.Backend, Born: m.Born}
}

// Scope selects the resources that a daemon holds: the routes of Partners with one of
// Services as a destination (all their routes if Services is empty), and every resource
// that these routes reference, directly or indirectly. A scope with Relay set selects
// all resources, in encoded form.
type Scope struct {
	Partners []resource.Partner
	Services []resource.ServiceRef
	Relay    bool
}

// Acknowledgement aggregates the versions held by a daemon and its subtree, for one
// zone. Acknowledgements are merged on the way to the root, so their size does not
// grow with the mesh.
type Acknowledgement struct {
	Region string
	Zone   string
	// Minimum is the lowest version in force on any counted member, that is, on any
	// member that this acknowledgement covers.
	Minimum Version
	// Count and MemberSum identify the counted members: MemberSum is the sum
	// modulo 2^64 of the xxhash of each id and incarnation, so that a member
	// counted twice cannot compensate for a missing one.
	Count     uint32
	MemberSum uint64
	// Behind lists up to MaxListedNodes members that hold only Minimum.
	Behind []NodeID
}

// MaxListedNodes is the maximum length of the lists of node ids in acknowledgements
// and status.
const MaxListedNodes = 8

// FetchRequest is the long-poll call by which a daemon fetches configuration from its
// parent. It also serves as a heartbeat and as an acknowledgement.
type FetchRequest struct {
	Format int
	// From and Incarnation identify the sender.
	From        NodeID
	Incarnation Incarnation
	// Counter grows with each fetch of the sender, so that a parent can detect late
	// duplicates.
	Counter uint64
	// Self is the sender's record; zero when unchanged since the last fetch
	// that this parent answered.
	Self Member
	// KeeperRevision is the newest keeper set that the sender knows.
	KeeperRevision Version
	Scope          Scope
	// Have is the version from which a delta may start, HaveDigest its digest; 0 and
	// empty for none.
	Have       Version
	HaveDigest resource.Digest
	// Acknowledgements cover the sender and its subtree.
	Acknowledgements []Acknowledgement
	// Members are the records that changed since the last fetch.
	Members []Member
	// MemberCursor is the parent's cursor from the last reply; 0 requests all
	// records.
	MemberCursor uint64
	// RosterSums are sent with MemberCursor 0: the checksums by bucket of the
	// sender's records, so that a new parent sends only the differing buckets.
	RosterSums []uint64
	// ParentIncarnation is the incarnation of the parent that issued MemberCursor; a
	// restarted parent ignores the cursor.
	ParentIncarnation Incarnation
	// Wait is the maximum time for which the parent may hold the call without a
	// change.
	Wait time.Duration
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Format int
	// Code is OK, AskAnother, Overloaded, NotReadyYet or UnknownFormat.
	Code result.Code
	// RetryAfter is the minimum delay before the next call.
	RetryAfter time.Duration
	// Released is the newest version that the receiver may put in force.
	Released Version
	// Delta is the change from Have to Released; nil if nothing changed in the
	// requested scope, which then has the same digest at Released.
	Delta *Delta
	// InForce is the newest version known to be in force on all counted members (see
	// Acknowledgement).
	InForce Version
	// Keepers is the keeper set of the region.
	Keepers KeeperSet
	// Regions are all regions that hold configuration, in ascending order; empty if
	// unchanged. A receiver that becomes root must wait for each of them before it
	// declares a version in force.
	Regions []string
	// LeaseRemaining is how long the receiver may serve, measured from when it sent
	// the request. It never exceeds the parent's own lease.
	LeaseRemaining time.Duration
	Members        []Member
	MemberCursor   uint64
	Incarnation    Incarnation
	// Summary is not set; status is requested by StatusRequest.
	Summary *VersionProgress
}

// Delta is the change from one snapshot of a scope to another. It is applied
// atomically: the digest of the result must equal Digest.
type Delta struct {
	// From is 0 if the delta is a full snapshot.
	From Version
	To   Version
	// Digest is the digest of the snapshot that results.
	Digest resource.Digest
	// Payload is the encoded and compressed list of changes, encoded once and shared
	// between receivers. Its layout is defined by the snapshot package.
	Payload []byte
}
