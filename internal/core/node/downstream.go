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

// downstream holds the state of this daemon's children.
type downstream struct {
	children map[protocol.NodeID]*child
	// order lists the children in ascending order of id.
	order []protocol.NodeID
	// acksChanged is set when the aggregated acknowledgements may have changed.
	acksChanged bool
	admission   *distribution.SendLimiter
}

// child is a daemon that fetches from this one.
type child struct {
	id          protocol.NodeID
	incarnation protocol.Incarnation
	counter     uint64
	scope       protocol.Scope
	have        protocol.Version
	digest      resource.Digest
	acks        []protocol.Acknowledgement
	heardAt     time.Duration
	// cursor is the position in this daemon's change log up to which the child
	// has received records.
	cursor         membership.Cursor
	keeperRevision protocol.Version
	// rosterSums are the checksums of the child's roster by bucket. Without a
	// cursor they show which records the child is missing.
	sums []uint64
	// joinedAt is the position in the change log just after the child's record
	// was added.
	joinedAt membership.Cursor
	// leaseGranted is set once this daemon has granted a lease to the child since
	// it joined.
	leased bool
	// heldToken is the token of the fetch that is held open; 0 for none.
	token Token
	wait  time.Duration
}

// The bounds of the downstream side.
const (
	// A root accepts children up to these multiples of the fan-out: leaves up to
	// the first, relays up to the second, readers and daemons with a subtree up
	// to the third. Leaves that arrive first when many daemons start together
	// thus cannot exclude a subtree.
	rootPlacesAny     = 2
	rootPlacesRelay   = 4
	rootPlacesSubtree = 8
	// memberBatchDelay is how long member changes are batched before a held fetch
	// is answered.
	memberNews = 500 * time.Millisecond
	// maxHints is the maximum number of members listed in a refusal.
	maxHints = 8
	// notReadyRetryAfter is the retry delay in the refusal of a daemon that holds
	// no configuration yet.
	retryNotReady = 200 * time.Millisecond
	// unlimitedDeltaBytes is the payload size up to which deltas bypass the send
	// limiter.
	smallDelta = 16 << 10
)

func newDownstream() downstream {
	return downstream{
		children:  map[protocol.NodeID]*child{},
		admission: distribution.NewSendLimiter(distribution.DefaultBytesPerSecond, distribution.DefaultBurstBytes),
	}
}

// handleFetch handles a child's fetch. A fetch that is accepted is held open until
// a reply is due.
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

// checkChild decides whether the sender may be a child. Only a root accepts
// relays; leaves are accepted by a root or by a relay directly below one. The tree
// therefore has at most three levels.
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

// rootChildLimit returns how many children this root accepts, which depends on the
// kind of the sender.
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

// isCurrentFetch reports whether the first fetch of a new child is current. A late
// duplicate, sent by an earlier incarnation or before the sender switched to
// another parent, is not: counting the sender here as well as there would delay
// the in-force version.
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

// supersedeHeldFetch ends a held fetch with an empty reply. The child waits only
// for its newest fetch.
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

// removeChild removes a child that has switched to another parent, left or died.
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

// acknowledgements aggregates the versions held by this daemon and its subtree.
//
// Invariant: a child is counted from its first fetch until every lease that this
// daemon granted to it has certainly expired, or until it is known to be counted
// elsewhere. Otherwise a version could be declared in force while the child may
// still serve an older one.
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

// hasLeaseExpired reports whether every lease granted to a child has certainly
// expired.
func (n *Node) leaseEnded(known *child) bool {
	return n.now-known.heardAt > marginOf(n.config.Timing.ServingLease)
}

// sweepChildren marks the acknowledgements as changed when a child's lease has
// expired since the last sweeps.
func (n *Node) sweepChildren() {
	margin := marginOf(n.config.Timing.ServingLease)
	for _, id := range n.downstream.order {
		silent := n.now - n.downstream.children[id].heardAt
		if silent > margin && silent <= margin+2*sweepInterval {
			n.downstream.acksChanged = true
		}
	}
}

// answerHeldFetches answers the held fetches for which a reply is due.
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

// canGrantLease reports whether a child may be granted a lease. Its record must
// have reached the root: the root then waits for the child before it declares a
// version in force, even if this daemon crashes.
func (n *Node) mayLease(known *child) bool {
	reported := n.root.active || (n.upstream.joined && n.upstream.reported >= known.joinedAt)
	return reported && n.holding.grantUntil > n.now
}

// answerFetch answers a held fetch.
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

// membersToSend returns the records that a child is missing: those that changed
// since its cursor or, without a cursor, those in the buckets whose checksums
// differ.
func (n *Node) membersFor(known *child) []protocol.Member {
	if known.cursor == 0 && len(known.sums) == membership.BucketCount {
		return n.roster.InDifferingBuckets(membership.BucketSums(known.sums))
	}
	return n.roster.Since(known.cursor)
}

// admitDelta applies the send limiter to a delta. It returns the time to wait and
// false when the delta may not be sent now.
func (n *Node) admit(delta *protocol.Delta) (time.Duration, bool) {
	if delta == nil || len(delta.Payload) <= smallDelta {
		return 0, true
	}
	return n.downstream.admission.Admit(n.now, len(delta.Payload))
}

// grantLease returns the lease of a child, counted from when the child sent its
// request: at most the remainder of this daemon's own lease, plus the time for
// which the request was held here, which has certainly passed at the child too.
func (n *Node) grant(known *child) time.Duration {
	if !n.mayLease(known) {
		return 0
	}
	known.leased = true
	remaining := min(n.config.Timing.ServingLease, n.holding.grantUntil-n.now)
	return remaining + n.now - known.heardAt
}
