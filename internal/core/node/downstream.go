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
	// sortedIDs lists the ids of the children in ascending order.
	sortedIDs []protocol.NodeID
	// acksChanged is set when the aggregated acknowledgements may have changed.
	acksChanged bool
	sendLimiter *distribution.SendLimiter
}

// child is a daemon that fetches from this one.
type child struct {
	id           protocol.NodeID
	incarnation  protocol.Incarnation
	fetchCounter uint64
	scope        protocol.Scope
	haveVersion  protocol.Version
	haveDigest   resource.Digest
	acks         []protocol.Acknowledgement
	// fetchedAt is when the last fetch arrived.
	fetchedAt time.Duration
	// cursor is the position in this daemon's change log up to which the child
	// has received records.
	cursor         membership.Cursor
	keeperRevision protocol.Version
	// rosterSums are the checksums of the child's roster by bucket. Without a
	// cursor they show which records the child is missing.
	rosterSums []uint64
	// joinCursor is the position in this daemon's change log just after the child's
	// record was added.
	joinCursor membership.Cursor
	// leaseGranted is set once this daemon has granted a lease to the child since
	// it joined.
	leaseGranted bool
	// heldToken is the token of the fetch that is held open; 0 for none.
	heldToken Token
	maxHold   time.Duration
}

// The limits on the children and on the replies to them.
const (
	// A root accepts children up to these multiples of the fan-out: leaves up to
	// the first, relays up to the second, readers and daemons with a subtree up
	// to the third. Leaves that arrive first when many daemons start together
	// thus cannot exclude a subtree.
	rootLimitLeaf    = 2
	rootLimitRelay   = 4
	rootLimitSubtree = 8
	// memberBatchDelay is how long member changes are batched before a held fetch
	// is answered.
	memberBatchDelay = 500 * time.Millisecond
	// maxHints is the maximum number of members listed in a refusal.
	maxHints = 8
	// notReadyRetryAfter is the retry delay in the refusal of a daemon that holds
	// no configuration yet.
	notReadyRetryAfter = 200 * time.Millisecond
	// unlimitedDeltaBytes is the payload size up to which deltas bypass the send
	// limiter.
	unlimitedDeltaBytes = 16 << 10
)

func newDownstream() downstream {
	return downstream{
		children:    map[protocol.NodeID]*child{},
		sendLimiter: distribution.NewSendLimiter(distribution.DefaultBytesPerSecond, distribution.DefaultBurstBytes),
	}
}

// handleFetch handles a child's fetch. A fetch that is accepted is held open until
// a reply is due.
func (n *Node) handleFetch(token Token, request *protocol.FetchRequest) {
	if !isKnownFormat(request.Format) {
		n.answerPeer(token, newRefusal(result.UnknownFormat, n.config.Timing.DeadAfter))
		return
	}
	if code := n.checkChild(request); code != result.OK {
		n.refuseFetch(token, request, code)
		return
	}
	sender, found := n.downstream.children[request.From]
	if found && sender.incarnation == request.Incarnation && request.Counter <= sender.fetchCounter {
		n.answerPeer(token, newRefusal(result.Overloaded, idleFetchInterval))
		return
	}
	if !found || sender.incarnation != request.Incarnation {
		if !n.isCurrentFetch(request) {
			n.refuseFetch(token, request, result.AskAnother)
			return
		}
		sender = n.addChild(request)
	}
	n.supersedeHeldFetch(sender)
	n.recordFetch(sender, token, request)
}

// checkChild decides whether the sender may be a child. Only a root accepts
// relays; leaves are accepted by a root or by a relay directly below one. The tree
// therefore has at most three levels.
func (n *Node) checkChild(request *protocol.FetchRequest) result.Code {
	if _, known := n.floor(); !known || n.local.store.Version() == 0 {
		if n.root.active {
			return result.NotReadyYet
		}
		return result.AskAnother
	}
	parentIsRoot := n.upstream.joined && n.upstream.target.Root
	_, isChild := n.downstream.children[request.From]
	switch {
	case n.leaving || request.From == n.self.ID:
		return result.AskAnother
	case n.root.active && (isChild || len(n.downstream.children) < n.rootChildLimit(request)):
		return result.OK
	case n.root.active || !parentIsRoot || request.Scope.Relay || !n.isRelaying():
		return result.AskAnother
	case isChild || len(n.downstream.children) < n.config.Timing.FanOut:
		return result.OK
	default:
		return result.AskAnother
	}
}

// rootChildLimit returns how many children this root accepts, which depends on the
// kind of the sender.
func (n *Node) rootChildLimit(request *protocol.FetchRequest) int {
	subtreeSize := lo.SumBy(request.Acknowledgements, func(ack protocol.Acknowledgement) uint32 { return ack.Count })
	fanOut := n.config.Timing.FanOut
	switch {
	case request.Self.Reader || subtreeSize > 1:
		return rootLimitSubtree * fanOut
	case request.Scope.Relay && n.tree().WouldBeRelay(request.Self):
		return rootLimitRelay * fanOut
	default:
		return rootLimitLeaf * fanOut
	}
}

// isCurrentFetch reports whether the first fetch of a new child is current. A late
// duplicate, sent by an earlier incarnation or before the sender switched to
// another parent, is not: a sender that is counted below two parents would
// delay the in-force version.
func (n *Node) isCurrentFetch(request *protocol.FetchRequest) bool {
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
		at, _ := slices.BinarySearch(n.downstream.sortedIDs, request.From)
		n.downstream.sortedIDs = slices.Insert(n.downstream.sortedIDs, at, request.From)
	}
	added := &child{id: request.From, incarnation: request.Incarnation}
	n.downstream.children[request.From] = added
	n.mergeMember(request.Self, membership.SourceSubtree)
	added.joinCursor = n.roster.Cursor()
	return added
}

// supersedeHeldFetch ends a held fetch with an empty reply. The child waits only
// for its newest fetch.
func (n *Node) supersedeHeldFetch(sender *child) {
	if sender.heldToken == 0 {
		return
	}
	n.answerPeer(sender.heldToken, &protocol.FetchReply{Format: protocol.Format, Code: result.OK, Incarnation: n.self.Incarnation})
	sender.heldToken = 0
}

func (n *Node) recordFetch(sender *child, token Token, request *protocol.FetchRequest) {
	sender.fetchCounter = request.Counter
	sender.scope = request.Scope
	sender.haveVersion = request.Have
	sender.haveDigest = request.HaveDigest
	sender.keeperRevision = request.KeeperRevision
	sender.fetchedAt = n.now
	sender.heldToken = token
	sender.maxHold = min(request.Wait, n.config.Timing.FetchWait)
	sender.cursor = 0
	sender.rosterSums = request.RosterSums
	if request.ParentIncarnation == n.self.Incarnation {
		sender.cursor = request.MemberCursor
	}
	if !distribution.EqualAcknowledgements(sender.acks, request.Acknowledgements) {
		sender.acks = request.Acknowledgements
		n.downstream.acksChanged = true
	}
	if request.Self.ID == request.From {
		n.mergeMember(request.Self, membership.SourceSubtree)
	}
	for _, member := range request.Members {
		n.mergeMember(member, membership.SourceSubtree)
	}
}

// removeChild removes a child that has switched to another parent, left or died.
func (n *Node) removeChild(member protocol.Member) {
	removed, found := n.downstream.children[member.ID]
	if !found || removed.incarnation > member.Incarnation {
		return
	}
	n.supersedeHeldFetch(removed)
	delete(n.downstream.children, member.ID)
	n.downstream.sortedIDs = slices.DeleteFunc(n.downstream.sortedIDs, func(id protocol.NodeID) bool { return id == member.ID })
	n.downstream.acksChanged = true
}

// acknowledgements aggregates the versions held by this daemon and its subtree.
//
// Invariant: a child is counted from its first fetch until every lease that this
// daemon granted to it has certainly expired, or until it is known to be counted
// elsewhere. Otherwise a version could be declared in force while the child may
// still serve an older one.
func (n *Node) acknowledgements() []protocol.Acknowledgement {
	aggregator := distribution.NewAcknowledgementAggregator()
	if membership.Live(n.self) {
		aggregator.Add(distribution.MemberAcknowledgement(n.self, n.currentVersion()))
	}
	for _, id := range n.downstream.sortedIDs {
		child := n.downstream.children[id]
		if n.hasLeaseExpired(child) {
			continue
		}
		for _, ack := range child.acks {
			aggregator.Add(ack)
		}
	}
	return aggregator.List()
}

// hasLeaseExpired reports whether every lease granted to a child has certainly
// expired.
func (n *Node) hasLeaseExpired(holder *child) bool {
	return n.now-holder.fetchedAt > withClockMargin(n.config.Timing.ServingLease)
}

// markAcksChangedOnLeaseExpiry marks the acknowledgements as changed when a child's lease
// has expired within the last two sweep intervals.
func (n *Node) markAcksChangedOnLeaseExpiry() {
	expiry := withClockMargin(n.config.Timing.ServingLease)
	for _, id := range n.downstream.sortedIDs {
		silentFor := n.now - n.downstream.children[id].fetchedAt
		if silentFor > expiry && silentFor <= expiry+2*sweepInterval {
			n.downstream.acksChanged = true
		}
	}
}

// answerHeldFetches answers the held fetches for which a reply is due.
func (n *Node) answerHeldFetches() {
	for _, id := range n.downstream.sortedIDs {
		child := n.downstream.children[id]
		if child.heldToken != 0 && n.isReplyDue(child) {
			n.answerFetch(child)
		}
	}
}

func (n *Node) isReplyDue(sender *child) bool {
	heldFor := n.now - sender.fetchedAt
	switch {
	case n.leaving, sender.cursor == 0, heldFor >= sender.maxHold:
		return true
	case n.local.store.Version() > sender.haveVersion:
		return true
	case !sender.leaseGranted && n.canGrantLease(sender):
		return true
	default:
		return n.roster.Cursor() != sender.cursor && heldFor >= memberBatchDelay
	}
}

// canGrantLease reports whether a child may be granted a lease. Its record must
// have reached the root: the root then waits for the child before it declares a
// version in force, even if this daemon crashes.
func (n *Node) canGrantLease(holder *child) bool {
	reported := n.root.active || (n.upstream.joined && n.upstream.reportedCursor >= holder.joinCursor)
	return reported && n.local.grantUntil > n.now
}

// answerFetch answers a held fetch.
func (n *Node) answerFetch(sender *child) {
	token := sender.heldToken
	sender.heldToken = 0
	if n.leaving {
		n.answerPeer(token, n.leavingReply(sender))
		return
	}
	store := n.local.store
	reply := &protocol.FetchReply{
		Format:       protocol.Format,
		Code:         result.OK,
		Released:     store.Version(),
		InForce:      n.local.inForce,
		Incarnation:  n.self.Incarnation,
		Members:      n.membersToSend(sender),
		MemberCursor: n.roster.Cursor(),
	}
	if store.Version() > sender.haveVersion {
		reply.Delta = store.Delta(sender.scope, sender.haveVersion, sender.haveDigest)
		if wait, admitted := n.admitDelta(reply.Delta); !admitted {
			n.answerPeer(token, newRefusal(result.Overloaded, wait))
			return
		}
	}
	if sender.keeperRevision < n.local.keepers.Revision {
		reply.Keepers = n.local.keepers
	}
	if sender.cursor == 0 || store.Version() > sender.haveVersion {
		reply.Regions = n.allRegions()
	}
	reply.LeaseRemaining = n.grantLease(sender)
	n.answerPeer(token, reply)
}

// membersToSend returns the records that a child is missing: those that changed
// since its cursor or, without a cursor, those in the buckets whose checksums
// differ.
func (n *Node) membersToSend(receiver *child) []protocol.Member {
	if receiver.cursor == 0 && len(receiver.rosterSums) == membership.BucketCount {
		return n.roster.InDifferingBuckets(membership.BucketSums(receiver.rosterSums))
	}
	return n.roster.Since(receiver.cursor)
}

// admitDelta applies the send limiter to a delta. It returns the time to wait and
// false when the delta may not be sent now.
func (n *Node) admitDelta(delta *protocol.Delta) (time.Duration, bool) {
	if delta == nil || len(delta.Payload) <= unlimitedDeltaBytes {
		return 0, true
	}
	return n.downstream.sendLimiter.Admit(n.now, len(delta.Payload))
}

// grantLease returns the lease of a child, measured from when the child sent its
// request: at most the remainder of this daemon's own lease, plus the time for
// which the request was held here, which has certainly passed at the child too.
func (n *Node) grantLease(holder *child) time.Duration {
	if !n.canGrantLease(holder) {
		return 0
	}
	holder.leaseGranted = true
	remaining := min(n.config.Timing.ServingLease, n.local.grantUntil-n.now)
	return remaining + n.now - holder.fetchedAt
}
