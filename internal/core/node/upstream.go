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

// link is the state of the connection to one parent.
type link struct {
	// target is the daemon that fetches are sent to.
	target protocol.Member
	// memberCursor and incarnation are the parent's change log position and
	// incarnation, from its last reply.
	memberCursor uint64
	incarnation  protocol.Incarnation
	// reportedCursor is the position in this daemon's change log up to which the
	// parent has received records.
	reportedCursor membership.Cursor
	// leaseExtendedAt is when the parent last sent a lease that ended more than a
	// quarter of the serving lease later.
	leaseExtendedAt time.Duration
}

// upstream holds the state of the fetches from this daemon's parent.
type upstream struct {
	link
	// joined is set once the target has answered OK.
	joined bool
	// hintedParents are the daemons listed in refusals since this daemon last joined a
	// parent.
	hintedParents []protocol.Member
	// formerLink is the link to the working parent while a preferred parent is tried;
	// nil otherwise.
	formerLink   *link
	fetchToken   Token
	sentAt       time.Duration
	fetchCounter uint64
	// nextFetchAt is when the next fetch may be sent.
	nextFetchAt time.Duration
	failures    int
	// avoidances holds the daemons that did not answer a fetch, refused one or no
	// longer extend the lease, each with the time until which it is avoided.
	avoidances map[protocol.NodeID]avoidance
	// sentCursor is the position in this daemon's change log up to which the
	// records of the subtree have been sent.
	sentCursor membership.Cursor
	sentAcks   []protocol.Acknowledgement
	// joinAsLeafUntil is the time until which this daemon joins as a leaf although it
	// ranks as a relay by its own roster, because the root, which knows more members, refused
	// it as a relay.
	joinAsLeafUntil time.Duration
	// sentRelaying is set if the last fetch requested the whole configuration, as
	// a relay does.
	sentRelaying bool
	// lastUrgentAt is when sendUrgentUpdates last interrupted a held fetch.
	lastUrgentAt time.Duration
	// preferredRetryAt is when the preferred parent is tried again;
	// preferredFailures counts the failed attempts.
	preferredRetryAt  time.Duration
	preferredFailures int
	// nextSeedProbeAt is when a seed is probed next while no parent is known.
	nextSeedProbeAt time.Duration
	// parentLostAt is when the last parent was lost.
	parentLostAt time.Duration
}

// The periods of the fetches from the parent and of the search for one.
const (
	// replySlack is added to the hold time of a fetch for its timeout.
	replySlack = time.Second
	// staleParentAvoidance is how long a parent that no longer extends the lease is
	// avoided.
	staleParentAvoidance = 2 * time.Second
	// preferredRetryInterval is the mean time until the preferred parent is tried
	// again. It doubles with each failure, up to preferredRetryMax, since the
	// preferred parent may be full.
	preferredRetryInterval = 20 * time.Second
	preferredRetryMax      = 10 * time.Minute
	// rootProbeInterval is the mean time between a root's probes for better roots.
	rootProbeInterval = 2 * time.Second
	// ackBatchInterval and memberBatchInterval are the minimum times between updates
	// that interrupt a held fetch.
	ackBatchInterval    = 200 * time.Millisecond
	memberBatchInterval = 100 * time.Millisecond
	// idleFetchInterval is the minimum time between fetches that return nothing new.
	idleFetchInterval = 200 * time.Millisecond
	// swapTimeout is how long the next fetch waits for a swap, in order to
	// acknowledge it. After that, a fetch shows the parent that this daemon is alive
	// and behind.
	swapTimeout = time.Second
	// betterRootTimeout is how long a daemon waits for a better candidate to become
	// root.
	betterRootTimeout = 4 * time.Second
	// rootRetryMax is the maximum time for which a relaying daemon avoids a root
	// candidate that refused, unless the refusal demands longer.
	rootRetryMax = 400 * time.Millisecond
	// leafPeriod is how long a daemon that ranks as a relay, but was refused by a
	// root, joins as a leaf instead.
	leafPeriod = 5 * time.Second
	// seedProbeInterval is the mean time between probes of seeds while no parent is
	// found.
	seedProbeInterval = time.Second
)

// tickUpstream chooses the parent and sends the next fetch when it is due.
func (n *Node) tickUpstream() {
	if _, known := n.floor(); !known || n.self.State == protocol.MemberLeft && n.upstream.reportedCursor >= n.roster.Cursor() {
		return
	}
	n.reconsiderParent()
	if n.root.active || n.upstream.fetchToken != 0 || n.now < n.upstream.nextFetchAt || n.isAwaitingSwap() {
		return
	}
	target, found := n.chooseParent()
	if !found {
		n.probeSeedIfDue()
		return
	}
	if target.ID == n.self.ID {
		n.becomeRoot()
		return
	}
	n.fetchFrom(target)
}

// isAwaitingSwap reports whether the next fetch waits for a swap, in order to
// acknowledge it.
func (n *Node) isAwaitingSwap() bool {
	return n.local.stagedSnapshot != nil && n.now-n.local.stagedAt < swapTimeout
}

// fetchIfDue sends the next fetch if it is due and none is in flight.
func (n *Node) fetchIfDue() {
	if n.root.active || n.upstream.fetchToken != 0 || !n.upstream.joined || n.isAwaitingSwap() {
		return
	}
	if n.now < n.upstream.nextFetchAt {
		return
	}
	n.fetchFrom(n.upstream.target)
}

// fetchFrom sends a fetch. A newer fetch replaces the one in flight: the parent
// answers the older at once, and this daemon ignores that reply.
func (n *Node) fetchFrom(target protocol.Member) {
	up := &n.upstream
	if up.target.ID != target.ID {
		n.switchTarget(target)
	}
	up.fetchCounter++
	up.sentAt = n.now
	up.sentCursor = n.roster.Cursor()
	up.sentAcks = n.acknowledgements()
	request := &protocol.FetchRequest{
		Format:            protocol.Format,
		From:              n.self.ID,
		Incarnation:       n.self.Incarnation,
		Counter:           up.fetchCounter,
		KeeperRevision:    n.local.keepers.Revision,
		Scope:             n.fetchScope(),
		Acknowledgements:  up.sentAcks,
		MemberCursor:      up.memberCursor,
		ParentIncarnation: up.incarnation,
		Wait:              n.config.Timing.FetchWait,
	}
	n.addUnreportedRecords(request)
	request.Have, request.HaveDigest = n.deltaBase(request.Scope)
	up.sentRelaying = request.Scope.Relay
	var token Token
	sentAt := n.now
	token = n.callPeer(target.ControlAddress, request, n.config.Timing.FetchWait+replySlack, func(reply any) {
		n.finishFetch(token, target.ID, sentAt, reply)
	})
	up.fetchToken = token
}

// deltaBase returns the version and digest from which a delta for the scope starts.
func (n *Node) deltaBase(scope protocol.Scope) (protocol.Version, resource.Digest) {
	if n.local.needsFullSnapshot {
		return 0, ""
	}
	if scope.Relay {
		return n.local.store.Version(), n.local.store.Digest()
	}
	if n.local.currentSnapshot == nil {
		return 0, ""
	}
	return n.local.currentSnapshot.Version, n.local.currentSnapshot.Digest
}

// addUnreportedRecords adds the records that the parent has not received. Until the
// target has accepted this daemon, the daemon's own record in the request already
// names it as the parent; a target that does not accept the fetch ignores the record.
func (n *Node) addUnreportedRecords(request *protocol.FetchRequest) {
	up := &n.upstream
	for _, member := range n.roster.SubtreeSince(up.reportedCursor) {
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
		sums := n.roster.BucketSums()
		request.RosterSums = sums[:]
	}
}

// finishFetch handles the parent's reply to the fetch with the token.
func (n *Node) finishFetch(token Token, from protocol.NodeID, sentAt time.Duration, body any) {
	up := &n.upstream
	if token != up.fetchToken {
		return
	}
	up.fetchToken = 0
	reply, ok := body.(*protocol.FetchReply)
	if !ok || reply == nil || !isKnownFormat(reply.Format) {
		n.handleFetchFailure(from)
		return
	}
	switch reply.Code {
	case result.OK:
		n.applyFetchReply(sentAt, reply)
	case result.Overloaded:
		up.nextFetchAt = n.now + reply.RetryAfter + distribution.Jitter(n.random, idleFetchInterval)
	default:
		n.handleFetchRefusal(from, reply)
	}
}

// sendUrgentUpdates sends another fetch while the parent holds one open, with
// acknowledgements or records that the parent should receive at once. The parent then
// ends the held fetch.
func (n *Node) sendUrgentUpdates() {
	up := &n.upstream
	if n.root.active || !up.joined || up.fetchToken == 0 || n.local.stagedSnapshot != nil || n.now-up.sentAt < idleFetchInterval/10 {
		return
	}
	if !n.acksAreUrgent() && !n.membersAreUrgent() {
		return
	}
	up.lastUrgentAt = n.now
	n.fetchFrom(up.target)
}

// acksAreUrgent reports whether changed acknowledgements are to be sent: at once when
// the whole subtree holds the newest version, batched otherwise.
func (n *Node) acksAreUrgent() bool {
	if !n.downstream.acksChanged {
		return false
	}
	acks := n.acknowledgements()
	if distribution.EqualAcknowledgements(acks, n.upstream.sentAcks) {
		n.downstream.acksChanged = false
		return false
	}
	minimum, _ := distribution.MinimumVersion(acks)
	return minimum >= n.local.store.Version() || n.now-n.upstream.lastUrgentAt >= ackBatchInterval
}

// membersAreUrgent reports whether changed records of the subtree are to be sent, which
// is done at most once per memberBatchInterval.
func (n *Node) membersAreUrgent() bool {
	up := &n.upstream
	if n.roster.Cursor() == up.sentCursor || n.now-up.lastUrgentAt < memberBatchInterval {
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
