package node_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
)

// TestAfterACrashAVersionIsInForceOnceFenced guards against a fault: after the crash of
// one daemon, no version came in force until the daemon was marked dead, 35 s later.
func TestAfterACrashAVersionIsInForceOnceFenced(t *testing.T) {
	c, _, _ := newServingCluster(t)
	crashed := c.runningExcept(c.root())
	c.stop(crashed)
	submitter := c.runningExcept(crashed)
	version := c.submitAccepted(submitter, 7)
	elapsed := c.waitInForce(submitter, version, 12*time.Second)
	t.Logf("in force %v after a crash", elapsed)
}

// newServingCluster returns a cluster of twelve daemons that all serve an accepted
// file, with keepers that have been running for longer than any lease.
func newServingCluster(t *testing.T) (*cluster, []*daemon, protocol.Version) {
	c := newCluster(t)
	if os.Getenv("NODE_LOGS") != "" {
		c.logLine = func(line string) { t.Log(line) }
	}
	daemons := startTwelve(c)
	c.waitUntil("all serve", 40*time.Second, func() bool { return c.allServe(1) })
	c.run(30 * time.Second)
	version := c.submitAccepted(daemons[7], 6)
	c.waitInForce(daemons[9], version, 5*time.Second)
	return c, daemons, version
}

// root returns the running daemon whose own record marks it as root.
func (c *cluster) root() *daemon {
	for _, d := range c.daemons {
		if !d.running {
			continue
		}
		for _, member := range d.members {
			if member.ID == d.id && member.Root {
				return d
			}
		}
	}
	return nil
}

// runningExcept returns a running daemon that is not among the excluded ones.
func (c *cluster) runningExcept(excluded ...*daemon) *daemon {
	for i := range len(c.daemons) {
		d := c.daemons[fmt.Sprintf("addr-d%02d", i)]
		isExcluded := !d.running
		for _, other := range excluded {
			isExcluded = isExcluded || other == d
		}
		if !isExcluded {
			return d
		}
	}
	return nil
}

func TestRootDies(t *testing.T) {
	c, _, _ := newServingCluster(t)
	root := c.root()
	c.stop(root)
	submitter := c.runningExcept(root)
	version := c.submitAccepted(submitter, 7)
	servedAfter := c.waitUntil("all hold", 15*time.Second, func() bool { return c.allServe(version) })
	elapsed := c.waitInForce(submitter, version, 60*time.Second)
	t.Logf("served everywhere after %v, in force after another %v", servedAfter, elapsed)
}

func TestDaemonIsCutOffAndReturns(t *testing.T) {
	c, daemons, _ := newServingCluster(t)
	isolated := c.runningExcept(c.root())
	c.isCut = func(from, to string) bool {
		return from == isolated.config.ControlAddress || to == isolated.config.ControlAddress
	}
	submitter := c.runningExcept(isolated)
	version := c.submitAccepted(submitter, 7)
	c.run(time.Second)
	if c.status(submitter).Summary.InForce >= version {
		c.is.Fail() // one daemon may still serve the older version
	}
	c.run(15 * time.Second)
	c.is.True(!c.serving(isolated)) // its lease has expired
	c.waitInForce(submitter, version, 60*time.Second)
	c.isCut = func(string, string) bool { return false }
	c.waitUntil("all serve", 20*time.Second, func() bool { return c.allServe(version) })
	version = c.submitAccepted(daemons[3], 8)
	c.waitInForce(submitter, version, 10*time.Second)
}

func TestZoneIsLost(t *testing.T) {
	c, daemons, _ := newServingCluster(t)
	for _, d := range daemons {
		if d.config.Zone == "eros-hall" {
			c.stop(d)
		}
	}
	submitter := c.runningExcept()
	version := c.submitAccepted(submitter, 7)
	servedAfter := c.waitUntil("all hold", 15*time.Second, func() bool { return c.allServe(version) })
	elapsed := c.waitInForce(submitter, version, 90*time.Second)
	t.Logf("served everywhere after %v, in force after another %v", servedAfter, elapsed)
}

func TestPlatformIsDown(t *testing.T) {
	c, daemons, version := newServingCluster(t)
	c.platform.down = true
	c.run(60 * time.Second)
	c.is.True(c.allServe(version))
	c.stop(daemons[4])
	c.start("windhoek", "klein-hall", "d04", "addr-d00", "addr-d01", "addr-d02")
	c.waitUntil("a new daemon serves", 20*time.Second, func() bool { return c.allServe(version) })
	root := c.root()
	c.stop(root)
	c.waitUntil("another root serves", 30*time.Second, func() bool { return c.allServe(version) })
	c.platform.down = false
	version = c.submitAccepted(c.runningExcept(root), 7)
	c.waitUntil("all hold", 15*time.Second, func() bool { return c.allServe(version) })
	c.waitInForce(c.runningExcept(root), version, 60*time.Second)
}

// TestAllDaemonsRestartAtOnce restarts all daemons at once, first with the platform up,
// then with the platform down: without a floor no daemon serves.
func TestAllDaemonsRestartAtOnce(t *testing.T) {
	c, daemons, version := newServingCluster(t)
	restart := func() {
		for _, d := range daemons {
			c.stop(d)
		}
		c.run(time.Second)
		for _, d := range daemons {
			c.start("windhoek", d.config.Zone, string(d.id), "addr-d00", "addr-d01", "addr-d02")
		}
	}
	restart()
	elapsed := c.waitUntil("all serve", 60*time.Second, func() bool { return c.allServe(version) })
	t.Logf("all daemons serve %v after the restart", elapsed)
	c.platform.down = true
	restart()
	c.run(30 * time.Second)
	for _, d := range daemons {
		c.is.True(!c.serving(d))
	}
	c.platform.down = false
	c.waitUntil("all serve", 60*time.Second, func() bool { return c.allServe(version) })
}

// TestRegionsAreCut distributes changes over two regions, before and while they are
// cut off from each other.
func TestRegionsAreCut(t *testing.T) {
	c := newCluster(t)
	if os.Getenv("NODE_LOGS") != "" {
		c.logLine = func(line string) { t.Log(line) }
	}
	regions := map[string][]string{"windhoek": {"klein-hall", "eros-hall"}, "accra": {"tema-hall", "osu-hall"}}
	for i := range 8 {
		region := []string{"windhoek", "accra"}[i%2]
		c.start(region, regions[region][i/2%2], fmt.Sprintf("d%02d", i), "addr-d00", "addr-d01")
	}
	c.waitUntil("all serve", 40*time.Second, func() bool { return c.allServe(1) })
	c.run(30 * time.Second)
	submitter := c.runningExcept()
	version := c.submitAccepted(submitter, 6)
	elapsed := c.waitInForce(submitter, version, 10*time.Second)
	t.Logf("in force in both regions after %v", elapsed)
	c.waitUntil("all members known", 10*time.Second, func() bool { return len(submitter.members) == 8 })

	c.isCut = func(from, to string) bool { return c.daemons[from].config.Region != c.daemons[to].config.Region }
	version = c.submitAccepted(submitter, 7)
	c.waitUntil("each region holds it", 10*time.Second, func() bool { return c.allServe(version) })
	c.run(40 * time.Second)
	summary := c.status(submitter).Summary
	c.is.True(summary.InForce < version) // the other region has not reported it
	c.is.Equal(summary.CutRegions, []string{"accra"})
	c.isCut = func(string, string) bool { return false }
	elapsed = c.waitInForce(submitter, version, 10*time.Second)
	t.Logf("in force %v after the regions were joined", elapsed)
}

func TestCleanLeaveIsNotCounted(t *testing.T) {
	c, _, _ := newServingCluster(t)
	leaver := c.runningExcept(c.root())
	c.step(leaver, node.Leave{})
	c.run(time.Second)
	c.step(leaver, node.Stopped{})
	c.run(500 * time.Millisecond)
	c.stop(leaver)
	submitter := c.runningExcept(leaver)
	version := c.submitAccepted(submitter, 7)
	elapsed := c.waitInForce(submitter, version, 5*time.Second)
	t.Logf("in force after %v without the one that left", elapsed)
}

// TestStepsAreDeterministic runs the same cluster twice and compares the logs.
func TestStepsAreDeterministic(t *testing.T) {
	is := is.New(t)
	var logs [2][]string
	for i := range logs {
		c := newCluster(t)
		c.logLine = func(line string) { logs[i] = append(logs[i], line) }
		startTwelve(c)
		c.run(20 * time.Second)
	}
	is.True(len(logs[0]) > 20)
	is.Equal(logs[0], logs[1])
}

// TestTheReleasedVersionIsServedWhileTooFewKeepersRun crashes so many keepers that no
// version can be released, and then accepts one: the other daemons continue to serve
// the released version, and adopt the new one once the keepers have restarted.
func TestTheReleasedVersionIsServedWhileTooFewKeepersRun(t *testing.T) {
	c, daemons, released := newServingCluster(t)
	root := c.root()
	head, err := ledger.Decode(c.platform.objects[ledger.HeadObject].Data)
	c.is.NoErr(err)
	set, _ := head.KeeperSet("windhoek")
	var crashed []*daemon
	for _, keeper := range set.Members {
		stopped := c.daemons["addr-"+string(keeper.ID)]
		if stopped != root && len(crashed) <= len(set.Members)-set.Write {
			c.stop(stopped)
			crashed = append(crashed, stopped)
		}
	}
	c.run(3 * time.Second)
	version := c.submitAccepted(c.runningExcept(crashed...), 7)
	c.run(20 * time.Second)
	for _, d := range daemons {
		if d.running && !c.serving(d) {
			t.Errorf("%s does not serve", d.id)
		}
		if d.running && d.snapshot.Version != released {
			t.Errorf("%s holds version %d that is stored at too few keepers", d.id, d.snapshot.Version)
		}
	}
	for _, d := range crashed {
		c.start("windhoek", d.config.Zone, string(d.id), "addr-d00", "addr-d01", "addr-d02", "addr-d03")
	}
	c.waitUntil("the new version is in force", 60*time.Second, func() bool { return c.allServe(version) })
}

// TestAChangeOfKeepersIsCompletedAtOnce checks that the first growth of a keeper set is
// completed within 2 s. Until then a quorum of the former set is required as well, which
// may be a single daemon whose loss would stop the region.
func TestAChangeOfKeepersIsCompletedAtOnce(t *testing.T) {
	c := newCluster(t)
	var changedAt, completedAt time.Duration
	c.observe = func(_, _ string, body any) {
		request, isStore := body.(*protocol.StoreRequest)
		if !isStore || request.Keepers.Revision == 0 {
			return
		}
		switch {
		case changedAt == 0 && request.Keepers.Previous != nil:
			changedAt = c.now()
		case changedAt > 0 && completedAt == 0 && request.Keepers.Previous == nil:
			completedAt = c.now()
		}
	}
	startTwelve(c)
	c.waitUntil("the keeper set has grown and the change is complete", 60*time.Second, func() bool { return completedAt > 0 })
	c.is.True(completedAt-changedAt < 2*time.Second)
}
