package protocol

import (
	"github.com/springstack/springstack/internal/result"
)

// KeeperSet is the set of daemons (keepers) of a region that store its version
// floor. Write keepers must store a version before any daemon of the region puts it in
// force. Answers from Read keepers suffice to learn the floor (Write + Read > size).
type KeeperSet struct {
	Region string
	// Revision is the head version that established the set.
	Revision Version
	Members  []KeeperMember
	Write    int
	Read     int
	// Previous is the set that this one replaces; nil once the change is complete.
	// Until then, reads and writes need quorums of both sets. Previous.Previous is
	// always nil.
	Previous *KeeperSet
}

// KeeperMember is one keeper of a set.
type KeeperMember struct {
	ID             NodeID
	ControlAddress string
}

// StoreRequest requests that a keeper store a version. A root sends it before it
// releases a version, and repeats it for the released version to renew its lease.
type StoreRequest struct {
	Format int
	From   NodeID
	// Incarnation is the incarnation of the sender: a keeper treats a restarted root as
	// another root (see StoreReply.OtherRoot).
	Incarnation Incarnation
	// Term is the fencing term of the sender's reader lease; 0 if it holds none.
	Term    uint64
	Version Version
	Keepers KeeperSet
}

// StoreReply answers a StoreRequest. Stored is meaningful only if Code is OK:
// a keeper that has not yet learned its own floor answers NotReadyYet.
type StoreReply struct {
	Code   result.Code
	Stored Version
	// OtherRoot is set when another root than the sender sent a request to this
	// keeper within the lease time, or may have done so before the keeper's start.
	OtherRoot bool
	// From and Incarnation identify the keeper and its current run; a keeper loses its
	// stored state when its incarnation changes.
	From        NodeID
	Incarnation Incarnation
}

// FloorRequest requests the version floor of a region. Daemons send it after a start,
// and as a probe to discover other daemons.
type FloorRequest struct {
	Format int
	Region string
	From   NodeID
	// FreshHead requests that a reader read the platform's head again.
	FreshHead bool
	// Self is the sender's record; the sender may not have joined yet.
	Self Member
	// Known is the sender's record of the receiver, which may refute it.
	Known Member
}

// FloorReply answers a FloorRequest.
type FloorReply struct {
	// Code is OK, NotReadyYet, NotKeeper or NoReader.
	Code result.Code
	// From is the answering daemon. The address does not identify it, since
	// addresses may be reused.
	From NodeID
	// Floor is the highest version stored, or the version of the head if FromHead.
	Floor Version
	// FromHead is set when Floor is the platform's head, read after the request.
	FromHead bool
	// Keepers is the newest keeper set known, for the sender's next requests.
	Keepers KeeperSet
	// Incarnation is the highest incarnation of the requesting daemon that the
	// answering daemon knows.
	Incarnation Incarnation
	// Peers are some live members among which the sender can find a parent.
	Peers []Member
}
