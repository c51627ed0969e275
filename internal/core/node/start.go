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
	learner *floor.Learner
	keeper  *floor.Keeper
	known   bool
	floor   protocol.Version
	// readyAt is when the floor became known.
	readyAt time.Duration
	// peerAnswered is set once any other daemon has answered.
	answered bool
	// aloneAt is when a daemon that no other daemon has answered may contact the
	// platform.
	aloneAt time.Duration
	// roots holds when each root last sent a store request to this keeper.
	roots map[rootLife]time.Duration
	// headPending is set while a read of the head by this daemon's reader is in
	// progress.
	headWanted bool
}

// rootIncarnation identifies one incarnation of a daemon that acted as root.
type rootLife struct {
	id          protocol.NodeID
	incarnation protocol.Incarnation
}

// The periods of the start.
const (
	// aloneBase plus a jitter of up to aloneJitter is the time after which a daemon
	// that no other daemon has answered may contact the platform. It bounds the
	// first start of a mesh.
	aloneBase   = 500 * time.Millisecond
	aloneJitter = 1500 * time.Millisecond
	// probeTimeout is the timeout of a probe.
	greetTimeout = time.Second
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
		keeper: floor.NewKeeper(config.ID, config.Region),
		roots:  map[rootLife]time.Duration{},
	}
}

// begin runs in the first step.
func (n *Node) begin() {
	n.started = true
	n.startedAt = n.now
	n.roster.Merge(n.now, n.self, membership.SourceSubtree)
	n.start.aloneAt = n.now
	if len(n.config.Seeds) > 0 {
		n.start.aloneAt += aloneBase + distribution.Jitter(n.random, aloneJitter)
	}
	n.log("node_started", LogField{Key: "id", Value: string(n.self.ID)})
}

// floor returns the version below which this daemon serves nothing; false
// while it is not known.
func (n *Node) floor() (protocol.Version, bool) { return n.start.floor, n.start.known }

// tickStart drives the learner until the floor is known.
func (n *Node) tickStart() {
	if n.start.known {
		return
	}
	n.carryOutFloor(n.start.learner.Tick(n.now))
	n.floorLearnt()
}

// adoptFloor adopts the learner's floor once the learner knows it.
func (n *Node) floorLearnt() {
	learnt, known := n.start.learner.Floor()
	if n.start.known || !known {
		return
	}
	n.start.known = true
	n.start.floor = learnt
	n.start.readyAt = n.now
	n.raiseIncarnation(n.start.learner.Incarnation())
	set := n.start.learner.Keepers()
	n.start.keeper.Validate(learnt, set)
	if set.Revision > n.holding.keepers.Revision {
		n.holding.keepers = set
	}
	for _, peer := range n.start.learner.Peers() {
		n.heardPeer(peer)
	}
	n.log("floor_learnt", versionField("floor", learnt))
}

// adoptKeepers passes a newer keeper set to the keeper.
func (s *start) adoptKeepers(set protocol.KeeperSet) {
	if s.known {
		s.keeper.Validate(s.floor, set)
	}
}

// applyFloor carries out the outputs of the learner or the releaser.
func (n *Node) carryOutFloor(outputs []floor.Output) {
	for _, output := range outputs {
		switch one := output.(type) {
		case floor.SendFloorRequest:
			n.askFloor(one)
		case floor.ReadHead:
			n.readOwnHead()
		case floor.SendStoreRequest:
			n.storeVersion(one)
		}
	}
}

func (n *Node) askFloor(ask floor.SendFloorRequest) {
	ask.Request.Self = n.self
	n.call(ask.Address, ask.Request, ask.Timeout, func(body any) {
		reply, _ := body.(*protocol.FloorReply)
		n.start.answered = n.start.answered || reply != nil
		n.heardPeers(reply)
		n.carryOutFloor(n.start.learner.HandleReply(n.now, ask.Token, reply))
		n.floorLearnt()
	})
}

func (n *Node) heardPeers(reply *protocol.FloorReply) {
	if reply == nil {
		return
	}
	for _, peer := range reply.Peers {
		n.visitors.heard(n.now, peer)
	}
}

// readOwnHead requests a fresh head from this daemon's own reader.
func (n *Node) readOwnHead() {
	if n.start.headWanted || !n.readerSide.reader.IsReader() {
		return
	}
	n.start.headWanted = true
	n.freshHead(func(head reader.FreshHeadResult) {
		n.start.headWanted = false
		if !head.OK {
			return
		}
		n.carryOutFloor(n.start.learner.HandleHead(n.now, head.Version, head.Keepers))
		n.floorLearnt()
	})
}

func (n *Node) storeVersion(store floor.SendStoreRequest) {
	store.Request.Incarnation = n.self.Incarnation
	releaser := n.root.releaser
	n.store(store.Address, store.Request, store.Timeout, func(reply *protocol.StoreReply) {
		if releaser != n.root.releaser {
			return // a reply to a request from an earlier period as root is not valid for this one
		}
		n.carryOutFloor(n.root.releaser.HandleReply(n.now, store.Token, reply))
		if n.root.active {
			n.release()
		}
	})
}

// handleStore answers a root's request to this keeper and reports whether another
// root may be active: one that sent a request within the longest lease, or may have
// done so before this daemon started.
func (n *Node) handleStore(request *protocol.StoreRequest) *protocol.StoreReply {
	if !knownFormat(request.Format) {
		return &protocol.StoreReply{Code: result.UnknownFormat, From: n.self.ID, Incarnation: n.self.Incarnation}
	}
	reply := n.start.keeper.HandleStoreRequest(request)
	reply.From = n.self.ID
	reply.Incarnation = n.self.Incarnation
	window := marginOf(n.config.Timing.ServingLease)
	asker := rootLife{id: request.From, incarnation: request.Incarnation}
	reply.OtherRoot = n.now-n.startedAt < window
	for other, at := range n.start.roots {
		if n.now-at >= window {
			delete(n.start.roots, other)
			continue
		}
		reply.OtherRoot = reply.OtherRoot || other != asker
	}
	n.start.roots[asker] = n.now
	return reply
}

// handleFloor answers a floor request: from a starting daemon, or a probe.
func (n *Node) handleFloor(token Token, request *protocol.FloorRequest) {
	if !knownFormat(request.Format) {
		n.answer(token, &protocol.FloorReply{Code: result.UnknownFormat, From: n.self.ID})
		return
	}
	n.visitors.heard(n.now, request.Self)
	n.heardRoot(request.Self)
	if request.Known.ID == n.self.ID {
		n.heardOfSelf(request.Known)
	}
	if !request.FreshHead || request.Region != n.config.Region && !n.readerSide.reader.IsReader() {
		n.answerFloor(token, request, n.start.keeper.HandleFloorRequest(request))
		return
	}
	if !n.readerSide.reader.IsReader() {
		n.answerFloor(token, request, n.start.keeper.HandleFloorRequest(request))
		return
	}
	n.freshHead(func(head reader.FreshHeadResult) {
		reply := &protocol.FloorReply{Code: result.NoReader}
		if head.OK {
			set, _ := keeperSetOf(head.Keepers, request.Region)
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
	n.answer(token, reply)
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
	list = append(list, n.visitors.first(request.Region)...)
	list = lo.Reject(list, func(member protocol.Member, _ int) bool { return member.ID == request.From })
	list = lo.UniqBy(list, func(member protocol.Member) protocol.NodeID { return member.ID })
	return list[:min(len(list), maxPeers)]
}
