package node

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// parentCandidates returns the daemons to fetch from, best first. A relaying daemon
// fetches from a root only, so the tree is never deeper than root, relay, leaf. The
// list of a relaying daemon contains the daemon itself at its rank as a root
// candidate.
func (n *Node) parentCandidates() []protocol.Member {
	if n.isRelaying() {
		return n.tree().RootCandidates()
	}
	parents := append(n.tree().ParentCandidates(), n.upstream.hintedParents...)
	return lo.UniqBy(parents, func(member protocol.Member) protocol.NodeID { return member.ID })
}

// addHints adds the daemons listed in a refusal to the candidates. They are needed
// until this daemon knows all members, since its own tree lacks some relays until
// then.
func (n *Node) addHints(hints []protocol.Member) {
	const limit = 2 * maxHints
	for _, member := range hints {
		n.mergePeer(member)
	}
	hinted := append(slices.Clone(hints), n.upstream.hintedParents...)
	hinted = lo.UniqBy(hinted, func(member protocol.Member) protocol.NodeID { return member.ID })
	hinted = lo.Reject(hinted, func(member protocol.Member, _ int) bool { return member.ID == n.self.ID })
	n.upstream.hintedParents = hinted[:min(len(hinted), limit)]
}

// chooseParent returns the current parent, unless it is avoided, or else the best
// candidate.
func (n *Node) chooseParent() (protocol.Member, bool) {
	if n.upstream.joined && !n.isAvoided(n.upstream.target.ID) {
		return n.upstream.target, true
	}
	return n.bestCandidate()
}

// bestCandidate returns the first candidate that is not avoided. This daemon counts as a
// candidate only if it can be root. If a better-ranked candidate has answered that it
// accepts no children yet, this daemon counts only once betterRootTimeout has passed since
// the loss of the parent, so that the better-ranked candidate can become root. If bestCandidate
// returns this daemon, it becomes root.
func (n *Node) bestCandidate() (protocol.Member, bool) {
	betterRefused := false
	for _, candidate := range n.parentCandidates() {
		if candidate.ID == n.self.ID {
			if n.canBeRoot() && (!betterRefused || n.now-n.upstream.parentLostAt > betterRootTimeout) {
				return n.self, true
			}
			continue
		}
		if !n.isAvoided(candidate.ID) {
			return candidate, true
		}
		betterRefused = betterRefused || n.upstream.avoidances[candidate.ID].lastRefused
	}
	return protocol.Member{}, false
}

func (n *Node) isAvoided(id protocol.NodeID) bool {
	avoid, found := n.upstream.avoidances[id]
	return found && n.now < avoid.until && avoid.incarnation == n.incarnationOf(id)
}

// incarnationOf returns the incarnation of a daemon in the roster; 0 if it is not
// listed.
func (n *Node) incarnationOf(id protocol.NodeID) protocol.Incarnation {
	member, _ := n.roster.Get(id)
	return member.Incarnation
}

// avoidFor excludes a daemon as a parent for the period. refused is true when the daemon
// answered a fetch with AskAnother or NotReadyYet. It is false when the daemon answered
// with another code, did not answer, or no longer extends the lease.
func (n *Node) avoidFor(id protocol.NodeID, period time.Duration, refused bool) {
	if n.upstream.avoidances == nil {
		n.upstream.avoidances = map[protocol.NodeID]avoidance{}
	}
	refusalCount := n.upstream.avoidances[id].refusalCount
	if refused {
		refusalCount++
	}
	n.upstream.avoidances[id] = avoidance{until: n.now + period, incarnation: n.incarnationOf(id), lastRefused: refused, refusalCount: refusalCount}
}

// avoidance excludes one incarnation of a daemon as a parent for a limited time. A
// daemon that has restarted is not avoided.
type avoidance struct {
	until       time.Duration
	incarnation protocol.Incarnation
	// refusalCount is the number of refusals by the avoided daemon since the local daemon
	// last joined a parent.
	refusalCount int
	// lastRefused is set when the daemon answered the last fetch with AskAnother or
	// NotReadyYet.
	lastRefused bool
}

// reconsiderParent tries the preferred parent once preferredRetryAt has passed. A
// reader that can be root becomes root unless its parent is a reader.
func (n *Node) reconsiderParent() {
	up := &n.upstream
	if n.root.active || !up.joined {
		return
	}
	if n.readerSide.reader.IsReader() && !up.target.Reader && n.canBeRoot() {
		n.leaveParent(0)
		n.becomeRoot()
		return
	}
	if n.now < up.preferredRetryAt {
		return
	}
	n.schedulePreferredRetry()
	best, found := n.bestCandidate()
	if !found || best.ID == up.target.ID || n.local.stagedSnapshot != nil {
		return
	}
	if best.ID == n.self.ID {
		n.becomeRoot()
		return
	}
	former := up.link
	n.fetchFrom(best)
	up.formerLink = &former
}

// schedulePreferredRetry sets the jittered time at which the preferred parent is
// tried next.
func (n *Node) schedulePreferredRetry() {
	interval := min(preferredRetryInterval<<min(n.upstream.preferredFailures, 8), preferredRetryMax)
	n.upstream.preferredRetryAt = n.now + interval/2 + distribution.Jitter(n.random, interval)
}

// restoreFormerParent resumes fetching from the former parent after an attempt to
// join a preferred one failed. It reports whether there is a former parent.
func (n *Node) restoreFormerParent() bool {
	up := &n.upstream
	if up.formerLink == nil {
		return false
	}
	up.link = *up.formerLink
	up.formerLink = nil
	up.joined = true
	up.nextFetchAt = n.now
	up.preferredFailures++
	n.schedulePreferredRetry()
	return true
}

// leaveParent leaves the parent; the next tick chooses another. With a positive
// avoidPeriod, the former parent is avoided for that time.
func (n *Node) leaveParent(avoidPeriod time.Duration) {
	up := &n.upstream
	if avoidPeriod > 0 {
		n.avoidFor(up.target.ID, avoidPeriod, false)
	}
	up.joined = false
	up.formerLink = nil
	up.fetchToken = 0
	up.nextFetchAt = n.now
	up.parentLostAt = n.now
}

// switchTarget switches to another target. The sequence of this daemon's record is
// incremented, so that the former parent stops monitoring this daemon.
func (n *Node) switchTarget(target protocol.Member) {
	up := &n.upstream
	up.link = link{target: target, leaseExtendedAt: n.now}
	up.joined = false
	up.formerLink = nil
	n.schedulePreferredRetry()
	n.self.Sequence++
	for _, id := range n.downstream.sortedIDs {
		n.roster.MarkUnreported(id)
	}
}

// join records that the target has accepted this daemon as a child.
func (n *Node) join() {
	up := &n.upstream
	n.log("parent_joined", LogField{Key: "parent", Value: string(up.target.ID)})
	up.joined = true
	up.formerLink = nil
	up.hintedParents = nil
	up.lastUrgentAt = 0
	for id, avoid := range up.avoidances {
		avoid.refusalCount = 0
		up.avoidances[id] = avoid
	}
	// The sequence must be incremented: a probe may have sent the sequence of the
	// fetch in a record that names another parent, and two different records must
	// never share a sequence.
	n.updateSelf(func(self *protocol.Member) {
		self.Parent = up.target.ID
		self.Root = false
	})
}

// probeSeedIfDue probes a random seed for other daemons; it is called while no parent
// is known.
func (n *Node) probeSeedIfDue() {
	up := &n.upstream
	if n.now < up.nextSeedProbeAt {
		return
	}
	up.nextSeedProbeAt = n.now + seedProbeInterval/2 + distribution.Jitter(n.random, seedProbeInterval)
	n.probeSeed()
}

// refusalBackoff is the time for which a leaf avoids a daemon that refused its fetch,
// unless the refusal demands longer; a relaying daemon uses rootRetryMax instead. It
// starts well below the serving lease: after the loss of a root, all candidates refuse
// for a short time, and a daemon must find the next root before its own lease expires.
var refusalBackoff = distribution.Backoff{Base: 400 * time.Millisecond, Max: 6 * time.Second}

// parentBackoff determines how long a daemon is avoided after a fetch to which its reply
// was missing or had an unknown format. Its Base also limits the delay of the next fetch.
var parentBackoff = distribution.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

func (n *Node) handleFetchFailure(from protocol.NodeID) {
	up := &n.upstream
	up.failures++
	n.avoidFor(from, parentBackoff.Max/2+parentBackoff.Wait(n.random, up.failures), false)
	if n.restoreFormerParent() {
		return
	}
	if up.joined {
		up.parentLostAt = n.now
		n.log("parent_lost", LogField{Key: "parent", Value: string(from)})
	}
	up.joined = false
	up.nextFetchAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
}

// handleFetchRefusal leaves a target that refused a fetch. The refusal lists daemons
// that may accept.
func (n *Node) handleFetchRefusal(from protocol.NodeID, reply *protocol.FetchReply) {
	up := &n.upstream
	n.addHints(reply.Members)
	wasJoined := up.joined
	up.joined = false
	up.failures++
	if reply.Incarnation != 0 && reply.Incarnation != up.incarnation && up.incarnation != 0 {
		up.target = protocol.Member{}
		up.nextFetchAt = n.now + distribution.Jitter(n.random, idleFetchInterval)
		return
	}
	if wasJoined {
		up.parentLostAt = n.now
	}
	if root, _ := n.roster.Get(from); root.Root && up.sentRelaying && reply.Code == result.AskAnother {
		up.joinAsLeafUntil = n.now + leafPeriod
	}
	period := refusalBackoff.Wait(n.random, up.avoidances[from].refusalCount+1)
	if n.isRelaying() {
		period = distribution.Jitter(n.random, rootRetryMax)
	}
	n.avoidFor(from, max(reply.RetryAfter, period), reply.Code == result.AskAnother || reply.Code == result.NotReadyYet)
	if n.restoreFormerParent() {
		return
	}
	up.nextFetchAt = n.now + distribution.Jitter(n.random, idleFetchInterval)
}
