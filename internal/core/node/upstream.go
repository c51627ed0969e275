package node

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// link is what is shared with one parent.
type link struct {
	// target is the daemon fetched from.
	target protocol.Member
	// memberCursor and incarnation are the parent's, from its last reply.
	memberCursor uint64
	incarnation  protocol.Incarnation
	// reported is the own change log position that the parent has taken.
	reported membership.Cursor
	// leaseAt is when the parent last extended the lease.
	leaseAt time.Duration
}

// upstream is this daemon's side of the calls to its parent.
type upstream struct {
	link
	// joined is set once the target has answered OK.
	joined bool
	// hinted are daemons that refusals have named since the last parent.
	hinted []protocol.Member
	// former is the parent that works while a preferred one is tried.
	former  *link
	token   Token
	sentAt  time.Duration
	counter uint64
	// nextAt is when the next fetch may be sent.
	nextAt   time.Duration
	failures int
	// avoid holds daemons that failed or refused, until when.
	avoid map[protocol.NodeID]avoidance
	// sentCursor is the own change log position at the fetch under way.
	sentCursor membership.Cursor
	sentAcks   []protocol.Acknowledgement
	// leafUntil is until when this daemon joins as a leaf although it ranks as a
	// relay: the root knows more members and had no place for it.
	leafUntil time.Duration
	// sentRelaying is whether the fetch under way asked for the whole
	// configuration, as a relay does.
	sentRelaying bool
	urgentAt     time.Duration
	// preferAt is when the preferred parent is tried again; preferRefusals
	// counts how often it was tried in vain.
	preferAt       time.Duration
	preferRefusals int
	// discoverAt is when others are asked for parents again.
	discoverAt time.Duration
	// orphanedAt is when the last parent was lost.
	orphanedAt time.Duration
}

// The periods of the upstream side.
const (
	// replySlack is added to the wait of a fetch before it counts as failed.
	replySlack = time.Second
	// avoidStale is how long a parent that no longer extends the lease is left
	// out.
	avoidStale = 2 * time.Second
	// preferInterval is the mean time until the preferred parent is tried again;
	// it doubles with each refusal, up to preferMax: the preferred one may be
	// full.
	preferInterval = 20 * time.Second
	preferMax      = 10 * time.Minute
	// rootPreferInterval is the same for a root that finds a better one.
	rootPreferInterval = 2 * time.Second
	// ackGather and memberGather bound how often news interrupts a held fetch.
	ackGather    = 200 * time.Millisecond
	memberGather = 100 * time.Millisecond
	// idleSpacing is the least time between fetches that bring nothing.
	idleSpacing = 200 * time.Millisecond
	// swapPatience is how long a swap may take before the parent is told, by a
	// fetch without it, that this daemon is alive and behind.
	swapPatience = time.Second
	// rootPatience is how long a daemon waits for a better one to become root.
	rootPatience = 4 * time.Second
	// rootRefusal bounds the wait before a candidate for root is asked again.
	rootRefusal = 400 * time.Millisecond
	// leafPeriod is how long a daemon that ranks as a relay, but was refused by a
	// root, asks for a place as a leaf.
	leafPeriod = 5 * time.Second
	// discoverInterval is how often seeds are asked when no parent is found.
	discoverInterval = time.Second
)

// tickUpstream sends the next fetch when it is due.
func (n *Node) tickUpstream() {
	if _, known := n.floor(); !known || n.self.State == protocol.MemberLeft && n.upstream.reported >= n.roster.Cursor() {
		return
	}
	n.reconsiderParent()
	if n.root.active || n.upstream.token != 0 || n.now < n.upstream.nextAt || n.awaitsSwap() {
		return
	}
	target, found := n.chooseParent()
	if !found {
		n.discover()
		return
	}
	if target.ID == n.self.ID {
		n.becomeRoot()
		return
	}
	n.fetchFrom(target)
}

// awaitsSwap reports whether the next fetch waits for a swap, to acknowledge it.
func (n *Node) awaitsSwap() bool {
	return n.holding.staged != nil && n.now-n.holding.stagedAt < swapPatience
}

// fetchSoon sends the next fetch at once when none is under way.
func (n *Node) fetchSoon() {
	if n.root.active || n.upstream.token != 0 || !n.upstream.joined || n.awaitsSwap() {
		return
	}
	if n.now < n.upstream.nextAt {
		return
	}
	n.fetchFrom(n.upstream.target)
}

// fetchFrom sends a fetch. One is under way at a time: the parent answers the
// older of two at once, and this daemon then waits for the newer only.
func (n *Node) fetchFrom(target protocol.Member) {
	up := &n.upstream
	if up.target.ID != target.ID {
		n.adoptTarget(target)
	}
	up.counter++
	up.sentAt = n.now
	up.sentCursor = n.roster.Cursor()
	up.sentAcks = n.acknowledgements()
	request := &protocol.FetchRequest{
		Format:            protocol.Format,
		From:              n.self.ID,
		Incarnation:       n.self.Incarnation,
		Counter:           up.counter,
		KeeperRevision:    n.holding.keepers.Revision,
		Scope:             n.scopeToFetch(),
		Acknowledgements:  up.sentAcks,
		MemberCursor:      up.memberCursor,
		ParentIncarnation: up.incarnation,
		Wait:              n.config.Timing.FetchWait,
	}
	n.addRecords(request)
	request.Have, request.HaveDigest = n.haveOf(request.Scope)
	up.sentRelaying = request.Scope.Relay
	var token Token
	sentAt := n.now
	token = n.call(target.ControlAddress, request, n.config.Timing.FetchWait+replySlack, func(reply any) {
		n.finishFetch(token, target.ID, sentAt, reply)
	})
	up.token = token
}

// haveOf returns what a delta for the scope would start from.
func (n *Node) haveOf(scope protocol.Scope) (protocol.Version, resource.Digest) {
	if n.holding.wholeWanted {
		return 0, ""
	}
	if scope.Relay {
		return n.holding.store.Version(), n.holding.store.Digest()
	}
	if n.holding.current == nil {
		return 0, ""
	}
	return n.holding.current.Version, n.holding.current.Digest
}

// addRecords adds the records that the parent has not heard. Until it has
// taken this daemon in, the own record names it as the parent: only a parent
// that accepts the fetch merges it.
func (n *Node) addRecords(request *protocol.FetchRequest) {
	up := &n.upstream
	for _, member := range n.roster.SubtreeSince(up.reported) {
		if member.ID == n.self.ID {
			request.Self = member
			continue
		}
		request.Members = append(request.Members, member)
	}
	if !up.joined {
		request.Self = n.self
		request.Self.Parent = up.target.ID
		request.Self.Root = false
	}
	if up.memberCursor == 0 {
		sums := n.roster.Sums()
		request.RosterSums = sums[:]
	}
}

// finishFetch takes the parent's reply to the fetch with the token.
func (n *Node) finishFetch(token Token, from protocol.NodeID, sentAt time.Duration, body any) {
	up := &n.upstream
	if token != up.token {
		return
	}
	up.token = 0
	reply, ok := body.(*protocol.FetchReply)
	if !ok || reply == nil || !knownFormat(reply.Format) {
		n.fetchFailed(from)
		return
	}
	switch reply.Code {
	case result.OK:
		n.takeReply(sentAt, reply)
	case result.Overloaded:
		up.nextAt = n.now + reply.RetryAfter + distribution.Jitter(n.random, idleSpacing)
	default:
		n.fetchRefused(from, reply)
	}
}

// sendUrgentNews interrupts a held fetch with acknowledgements or records that
// the parent should hear now. The parent answers the held one at once.
func (n *Node) sendUrgentNews() {
	up := &n.upstream
	if n.root.active || !up.joined || up.token == 0 || n.holding.staged != nil || n.now-up.sentAt < idleSpacing/10 {
		return
	}
	if !n.acksAreUrgent() && !n.membersAreUrgent() {
		return
	}
	up.urgentAt = n.now
	n.fetchFrom(up.target)
}

// acksAreUrgent reports whether the fold has changed: at once when everyone
// below holds the newest version, gathered otherwise.
func (n *Node) acksAreUrgent() bool {
	if !n.downstream.acksChanged {
		return false
	}
	acks := n.acknowledgements()
	if distribution.EqualAcknowledgements(acks, n.upstream.sentAcks) {
		n.downstream.acksChanged = false
		return false
	}
	lowest, _ := distribution.MinimumVersion(acks)
	return lowest >= n.holding.store.Version() || n.now-n.upstream.urgentAt >= ackGather
}

func (n *Node) membersAreUrgent() bool {
	up := &n.upstream
	if n.roster.Cursor() == up.sentCursor || n.now-up.urgentAt < memberGather {
		return false
	}
	if len(n.roster.SubtreeSince(up.sentCursor)) > 0 {
		return true
	}
	up.sentCursor = n.roster.Cursor()
	return false
}

func versionField(key string, version protocol.Version) LogField {
	return LogField{Key: key, Value: strconv.FormatUint(uint64(version), 10)}
}
