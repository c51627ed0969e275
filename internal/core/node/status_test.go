package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// TestSilentMemberIsNotShownAsHolding crashes each daemon but the root, one per
// cluster, and checks the status after the daemon's lease has expired, while it is
// still counted as a member.
func TestSilentMemberIsNotShownAsHolding(t *testing.T) {
	_, all, _ := newServingCluster(t)
	for i := range all {
		is := is.New(t)
		c, daemons, _ := newServingCluster(t)
		root := c.root()
		crashed := daemons[i]
		if crashed == root {
			continue
		}
		c.stop(crashed)
		c.run(15 * time.Second)
		zones := c.status(root).Summary.Zones
		holding := lo.SumBy(zones, func(zone protocol.ZoneStatus) int { return int(zone.Holding) })
		members := lo.SumBy(zones, func(zone protocol.ZoneStatus) int { return int(zone.Members) })
		silent := lo.FlatMap(zones, func(zone protocol.ZoneStatus, _ int) []protocol.NodeID { return zone.Silent })
		is.Equal(members, len(daemons))
		is.Equal(holding, len(daemons)-1)
		is.Equal(silent, []protocol.NodeID{crashed.id})
	}
}

// TestRestartedRootWithoutPlatformReportsNoReader restarts roots while the platform
// is down: status must not show an empty list of files as complete.
func TestRestartedRootWithoutPlatformReportsNoReader(t *testing.T) {
	is := is.New(t)
	c, _, version := newServingCluster(t)
	c.platform.down = true
	const readers = 2
	for range readers {
		root := c.root()
		c.stop(root)
		c.start("windhoek", root.config.Zone, string(root.id), "addr-d00", "addr-d01", "addr-d02", "addr-d03")
		c.run(15 * time.Second)
	}
	for _, d := range c.daemons {
		if !d.running {
			continue
		}
		status := c.status(d)
		is.True(status.Summary.Version >= version)
		is.True(status.Code == result.NoReader || len(status.Files) > 0)
	}
}

// TestChangeWithoutPlatformReportsNotRun checks that the operator receives the
// conclusive answer, rather than an unknown outcome from a time limit that expires
// before it.
func TestChangeWithoutPlatformReportsNotRun(t *testing.T) {
	is := is.New(t)
	c, daemons, _ := newServingCluster(t)
	c.platform.down = true
	for _, d := range daemons[:3] {
		answer := c.submit(d, "partner: kameeldoring\nname: shop\n")
		c.waitUntil("an answer", 13*time.Second, func() bool { return answer() != nil })
		entry, _ := result.Lookup(answer().Code)
		is.Equal(entry.Ran, result.RanNo)
	}
}
