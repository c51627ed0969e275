package protocol

import (
	"github.com/springstack/springstack/internal/result"
)

// KeeperSet is the set of daemons of a region that remember its version
// floor. A version is stored by Write of them before any proxy there puts it
// in force; Read answers are enough to learn the floor (Write + Read > size).
type KeeperSet struct {
	Region string
	// Revision is the head version that set it.
	Revision Version
	Members  []KeeperMember
	Write    int
	Read     int
	// Previous is the set that this one replaces, until the change has settled.
	// While it is set, quorums of both sets are needed to write and to read.
	// Its own Previous is nil.
	Previous *KeeperSet
}

// KeeperMember is one keeper.
type KeeperMember struct {
	ID             NodeID
	ControlAddress string
}

// StoreRequest asks a keeper to remember a version before it is released.
type StoreRequest struct {
	Format int
	From   NodeID
	// Incarnation is that of the sender.
	Incarnation Incarnation
	Term        uint64
	Version     Version
	Keepers     KeeperSet
}

// StoreReply answers a StoreRequest. Stored is meaningful only if Code is OK:
// a keeper that has not yet learned its own floor answers NotReadyYet.
type StoreReply struct {
	Code   result.Code
	Stored Version
	// OtherRoot is set when a root other than the sender asked this keeper
	// lately, or may have asked it before the keeper's own start.
	OtherRoot bool
	// From and Incarnation are the keeper's; what it stored is forgotten when
	// its incarnation changes.
	From        NodeID
	Incarnation Incarnation
}

// FloorRequest asks for the version floor of a region after a start.
type FloorRequest struct {
	Format int
	Region string
	From   NodeID
	// FreshHead asks a reader to read the platform's head anew.
	FreshHead bool
	// Self is the record of the asker, which may not have joined yet.
	Self Member
	// Known is the asker's record of the one asked, who may refute it.
	Known Member
}

// FloorReply answers a FloorRequest.
type FloorReply struct {
	// Code is OK, NotReadyYet, NotKeeper or NoReader.
	Code result.Code
	// From is the answering daemon; addresses may be reused.
	From NodeID
	// Floor is the highest version stored, or the head read anew.
	Floor Version
	// FromHead is set when Floor is the platform's head, read after the request.
	FromHead bool
	// Keepers is the newest keeper set known, for the asker to follow.
	Keepers KeeperSet
	// Incarnation is the highest remembered incarnation of the asker.
	Incarnation Incarnation
	// Peers are some live members, so that the asker can find a parent.
	Peers []Member
}
