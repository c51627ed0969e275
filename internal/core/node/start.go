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

// start is what a daemon does until it knows its version floor, and what it
// remembers as a keeper for others that start.
type start struct {
	learner *floor.Learner
	keeper  *floor.Keeper
	known   bool
	floor   protocol.Version
	// readyAt is when the floor became known.
	readyAt time.Duration
	// answered is set once any other daemon has answered.
	answered bool
	// aloneAt is when a daemon that nobody answers may turn to the platform.
	aloneAt time.Duration
	// roots remembers which roots asked this daemon as a keeper, and when.
	roots map[rootLife]time.Duration
	// headWanted is set while a fresh head of the own reader is awaited.
	headWanted bool
}

// rootLife is one life of a daemon that acted as root.
type rootLife struct {
	id          protocol.NodeID
	incarnation protocol.Incarnation
}

// The periods of the start.
const (
	// aloneBase and aloneJitter bound the time after which a daemon that nobody
	// answers may turn to the platform: the bounded fallback of a first start.
	aloneBase   = 500 * time.Millisecond
	aloneJitter = 1500 * time.Millisecond
	// greetTimeout is how long a greeting may take.
	greetTimeout = time.Second
	// maxPeers bounds the members told to a daemon that starts.
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

// tickStart learns the floor.
func (n *Node) tickStart() {
	if n.start.known {
		return
	}
	n.carryOutFloor(n.start.learner.Tick(n.now))
	n.floorLearnt()
}

// floorLearnt takes the floor once the learner knows it.
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

// adoptKeepers tells the keeper of a newer set.
func (s *start) adoptKeepers(set protocol.KeeperSet) {
	if s.known {
		s.keeper.Validate(s.floor, set)
	}
}

// carryOutFloor carries out what the learner or the releaser asks for.
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

// readOwnHead asks this daemon's own reader for a fresh head.
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
			return // an answer to a former term as root proves nothing now
		}
		n.carryOutFloor(n.root.releaser.HandleReply(n.now, store.Token, reply))
		if n.root.active {
			n.release()
		}
	})
}

// handleStore answers a root as keeper, and says whether another root may have
// been at work: one that asked within the longest lease, or before this daemon
// started and remembered anything.
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

// handleFloor answers a daemon that starts, or a root that looks for others.
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

// peersFor chooses some live members that help an asker to join: this daemon,
// its root, readers, candidates for root, relays of the asker's zone, and
// others that start.
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
