package floor

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Releaser runs at a region's root: it stores versions at the keepers and says
// which version may be released to proxies.
type Releaser struct {
	id     protocol.NodeID
	region string
}

// NewReleaser returns a Releaser that has released nothing.
func NewReleaser(id protocol.NodeID, region string) *Releaser {
	return &Releaser{id: id, region: region}
}

// SetTarget names the newest version and the region's keeper set at it.
func (r *Releaser) SetTarget(now time.Duration, term uint64, version protocol.Version, set protocol.KeeperSet) []Output {
	return nil
}

// Tick lets time pass and retries stores that are due.
func (r *Releaser) Tick(now time.Duration) []Output { return nil }

// HandleReply takes the answer to a StoreVersion; nil when none came.
func (r *Releaser) HandleReply(now time.Duration, token Token, reply *protocol.StoreReply) []Output {
	return nil
}

// Released returns the highest version that may be put in force.
func (r *Releaser) Released() protocol.Version { return 0 }
