package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/floor"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/reader"
	"github.com/springstack/springstack/internal/result"
)

// start holds the state of a daemon until it knows its version floor, and the state
// that it keeps as a keeper for other daemons.
type start struct {
	learner    *floor.Learner
	keeper     *floor.Keeper
	floorKnown bool
	floor      protocol.Version
	// readyAt is when the floor became known.
	readyAt time.Duration
	// peerAnswered is set once any other daemon has answered.
	peerAnswered bool
	// fallbackAt is when a daemon that no other daemon has answered may contact the
	// platform.
	fallbackAt time.Duration
	// rootRequests holds when each root last sent a store request to this keeper.
	rootRequests map[rootIncarnation]time.Duration
	// headPending is set while a read of the head by this daemon's reader is in
	// progress.
	headPending bool
}

// rootIncarnation identifies one incarnation of a daemon that acted as root.
type rootIncarnation struct {
	id          protocol.NodeID
	incarnation protocol.Incarnation
}

// The periods of the start.
const (
	// fallbackDelay plus a jitter of up to fallbackJitter is the time after which a
	// daemon that no other daemon has answered may contact the platform. When a
	// mesh starts for the first time, all its daemons wait for it.
	fallbackDelay  = 500 * time.Millisecond
	fallbackJitter = 1500 * time.Millisecond
	// probeTimeout is the time limit for the answer to a floor request sent as a probe.
	probeTimeout = time.Second
	// maxPeers is the maximum number of members listed to a starting daemon.
	maxPeers = 16
)

func newStart(config Config, seed uint64) start {
	return start{
		learner: floor.NewLearner(floor.LearnerConfig{
			ID:         config.ID,
			Region:     config.Region,
			Seeds:      config.Seeds,
			RandomSeed: seed,
		}),
		keeper:       floor.NewKeeper(config.ID, config.Region),
		rootRequests: map[rootIncarnation]time.Duration{},
	}
}

// begin, called in the first step, adds this daemon's own record to the roster and sets
// fallbackAt.
func (n *Node) begin() {
	n.started = true
	n.startedAt = n.now
	n.roster.Merge(n.now, n.self, membership.SourceSubtree)
	n.start.fallbackAt = n.now
	if len(n.config.Seeds) > 0 {
		n.start.fallbackAt += fallbackDelay + distribution.Jitter(n.random, fallbackJitter)
	}
	n.log("node_started", LogField{Key: "id", Value: string(n.self.ID)})
}

// floor returns the version below which this daemon serves nothing; false while the
// floor is not known.
func (n *Node) floor() (protocol.Version, bool) { return n.start.floor, n.start.floorKnown }

// tickStart drives the learner until the floor is known.
func (n *Node) tickStart() {
	if n.start.floorKnown {
		return
	}
	n.applyFloorOutputs(n.start.learner.Tick(n.now))
	n.adoptFloor()
}

// adoptFloor adopts the learner's floor once the learner knows it.
func (n *Node) adoptFloor() {
	learnt, known := n.start.learner.Floor()
	if n.start.floorKnown || !known {
		return
	}
	n.start.floorKnown = true
	n.start.floor = learnt
	n.start.readyAt = n.now
	n.raiseIncarnation(n.start.learner.Incarnation())
	set := n.start.learner.Keepers()
	n.start.keeper.Validate(learnt, set)
	if set.Revision > n.local.keepers.Revision {
		n.local.keepers = set
	}
	for _, peer := range n.start.learner.Peers() {
		n.mergePeer(peer)
	}
	n.log("floor_learnt", versionField("floor", learnt))
}

// adoptKeepers passes a newer keeper set to the keeper.
func (s *start) adoptKeepers(set protocol.KeeperSet) {
	if s.floorKnown {
		s.keeper.Validate(s.floor, set)
	}
}

// applyFloorOutputs carries out the outputs of the learner or the releaser.
func (n *Node) applyFloorOutputs(outputs []floor.Output) {
	for _, output := range outputs {
		switch received := output.(type) {
		case floor.SendFloorRequest:
			n.sendFloorRequest(received)
		case floor.ReadHead:
			n.readOwnHead()
		case floor.SendStoreRequest:
			n.sendStoreRequest(received)
		}
	}
}

func (n *Node) sendFloorRequest(call floor.SendFloorRequest) {
	call.Request.Self = n.self
	n.callPeer(call.Address, call.Request, call.Timeout, func(body any) {
		reply, _ := body.(*protocol.FloorReply)
		n.start.peerAnswered = n.start.peerAnswered || reply != nil
		n.recordStartingPeers(reply)
		n.applyFloorOutputs(n.start.learner.HandleReply(n.now, call.Token, reply))
		n.adoptFloor()
	})
}

func (n *Node) recordStartingPeers(reply *protocol.FloorReply) {
	if reply == nil {
		return
	}
	for _, peer := range reply.Peers {
		n.startingPeers.record(n.now, peer)
	}
}

// readOwnHead requests a fresh head from this daemon's own reader.
func (n *Node) readOwnHead() {
	if n.start.headPending || !n.readerSide.reader.IsReader() {
		return
	}
	n.start.headPending = true
	n.readFreshHead(func(head reader.FreshHeadResult) {
		n.start.headPending = false
		if !head.OK {
			return
		}
		n.applyFloorOutputs(n.start.learner.HandleHead(n.now, head.Version, head.Keepers))
		n.adoptFloor()
	})
}

func (n *Node) sendStoreRequest(store floor.SendStoreRequest) {
	store.Request.Incarnation = n.self.Incarnation
	releaser := n.root.releaser
	n.sendStore(store.Address, store.Request, store.Timeout, func(reply *protocol.StoreReply) {
		if releaser != n.root.releaser {
			return // a reply to a request from an earlier period as root is not valid for this one
		}
		n.applyFloorOutputs(n.root.releaser.HandleReply(n.now, store.Token, reply))
		if n.root.active {
			n.releaseTarget()
		}
	})
}

// handleStore answers a root's request to this keeper and reports whether another
// root may be active: one that sent a request within the longest lease, or may have
// done so before this daemon started.
func (n *Node) handleStore(request *protocol.StoreRequest) *protocol.StoreReply {
	if !isKnownFormat(request.Format) {
		return &protocol.StoreReply{Code: result.UnknownFormat, From: n.self.ID, Incarnation: n.self.Incarnation}
	}
	reply := n.start.keeper.HandleStoreRequest(request)
	reply.From = n.self.ID
	reply.Incarnation = n.self.Incarnation
	window := withClockMargin(n.config.Timing.ServingLease)
	sender := rootIncarnation{id: request.From, incarnation: request.Incarnation}
	reply.OtherRoot = n.now-n.startedAt < window
	for other, at := range n.start.rootRequests {
		if n.now-at >= window {
			delete(n.start.rootRequests, other)
			continue
		}
		reply.OtherRoot = reply.OtherRoot || other != sender
	}
	n.start.rootRequests[sender] = n.now
	return reply
}

// handleFloor answers a floor request: from a starting daemon, or a probe.
func (n *Node) handleFloor(token Token, request *protocol.FloorRequest) {
	if !isKnownFormat(request.Format) {
		n.answerPeer(token, &protocol.FloorReply{Code: result.UnknownFormat, From: n.self.ID})
		return
	}
	n.startingPeers.record(n.now, request.Self)
	n.mergeOtherRoot(request.Self)
	if request.Known.ID == n.self.ID {
		n.refuteRecord(request.Known)
	}
	if !request.FreshHead || request.Region != n.config.Region && !n.readerSide.reader.IsReader() {
		n.answerFloor(token, request, n.start.keeper.HandleFloorRequest(request))
		return
	}
	if !n.readerSide.reader.IsReader() {
		n.answerFloor(token, request, n.start.keeper.HandleFloorRequest(request))
		return
	}
	n.readFreshHead(func(head reader.FreshHeadResult) {
		reply := &protocol.FloorReply{Code: result.NoReader}
		if head.OK {
			set, _ := findKeeperSet(head.Keepers, request.Region)
			reply = &protocol.FloorReply{Code: result.OK, Floor: head.Version, FromHead: true, Keepers: set}
		}
		n.answerFloor(token, request, reply)
	})
}

func (n *Node) answerFloor(token Token, request *protocol.FloorRequest, reply *protocol.FloorReply) {
	reply.From = n.self.ID
	reply.Peers = n.peersFor(request)
	if known, found := n.roster.Get(request.From); found {
		reply.Incarnation = known.Incarnation
	}
	n.answerPeer(token, reply)
}

// peersFor returns live members that help the sender to join: this daemon, readers
// and roots, root candidates, relays of the sender's zone, and other starting
// daemons.
func (n *Node) peersFor(request *protocol.FloorRequest) []protocol.Member {
	readers := n.roster.Where(func(member protocol.Member) bool {
		return membership.Live(member) && (member.Reader || member.Root)
	})
	list := append([]protocol.Member{n.self}, readers...)
	list = append(list, n.hints(request.From, request.Self.Zone)...)
	list = append(list, n.startingPeers.topRanked(request.Region)...)
	list = lo.Reject(list, func(member protocol.Member, _ int) bool { return member.ID == request.From })
	list = lo.UniqBy(list, func(member protocol.Member) protocol.NodeID { return member.ID })
	return list[:min(len(list), maxPeers)]
}
