package node

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// downstream is this daemon's side of the calls of its children.
type downstream struct {
	children map[protocol.NodeID]*child
	// order lists the children in ascending order of id.
	order []protocol.NodeID
	// acksChanged is set when the fold may have changed.
	acksChanged bool
	admission   *distribution.SendLimiter
}

// child is one daemon that fetches from this one.
type child struct {
	id          protocol.NodeID
	incarnation protocol.Incarnation
	counter     uint64
	scope       protocol.Scope
	have        protocol.Version
	digest      resource.Digest
	acks        []protocol.Acknowledgement
	heardAt     time.Duration
	// cursor is how far in this daemon's change log the child has heard.
	cursor         membership.Cursor
	keeperRevision protocol.Version
	// sums tell which records the child lacks, when it has no cursor.
	sums []uint64
	// joinedAt is the position in the change log at which the child's record
	// was known.
	joinedAt membership.Cursor
	// leased is set once a lease was granted in this stay.
	leased bool
	// token is that of the held fetch; 0 for none.
	token Token
	wait  time.Duration
}

// The bounds of the downstream side.
const (
	// A root has places for these multiples of the fan-out: for any daemon, for
	// relays as well, and for daemons that bring readers or subtrees as well, so
	// that leaves that came first in a herd don't keep a subtree out.
	rootPlacesAny     = 2
	rootPlacesRelay   = 4
	rootPlacesSubtree = 8
	// memberNews gathers changes of members before a held fetch is answered.
	memberNews = 500 * time.Millisecond
	// maxHints bounds the members named in a refusal.
	maxHints = 8
	// retryNotReady is the wait told by a daemon that holds nothing yet.
	retryNotReady = 200 * time.Millisecond
	// smallDelta is admitted without limit.
	smallDelta = 16 << 10
)

func newDownstream() downstream {
	return downstream{
		children:  map[protocol.NodeID]*child{},
		admission: distribution.NewSendLimiter(distribution.DefaultBytesPerSecond, distribution.DefaultBurstBytes),
	}
}

// handleFetch takes a fetch and holds it until there is something to say.
func (n *Node) handleFetch(token Token, request *protocol.FetchRequest) {
	if !knownFormat(request.Format) {
		n.answer(token, refusal(result.UnknownFormat, n.config.Timing.DeadAfter))
		return
	}
	if code := n.acceptance(request); code != result.OK {
		n.refuseFetch(token, request, code)
		return
	}
	known, found := n.downstream.children[request.From]
	if found && known.incarnation == request.Incarnation && request.Counter <= known.counter {
		n.answer(token, refusal(result.Overloaded, idleSpacing))
		return
	}
	if !found || known.incarnation != request.Incarnation {
		if !n.newcomerIsCurrent(request) {
			n.refuseFetch(token, request, result.AskAnother)
			return
		}
		known = n.addChild(request)
	}
	n.supersede(known)
	n.takeFetch(known, token, request)
}

// acceptance decides whether the sender may be a child. Relays are only taken
// by a root and leaves by a root or by a relay below one, so that the tree has
// at most three levels.
func (n *Node) acceptance(request *protocol.FetchRequest) result.Code {
	if _, known := n.floor(); !known || n.holding.store.Version() == 0 {
		if n.root.active {
			return result.NotReadyYet
		}
		return result.AskAnother
	}
	parentIsRoot := n.upstream.joined && n.upstream.target.Root
	_, already := n.downstream.children[request.From]
	switch {
	case n.leaving || request.From == n.self.ID:
		return result.AskAnother
	case n.root.active && (already || len(n.downstream.children) < n.rootPlaces(request)):
		return result.OK
	case n.root.active || !parentIsRoot || request.Scope.Relay || !n.relaying():
		return result.AskAnother
	case already || len(n.downstream.children) < n.config.Timing.FanOut:
		return result.OK
	default:
		return result.AskAnother
	}
}

// rootPlaces returns how many children this root may have for the sender to be
// one more.
func (n *Node) rootPlaces(request *protocol.FetchRequest) int {
	below := lo.SumBy(request.Acknowledgements, func(ack protocol.Acknowledgement) uint32 { return ack.Count })
	fanOut := n.config.Timing.FanOut
	switch {
	case request.Self.Reader || below > 1:
		return rootPlacesSubtree * fanOut
	case request.Scope.Relay && n.tree().WouldBeRelay(request.Self):
		return rootPlacesRelay * fanOut
	default:
		return rootPlacesAny * fanOut
	}
}

// newcomerIsCurrent refuses a newcomer's late duplicate: one from an earlier
// life, or from before it turned to another parent. Counting it here as well
// would hold in force back.
func (n *Node) newcomerIsCurrent(request *protocol.FetchRequest) bool {
	if request.Self.ID != request.From || request.Self.Parent != n.self.ID {
		return false
	}
	known, found := n.roster.Get(request.From)
	if !found || known.Incarnation < request.Incarnation {
		return true
	}
	return known.Incarnation == request.Incarnation && known.Sequence <= request.Self.Sequence
}

func (n *Node) addChild(request *protocol.FetchRequest) *child {
	if _, found := n.downstream.children[request.From]; !found {
		at, _ := slices.BinarySearch(n.downstream.order, request.From)
		n.downstream.order = slices.Insert(n.downstream.order, at, request.From)
	}
	added := &child{id: request.From, incarnation: request.Incarnation}
	n.downstream.children[request.From] = added
	n.heardMember(request.Self, membership.SourceSubtree)
	added.joinedAt = n.roster.Cursor()
	return added
}

// supersede answers a held fetch when a newer one of the same child arrives.
// The child waits for the newer only.
func (n *Node) supersede(known *child) {
	if known.token == 0 {
		return
	}
	n.answer(known.token, &protocol.FetchReply{Format: protocol.Format, Code: result.OK, Incarnation: n.self.Incarnation})
	known.token = 0
}

func (n *Node) takeFetch(known *child, token Token, request *protocol.FetchRequest) {
	known.counter = request.Counter
	known.scope = request.Scope
	known.have = request.Have
	known.digest = request.HaveDigest
	known.keeperRevision = request.KeeperRevision
	known.heardAt = n.now
	known.token = token
	known.wait = min(request.Wait, n.config.Timing.FetchWait)
	known.cursor = 0
	known.sums = request.RosterSums
	if request.ParentIncarnation == n.self.Incarnation {
		known.cursor = request.MemberCursor
	}
	if !distribution.EqualAcknowledgements(known.acks, request.Acknowledgements) {
		known.acks = request.Acknowledgements
		n.downstream.acksChanged = true
	}
	if request.Self.ID == request.From {
		n.heardMember(request.Self, membership.SourceSubtree)
	}
	for _, member := range request.Members {
		n.heardMember(member, membership.SourceSubtree)
	}
}

// childMoved forgets a child that has another parent now, or has left or died.
func (n *Node) childMoved(member protocol.Member) {
	known, found := n.downstream.children[member.ID]
	if !found || known.incarnation > member.Incarnation {
		return
	}
	n.supersede(known)
	delete(n.downstream.children, member.ID)
	n.downstream.order = slices.DeleteFunc(n.downstream.order, func(id protocol.NodeID) bool { return id == member.ID })
	n.downstream.acksChanged = true
}

// acknowledgements folds what this daemon and all below it hold.
//
// What must hold: a child is counted from its first fetch until every lease
// that this daemon granted to it has certainly ended, or until it is known to
// be counted elsewhere, so that no version is called in force while it may
// serve an older one.
func (n *Node) acknowledgements() []protocol.Acknowledgement {
	fold := distribution.NewAcknowledgementAggregator()
	if membership.Live(n.self) {
		fold.Add(distribution.MemberAcknowledgement(n.self, n.held()))
	}
	for _, id := range n.downstream.order {
		known := n.downstream.children[id]
		if n.leaseEnded(known) {
			continue
		}
		for _, one := range known.acks {
			fold.Add(one)
		}
	}
	return fold.List()
}

// leaseEnded reports that the lease granted to a child has certainly ended.
func (n *Node) leaseEnded(known *child) bool {
	return n.now-known.heardAt > marginOf(n.config.Timing.ServingLease)
}

// sweepChildren notices children whose leases have ended.
func (n *Node) sweepChildren() {
	margin := marginOf(n.config.Timing.ServingLease)
	for _, id := range n.downstream.order {
		silent := n.now - n.downstream.children[id].heardAt
		if silent > margin && silent <= margin+2*sweepInterval {
			n.downstream.acksChanged = true
		}
	}
}

// serveChildren answers the held fetches that have an answer now.
func (n *Node) serveChildren() {
	for _, id := range n.downstream.order {
		known := n.downstream.children[id]
		if known.token != 0 && n.hasNews(known) {
			n.serve(known)
		}
	}
}

func (n *Node) hasNews(known *child) bool {
	held := n.now - known.heardAt
	switch {
	case n.leaving, known.cursor == 0, held >= known.wait:
		return true
	case n.holding.store.Version() > known.have:
		return true
	case !known.leased && n.mayLease(known):
		return true
	default:
		return n.roster.Cursor() != known.cursor && held >= memberNews
	}
}

// mayLease reports whether a child may serve: its record has reached the root,
// which then waits for it before calling anything in force, even when this
// daemon dies in the next moment.
func (n *Node) mayLease(known *child) bool {
	reported := n.root.active || (n.upstream.joined && n.upstream.reported >= known.joinedAt)
	return reported && n.holding.grantUntil > n.now
}

// serve answers a held fetch.
func (n *Node) serve(known *child) {
	token := known.token
	known.token = 0
	if n.leaving {
		n.answer(token, n.farewell(known))
		return
	}
	store := n.holding.store
	reply := &protocol.FetchReply{
		Format:       protocol.Format,
		Code:         result.OK,
		Released:     store.Version(),
		InForce:      n.holding.inForce,
		Incarnation:  n.self.Incarnation,
		Members:      n.membersFor(known),
		MemberCursor: n.roster.Cursor(),
	}
	if store.Version() > known.have {
		reply.Delta = store.Delta(known.scope, known.have, known.digest)
		if wait, admitted := n.admit(reply.Delta); !admitted {
			n.answer(token, refusal(result.Overloaded, wait))
			return
		}
	}
	if known.keeperRevision < n.holding.keepers.Revision {
		reply.Keepers = n.holding.keepers
	}
	if known.cursor == 0 || store.Version() > known.have {
		reply.Regions = n.allRegions()
	}
	reply.LeaseRemaining = n.grant(known)
	n.answer(token, reply)
}

// membersFor returns the records that a child lacks: those that changed since
// its cursor, or, without one, those in which its roster differs.
func (n *Node) membersFor(known *child) []protocol.Member {
	if known.cursor == 0 && len(known.sums) == membership.BucketCount {
		return n.roster.InDifferingBuckets(membership.BucketSums(known.sums))
	}
	return n.roster.Since(known.cursor)
}

// admit limits the bytes that go out at once.
func (n *Node) admit(delta *protocol.Delta) (time.Duration, bool) {
	if delta == nil || len(delta.Payload) <= smallDelta {
		return 0, true
	}
	return n.downstream.admission.Admit(n.now, len(delta.Payload))
}

// grant returns the lease of a child, from the sending of its request: what
// this daemon itself was granted at most, plus the time that the request was
// held here, which has certainly passed at the child too.
func (n *Node) grant(known *child) time.Duration {
	if !n.mayLease(known) {
		return 0
	}
	known.leased = true
	remaining := min(n.config.Timing.ServingLease, n.holding.grantUntil-n.now)
	return remaining + n.now - known.heardAt
}
