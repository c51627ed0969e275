package floor

import (
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Keeper is what a daemon remembers as a possible keeper of its region. Every
// daemon has one; only members of the keeper set are asked. What it stores
// only grows, so a root that was paused and wakes can't lower anything.
type Keeper struct {
	id     protocol.NodeID
	region string
	valid  bool
	stored protocol.Version
	set    protocol.KeeperSet
}

// NewKeeper returns a keeper that is not valid yet.
func NewKeeper(id protocol.NodeID, region string) *Keeper {
	return &Keeper{id: id, region: region, set: protocol.KeeperSet{Region: region}}
}

// Validate makes the keeper valid: the daemon has learnt its own floor. It is
// called again to tell the keeper of a newer set.
func (k *Keeper) Validate(floor protocol.Version, set protocol.KeeperSet) {
	k.valid = true
	k.stored = max(k.stored, floor)
	k.follow(set)
}

// follow takes a newer set of the keeper's region.
func (k *Keeper) follow(set protocol.KeeperSet) {
	if set.Region == k.region && set.Revision > k.set.Revision {
		k.set = set
	}
}

// Valid reports whether the keeper's answers count.
func (k *Keeper) IsValid() bool { return k.valid }

// Stored returns the highest version stored.
func (k *Keeper) Stored() protocol.Version { return k.stored }

// Set returns the newest keeper set known.
func (k *Keeper) Set() protocol.KeeperSet { return k.set }

// Store takes a version to remember, with the set that is in the head at that
// version. A keeper that is not valid remembers too, but its answer does not
// count: a version that was released before may have been forgotten with its
// last incarnation.
func (k *Keeper) HandleStoreRequest(request *protocol.StoreRequest) *protocol.StoreReply {
	if request.Keepers.Region != k.region {
		return &protocol.StoreReply{Code: result.NotKeeper}
	}
	k.stored = max(k.stored, request.Version)
	k.follow(request.Keepers)
	reply := &protocol.StoreReply{Code: result.OK, Stored: k.stored}
	if !k.valid {
		reply.Code = result.NotReadyYet
	}
	return reply
}

// Answer answers a question for the floor from memory, never from the
// platform. NotKeeper means a valid daemon that knows of no set with itself in
// it. The caller fills in From, Peers and Incarnation.
func (k *Keeper) HandleFloorRequest(request *protocol.FloorRequest) *protocol.FloorReply {
	if request.Region != k.region {
		return &protocol.FloorReply{Code: result.NotKeeper}
	}
	if !k.valid {
		return &protocol.FloorReply{Code: result.NotReadyYet, Keepers: k.set}
	}
	reply := &protocol.FloorReply{Code: result.OK, Floor: k.stored, Keepers: k.set}
	if !isMember(k.set, k.id) {
		reply.Code = result.NotKeeper
	}
	return reply
}
