package node

import (
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/floor"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/reader"
)

// root is the state of a daemon in the role of its region's root. The root stores
// versions at the keepers, releases them, grants leases and declares versions in
// force.
type root struct {
	active         bool
	activeSince    time.Duration
	lease          *distribution.RootLease
	releaseTracker *distribution.ReleaseTracker
	// releaser stores versions at the keepers.
	releaser *floor.Releaser
	// target is the catalogue being stored at the keepers since targetSince; nil for
	// none.
	target      *reader.CatalogueReady
	targetSince time.Duration
	// batch is the newest catalogue that is held back, for batching or because too few
	// keepers have answered; nil for none.
	batch *reader.CatalogueReady
	// batchUntil is when the release of batch is tried next.
	batchUntil         time.Duration
	nextRoundAt        time.Duration
	nextKeeperChangeAt time.Duration
	// nextCompletionAt is the earliest time of the next attempt to complete a change
	// of the keeper set, which ends the use of the former set.
	nextCompletionAt time.Duration
	nextProbeAt      time.Duration
	// confirmedKeeperSets holds the keeper set that each keeper has confirmed, so that the
	// rounds need not send it again.
	confirmedKeeperSets map[protocol.NodeID]confirmedKeeperSet
	// regionInForce is the version in force in this region.
	regionInForce protocol.Version
}

// The periods of a root.
const (
	// roundInterval is the time between rounds of requests to the keepers, which
	// renew the root's right to grant leases.
	roundInterval = time.Second
	// keeperTimeout is the timeout of a request of a round.
	keeperTimeout = time.Second
	// completionInterval is the minimum time between attempts to complete a change of
	// the keeper set.
	completionInterval = 500 * time.Millisecond
	// keeperChangeInterval is the minimum time between two decisions on a new keeper
	// set. The completion of a change that has begun does not wait for it.
	keeperChangeInterval = 5 * time.Second
)

func newRoot(config Config) root {
	return root{
		releaser:            floor.NewReleaser(config.ID, config.Region),
		confirmedKeeperSets: map[protocol.NodeID]confirmedKeeperSet{},
		lease:               distribution.NewRootLease(config.Timing.ServingLease),
		releaseTracker:      distribution.NewReleaseTracker(config.Timing.ServingLease),
	}
}

// canBeRoot reports whether this daemon holds a version that it may release as
// root.
func (n *Node) canBeRoot() bool {
	floorVersion, known := n.floor()
	if !known || n.leaving {
		return false
	}
	if version := n.local.store.Version(); version > 0 && version >= floorVersion {
		return true
	}
	return n.readerSide.catalogue != nil
}

// becomeRoot assumes the role of root. Two concurrent roots of one region are safe:
// see distribution.RootLease and distribution.ReleaseTracker.
func (n *Node) becomeRoot() {
	n.root.active = true
	n.root.activeSince = n.now
	n.root.lease = distribution.NewRootLease(n.config.Timing.ServingLease)
	n.root.releaseTracker = distribution.NewReleaseTracker(n.config.Timing.ServingLease)
	n.root.releaser = floor.NewReleaser(n.config.ID, n.config.Region)
	n.root.confirmedKeeperSets = map[protocol.NodeID]confirmedKeeperSet{}
	n.root.target = nil
	n.root.batch = nil
	n.root.nextRoundAt = n.now
	n.root.releaseTracker.RecordRelease(n.now, n.local.store.Version(), false)
	n.upstream.joined = false
	n.upstream.fetchToken = 0
	n.upstream.target = protocol.Member{}
	n.updateSelf(func(self *protocol.Member) {
		self.Root = true
		self.Parent = ""
	})
	n.downstream.acksChanged = true
	n.log("root_started", versionField("version", n.local.store.Version()))
	if n.readerSide.catalogue != nil {
		n.propose(n.readerSide.catalogue)
	}
}

// stepDown gives up the role of root to a better root that has replied.
func (n *Node) stepDown(better protocol.Member) {
	n.root.active = false
	n.root.target = nil
	n.root.batch = nil
	n.log("root_stopped", LogField{Key: "root", Value: string(better.ID)})
	n.upstream.target = protocol.Member{}
	n.upstream.parentLostAt = n.now
	delete(n.upstream.avoidances, better.ID)
	n.upstream.nextFetchAt = n.now
	n.fetchFrom(better)
}

func (n *Node) tickRoot() {
	if !n.root.active {
		return
	}
	if n.root.batch != nil && n.now >= n.root.batchUntil {
		n.startRelease(n.root.batch)
	}
	n.applyFloorOutputs(n.root.releaser.Tick(n.now))
	n.releaseTarget()
	n.sendRound()
	n.chooseKeepers()
	n.renewRootLease()
	n.updateInForce()
	n.pollRegions()
	n.probeRoots()
}

// propose starts the release of a new catalogue. A catalogue with a batching window,
// which the owners of its changed files have set to save bandwidth, is held back and
// released together with later ones.
func (n *Node) propose(catalogue *reader.CatalogueReady) {
	if catalogue.Version <= n.local.store.Version() {
		return
	}
	if catalogue.BatchWindow <= 0 || n.local.store.Version() == 0 {
		n.startRelease(catalogue)
		return
	}
	if n.root.batch == nil {
		n.root.batchUntil = n.now + catalogue.BatchWindow
	}
	n.root.batch = catalogue
	n.root.batchUntil = min(n.root.batchUntil, n.now+catalogue.BatchWindow)
}

// maxKeeperReplyAge is the maximum age of the keepers' replies that permit a root to
// start to store a newer version.
const maxKeeperReplyAge = 3 * roundInterval

// startRelease starts to store a version at the keepers. While too few of them
// answer, the version is held back, and daemons continue to serve the released one.
func (n *Node) startRelease(catalogue *reader.CatalogueReady) {
	n.root.batch = nil
	if n.local.store.Version() > 0 && !n.root.lease.HasWriteQuorumSince(n.now-maxKeeperReplyAge, n.keeperSets()...) {
		n.root.batch = catalogue
		n.root.batchUntil = n.now + roundInterval
		return
	}
	set, found := findKeeperSet(catalogue.Keepers, n.config.Region)
	if !found {
		return
	}
	if set.Revision > n.local.keepers.Revision {
		n.adoptKeepers(set)
	}
	n.root.target = catalogue
	n.root.targetSince = n.now
	n.root.releaser.UpdateMembers(n.roster.All())
	n.applyFloorOutputs(n.root.releaser.SetTarget(n.now, n.readerSide.reader.Term(), catalogue.Version, set))
	n.releaseTarget()
}

// releaseTarget adds the target to the store once a write quorum of keepers has
// stored its version. Only then may a daemon of the region, this one included, put it
// in force (I1).
func (n *Node) releaseTarget() {
	target := n.root.target
	if target == nil || n.root.releaser.Released() < target.Version {
		return
	}
	n.root.target = nil
	if err := n.local.store.Add(target.Version, target.Resources); err != nil {
		n.log("catalogue_refused", versionField("version", target.Version), LogField{Key: "error", Value: err.Error()})
		return
	}
	isOnlyRoot := n.root.lease.IsOnlyRoot(n.root.targetSince, n.keeperSets()...)
	n.root.releaseTracker.RecordRelease(n.now, target.Version, isOnlyRoot)
	n.renewRootLease()
	n.log("version_released", versionField("version", target.Version))
	n.stageFromStore()
}

// updateInForce determines the versions in force in this region and globally. A
// version is in force once all expected members have acknowledged it. While some
// members are silent, it suffices that all other members have acknowledged it and that
// every lease under which a silent member could serve an older version has expired
// (the version is fenced). Status still lists the silent members.
func (n *Node) updateInForce() {
	acks := n.acknowledgements()
	confirmed := n.expectedMembers().ConfirmedVersion(acks)
	candidate := min(confirmed, n.root.releaseTracker.DeclarableVersion(n.now))
	if acknowledged, found := distribution.MinimumVersion(acks); found {
		candidate = max(candidate, min(acknowledged, n.root.releaseTracker.FencedVersion(n.now)))
	}
	if candidate > n.root.regionInForce {
		n.root.regionInForce = candidate
	}
	n.raiseInForce(n.globalInForce())
}

// raiseInForce raises the version in force in all regions. It is never lowered (I9).
func (n *Node) raiseInForce(version protocol.Version) {
	if version <= n.local.inForce {
		return
	}
	n.local.inForce = version
	n.regions.inForceAt = n.estimatedWallClock()
	n.log("version_in_force", versionField("version", version))
}

// probeRoots probes the better root candidates and a random seed, so that better
// roots and new daemons find this root, and this root finds a better one.
func (n *Node) probeRoots() {
	if n.now < n.root.nextProbeAt {
		return
	}
	n.root.nextProbeAt = n.now + rootProbeInterval/2 + distribution.Jitter(n.random, rootProbeInterval)
	for _, candidate := range n.tree().RootCandidates() {
		if candidate.ID == n.self.ID {
			break
		}
		n.probeMember(candidate)
	}
	n.probeSeed()
}
