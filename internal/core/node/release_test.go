package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// TestNothingIsAcknowledgedBeforeTheSwap leaves the swap of one daemon unconfirmed:
// the version does not come in force until the confirmation, and status lists that
// daemon as behind.
func TestNothingIsAcknowledgedBeforeTheSwap(t *testing.T) {
	c, _, _ := newServingCluster(t)
	slow := c.runningExcept(c.root())
	slow.withholdsConfirmations = true
	submitter := c.runningExcept(slow)
	version := c.submitAccepted(submitter, 7)
	c.run(30 * time.Second)
	summary := c.status(submitter).Summary
	c.is.Equal(summary.Version, version)
	c.is.True(summary.InForce < version)
	zone, found := lo.Find(summary.Zones, func(zone protocol.ZoneStatus) bool { return zone.Zone == slow.config.Zone })
	c.is.True(found)
	c.is.Equal(zone.Behind, []protocol.NodeID{slow.id})
	slow.withholdsConfirmations = false
	c.confirm(slow)
	c.waitInForce(submitter, version, 5*time.Second)
}

// TestStatusCountsByZone checks the counts by zone of members at the newest version.
func TestStatusCountsByZone(t *testing.T) {
	c, daemons, version := newServingCluster(t)
	status := c.status(daemons[5])
	c.is.Equal(status.Code, result.OK)
	c.is.Equal(status.Summary.InForce, version)
	c.is.Equal(len(status.Summary.Zones), 4)
	for _, zone := range status.Summary.Zones {
		c.is.Equal(zone.Members, uint32(3))
		c.is.Equal(zone.Holding, uint32(3))
		c.is.Equal(zone.Minimum, version)
	}
	c.is.Equal(len(status.Files), 1)
	c.is.True(status.Files[0].InForce)
	c.is.Equal(len(status.Members), len(daemons))
}

// TestChangesOfFilesThatPreferBytesAreBatched accepts several changes within the
// batching window of a file: they are distributed as a single version.
func TestChangesOfFilesThatPreferBytesAreBatched(t *testing.T) {
	c, daemons, _ := newServingCluster(t)
	batchedFile := func(slots int) string {
		return strings.Replace(shopFile(slots), "name: shop\n", "name: shop\ndistribution: {prefer: bytes, batch_window: 2s}\n", 1)
	}
	swaps := 0
	daemons[3].onSwap = func() { swaps++ }
	var last *protocol.SubmitReply
	for slots := range 5 {
		reply := c.submit(daemons[0], batchedFile(10+slots))
		c.waitUntil("answer", 20*time.Second, func() bool { return reply() != nil })
		c.is.Equal(reply().Code, result.OK)
		last = reply()
	}
	elapsed := c.waitInForce(daemons[0], last.Version, 10*time.Second)
	t.Logf("five changes came in force after %v with %d swaps", elapsed, swaps)
	c.is.True(swaps == 1)
}

// TestSubmitWithoutAnyReaderReportsNoReader submits while the platform is unreachable
// for all daemons: the change certainly did not run.
func TestSubmitWithoutAnyReaderReportsNoReader(t *testing.T) {
	c := newCluster(t)
	c.platform.down = true
	d := c.start("windhoek", "klein-hall", "d00")
	c.run(5 * time.Second)
	reply := c.submit(d, shopFile(6))
	c.waitUntil("answer", 30*time.Second, func() bool { return reply() != nil })
	c.is.Equal(reply().Code, result.NoReader)
	c.is.Equal(c.status(d).Code, result.NoReader)
	c.is.True(!c.serving(d))
}
