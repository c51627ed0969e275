package quota

import (
	"math"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// shardRate is the rate, in calls per second, up to which one counter keeps a quota. A larger
	// quota is divided among several counters, so that the requests to one of them do not grow with
	// the quota.
	shardRate = 250
	// MaxShards is the maximum number of counters of one tenant.
	MaxShards = 16
)

// Shard identifies one of the counters among which a tenant's quota is divided. Each daemon uses one
// of them.
type Shard struct {
	// Index is at least 0 and below Count.
	Index int
	Count int
}

// ShardFor returns the shard of a quota that a daemon uses.
func ShardFor(node protocol.NodeID, quota tenancy.Quota) Shard {
	count := int(min(max(math.Ceil(quota.PerSecond/shardRate), 1), MaxShards))
	return Shard{Index: int(membership.Score("quota shard", node) % uint64(count)), Count: count}
}

// IsValid reports whether the shard, which a peer has sent, can exist.
func (s Shard) IsValid() bool {
	return s.Count >= 1 && s.Count <= MaxShards && s.Index >= 0 && s.Index < s.Count
}

// Of returns the part of a quota that the shard's counter keeps.
func (s Shard) Of(quota tenancy.Quota) tenancy.Quota {
	return tenancy.Quota{PerSecond: quota.PerSecond / float64(s.Count), Burst: quota.Burst / float64(s.Count)}
}

// Tolerance returns the part of a tolerance that applies to the shard.
func (s Shard) Tolerance(tolerance Tolerance) Tolerance {
	tolerance.Slack /= float64(s.Count)
	return tolerance
}

// Daemons returns about how many of a mesh's daemons use the shard.
func (s Shard) Daemons(daemons int) int { return max(daemons/s.Count, 1) }
