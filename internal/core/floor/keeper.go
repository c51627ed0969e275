package floor

import (
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Keeper is the state that a daemon holds as a possible keeper of its region.
// Every daemon has one; only those of the members of the keeper set receive
// store requests. It is valid, that is, its replies count towards quorums, once
// the daemon knows its own floor. The stored version only grows, so that
// requests of a root that resumes after a pause can't lower it.
type Keeper struct {
	id            protocol.NodeID
	region        string
	isValid       bool
	storedVersion protocol.Version
	keeperSet     protocol.KeeperSet
}

// NewKeeper returns a keeper that is not valid yet.
func NewKeeper(id protocol.NodeID, region string) *Keeper {
	return &Keeper{id: id, region: region, keeperSet: protocol.KeeperSet{Region: region}}
}

// Validate makes the keeper valid once the daemon knows its own floor. It is
// called again with each newer keeper set.
func (k *Keeper) Validate(floor protocol.Version, set protocol.KeeperSet) {
	k.isValid = true
	k.storedVersion = max(k.storedVersion, floor)
	k.updateKeeperSet(set)
}

// updateKeeperSet replaces the keeper set by a newer one of the keeper's region.
func (k *Keeper) updateKeeperSet(set protocol.KeeperSet) {
	if set.Region == k.region && set.Revision > k.keeperSet.Revision {
		k.keeperSet = set
	}
}

// IsValid reports whether the keeper's replies count towards a quorum.
func (k *Keeper) IsValid() bool { return k.isValid }

// Stored returns the highest version stored.
func (k *Keeper) Stored() protocol.Version { return k.storedVersion }

// KeeperSet returns the newest keeper set of the region that the keeper knows.
func (k *Keeper) KeeperSet() protocol.KeeperSet { return k.keeperSet }

// HandleStoreRequest stores a version and the keeper set in the head at that
// version. A keeper that is not valid stores them too, but its reply does not
// count towards a quorum: it may have stored a released version before it
// restarted and lost its state.
func (k *Keeper) HandleStoreRequest(request *protocol.StoreRequest) *protocol.StoreReply {
	if request.Keepers.Region != k.region {
		return &protocol.StoreReply{Code: result.NotKeeper}
	}
	k.storedVersion = max(k.storedVersion, request.Version)
	k.updateKeeperSet(request.Keepers)
	reply := &protocol.StoreReply{Code: result.OK, Stored: k.storedVersion}
	if !k.isValid {
		reply.Code = result.NotReadyYet
	}
	return reply
}

// HandleFloorRequest answers a request for the floor from memory, never from
// the platform. NotKeeper means that the daemon is valid but not a member of
// the newest set it knows. The caller sets From, Peers and Incarnation of the
// reply.
func (k *Keeper) HandleFloorRequest(request *protocol.FloorRequest) *protocol.FloorReply {
	if request.Region != k.region {
		return &protocol.FloorReply{Code: result.NotKeeper}
	}
	if !k.isValid {
		return &protocol.FloorReply{Code: result.NotReadyYet, Keepers: k.keeperSet}
	}
	reply := &protocol.FloorReply{Code: result.OK, Floor: k.storedVersion, Keepers: k.keeperSet}
	if !isMember(k.keeperSet, k.id) {
		reply.Code = result.NotKeeper
	}
	return reply
}
