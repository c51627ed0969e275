package floor

import (
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Keeper is what a daemon remembers as a possible keeper of its region. Every
// daemon has one; only members of the keeper set are asked.
type Keeper struct {
	id     protocol.NodeID
	region string
}

// NewKeeper returns a keeper that is not valid yet.
func NewKeeper(id protocol.NodeID, region string) *Keeper {
	return &Keeper{id: id, region: region}
}

// Validate makes the keeper valid: the daemon has learnt its own floor.
func (k *Keeper) Validate(floor protocol.Version, set protocol.KeeperSet) {}

// Valid reports whether the keeper's answers count.
func (k *Keeper) Valid() bool { return false }

// Stored returns the highest version stored.
func (k *Keeper) Stored() protocol.Version { return 0 }

// Set returns the newest keeper set known.
func (k *Keeper) Set() protocol.KeeperSet { return protocol.KeeperSet{} }

// Store takes a version to remember.
func (k *Keeper) Store(request *protocol.StoreRequest) *protocol.StoreReply {
	return &protocol.StoreReply{Code: result.NotReadyYet}
}

// Answer answers a question for the floor from memory, never from the
// platform. The caller fills in Peers and Incarnation.
func (k *Keeper) Answer(request *protocol.FloorRequest) *protocol.FloorReply {
	return &protocol.FloorReply{Code: result.NotReadyYet}
}
