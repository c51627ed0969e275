package node

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
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

// avoidance leaves one life of a daemon out for a while. When it returns with
// nothing remembered it is tried like any other.
type avoidance struct {
	until       time.Duration
	incarnation protocol.Incarnation
	// refusals counts how often it has refused since a parent was last found.
	refusals int
	// refused is set when the daemon answered, but is no parent now.
	refused bool
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
	// discoverInterval is how often seeds are asked when no parent is found.
	discoverInterval = time.Second
)

var parentBackoff = distribution.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// refusalBackoff is how long a daemon that answered AskAnother is left out. It
// starts well below the serving lease: after a root has gone all candidates
// refuse for a moment, and a daemon must find the next one while it may still
// serve.
var refusalBackoff = distribution.Backoff{Base: 400 * time.Millisecond, Max: 6 * time.Second}

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

// candidates returns the daemons to fetch from, best first. A daemon that
// relays fetches from a root only, so the tree is never deeper than root,
// relay, leaf; it finds itself in the list where it would be root.
func (n *Node) candidates() []protocol.Member {
	if n.relaying() {
		return n.tree().Roots()
	}
	return n.tree().Parents()
}

// chooseParent returns the current parent while it works, else the best
// candidate that is not avoided.
func (n *Node) chooseParent() (protocol.Member, bool) {
	if n.upstream.joined && !n.avoided(n.upstream.target.ID) {
		return n.upstream.target, true
	}
	return n.bestCandidate()
}

// bestCandidate returns the first candidate that is not avoided. This daemon
// itself is the best once everyone before it cannot be reached. While one
// before it answers that it is no root yet, that one is about to become it.
func (n *Node) bestCandidate() (protocol.Member, bool) {
	betterAnswers := false
	for _, candidate := range n.candidates() {
		if candidate.ID == n.self.ID {
			if n.canBeRoot() && (!betterAnswers || n.now-n.upstream.orphanedAt > rootPatience) {
				return n.self, true
			}
			continue
		}
		if !n.avoided(candidate.ID) {
			return candidate, true
		}
		betterAnswers = betterAnswers || n.upstream.avoid[candidate.ID].refused
	}
	return protocol.Member{}, false
}

func (n *Node) avoided(id protocol.NodeID) bool {
	avoid, found := n.upstream.avoid[id]
	return found && n.now < avoid.until && avoid.incarnation == n.incarnationOf(id)
}

// incarnationOf returns the life of a daemon that the roster knows; 0 for none.
func (n *Node) incarnationOf(id protocol.NodeID) protocol.Incarnation {
	member, _ := n.roster.Get(id)
	return member.Incarnation
}

func (n *Node) avoidFor(id protocol.NodeID, period time.Duration, refused bool) {
	if n.upstream.avoid == nil {
		n.upstream.avoid = map[protocol.NodeID]avoidance{}
	}
	refusals := n.upstream.avoid[id].refusals
	if refused {
		refusals++
	}
	n.upstream.avoid[id] = avoidance{until: n.now + period, incarnation: n.incarnationOf(id), refused: refused, refusals: refusals}
}

// reconsiderParent returns to the preferred parent after a jittered time.
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
	if n.now < up.preferAt {
		return
	}
	n.planPreferred()
	best, found := n.bestCandidate()
	if !found || best.ID == up.target.ID || n.holding.staged != nil {
		return
	}
	if best.ID == n.self.ID {
		n.becomeRoot()
		return
	}
	former := up.link
	n.fetchFrom(best)
	up.former = &former
}

// planPreferred sets the jittered time at which the preferred parent is tried.
func (n *Node) planPreferred() {
	interval := min(preferInterval<<min(n.upstream.preferRefusals, 8), preferMax)
	n.upstream.preferAt = n.now + interval/2 + distribution.Jitter(n.random, interval)
}

// returnToFormer goes on with the former parent after a preferred one was
// tried in vain, and reports whether there is one.
func (n *Node) returnToFormer() bool {
	up := &n.upstream
	if up.former == nil {
		return false
	}
	up.link = *up.former
	up.former = nil
	up.joined = true
	up.nextAt = n.now
	up.preferRefusals++
	n.planPreferred()
	return true
}

// leaveParent gives up the parent; the next tick chooses again.
func (n *Node) leaveParent(avoid time.Duration) {
	up := &n.upstream
	if avoid > 0 {
		n.avoidFor(up.target.ID, avoid, false)
	}
	up.joined = false
	up.former = nil
	up.token = 0
	up.nextAt = n.now
	up.orphanedAt = n.now
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
	for _, member := range n.roster.SinceBelow(up.reported) {
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

// adoptTarget turns to another parent. The own record that says so carries a
// new sequence, so that the former parent stops answering for this daemon.
func (n *Node) adoptTarget(target protocol.Member) {
	up := &n.upstream
	up.link = link{target: target, leaseAt: n.now}
	up.joined = false
	up.former = nil
	n.planPreferred()
	n.self.Sequence++
	for _, id := range n.downstream.order {
		n.roster.ReportAgain(id)
	}
}

// join records that the target has taken this daemon in.
func (n *Node) join() {
	up := &n.upstream
	n.log("parent_joined", LogField{Key: "parent", Value: string(up.target.ID)})
	up.joined = true
	up.former = nil
	up.urgentAt = 0
	for id, avoid := range up.avoid {
		avoid.refusals = 0
		up.avoid[id] = avoid
	}
	// A new sequence: greetings may have carried the one of the fetch with
	// another parent, and two records must never share one.
	n.changeSelf(func(self *protocol.Member) {
		self.Parent = up.target.ID
		self.Root = false
	})
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

func (n *Node) fetchFailed(from protocol.NodeID) {
	up := &n.upstream
	up.failures++
	n.avoidFor(from, parentBackoff.Max/2+parentBackoff.Wait(n.random, up.failures), false)
	if n.returnToFormer() {
		return
	}
	if up.joined {
		up.orphanedAt = n.now
		n.log("parent_lost", LogField{Key: "parent", Value: string(from)})
	}
	up.joined = false
	up.nextAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
}

// fetchRefused turns elsewhere. The refusal names daemons that may accept.
func (n *Node) fetchRefused(from protocol.NodeID, reply *protocol.FetchReply) {
	up := &n.upstream
	for _, member := range reply.Members {
		n.heardPeer(member)
	}
	wasJoined := up.joined
	up.joined = false
	up.failures++
	if reply.Incarnation != 0 && reply.Incarnation != up.incarnation && up.incarnation != 0 {
		up.target = protocol.Member{}
		up.nextAt = n.now + distribution.Jitter(n.random, idleSpacing)
		return
	}
	if wasJoined {
		up.orphanedAt = n.now
	}
	period := refusalBackoff.Wait(n.random, up.avoid[from].refusals+1)
	if n.relaying() {
		period = distribution.Jitter(n.random, rootRefusal)
	}
	n.avoidFor(from, max(reply.RetryAfter, period), reply.Code == result.AskAnother || reply.Code == result.NotReadyYet)
	if n.returnToFormer() {
		return
	}
	up.nextAt = n.now + distribution.Jitter(n.random, idleSpacing)
}

// takeReply takes what the parent has to say. It leaves a parent that answers
// but has not extended the lease for long: that one is cut off from above while
// another may not be. A parent that is slow to answer is not judged by it.
func (n *Node) takeReply(sentAt time.Duration, reply *protocol.FetchReply) {
	up := &n.upstream
	if !up.joined {
		n.join()
	}
	up.failures = 0
	up.reported = up.sentCursor
	up.memberCursor = reply.MemberCursor
	up.incarnation = reply.Incarnation
	for _, member := range reply.Members {
		n.heardMember(member, membership.Above)
	}
	if reply.Keepers.Revision > n.holding.keepers.Revision {
		n.adoptKeepers(reply.Keepers)
	}
	n.heardRegions(reply.Regions)
	n.raiseInForce(reply.InForce)
	progressed := n.takeReleased(reply)
	n.takeLease(sentAt, reply)
	if n.now-up.leaseAt > n.config.Timing.ServingLease/2 {
		n.leaveParent(avoidStale)
		return
	}
	up.nextAt = n.now
	if !progressed && len(reply.Members) == 0 && n.now-sentAt < idleSpacing {
		up.nextAt = n.now + idleSpacing
	}
	up.nextAt = max(up.nextAt, n.now+reply.RetryAfter)
	if n.holding.staged != nil {
		up.nextAt = max(up.nextAt, n.now+swapPatience)
	}
	n.fetchSoon()
}

// takeReleased stages the version that the parent released and reports whether
// it is newer.
func (n *Node) takeReleased(reply *protocol.FetchReply) bool {
	floorVersion, _ := n.floor()
	if reply.Released < floorVersion {
		return false
	}
	if n.relaying() != n.upstream.sentRelaying {
		// The reply speaks of the other scope: "nothing changed" would be taken
		// of the wrong content. The next fetch asks in the new role.
		return false
	}
	if n.relaying() {
		return n.takeForStore(reply)
	}
	if reply.Released <= n.held() || n.holding.staged != nil {
		return false
	}
	next, err := n.nextSnapshot(reply)
	if err != nil {
		n.refuseDelta(err)
		return false
	}
	n.holding.wholeWanted = false
	n.stage(next)
	return true
}

// nextSnapshot builds what a leaf holds next: the delta applied in whole, or
// the same content at the new version.
func (n *Node) nextSnapshot(reply *protocol.FetchReply) (*snapshot.Snapshot, error) {
	current := n.holding.current
	if reply.Delta == nil && current != nil {
		return current.AtVersion(reply.Released), nil
	}
	if reply.Delta == nil {
		return nil, result.New(result.DigestMismatch, "no delta although nothing is held")
	}
	base := snapshot.Empty()
	if current != nil {
		base = current
	}
	resources, err := snapshot.Apply(base.Encoded, reply.Delta)
	if err != nil {
		return nil, err
	}
	return snapshot.Rebuild(base, reply.Released, resources)
}

// takeForStore puts the released version into the store, from where children
// and this daemon itself take it.
func (n *Node) takeForStore(reply *protocol.FetchReply) bool {
	store := n.holding.store
	if reply.Released <= store.Version() {
		return false
	}
	if reply.Delta == nil {
		store.Advance(reply.Released)
	} else if err := n.applyToStore(reply); err != nil {
		n.refuseDelta(err)
		return false
	}
	n.holding.wholeWanted = false
	n.adoptFromStore()
	return true
}

func (n *Node) applyToStore(reply *protocol.FetchReply) error {
	var current []resource.Encoded
	if newest := n.holding.store.Newest(); newest != nil {
		current = newest.Encoded
	}
	resources, err := snapshot.Apply(current, reply.Delta)
	if err != nil {
		return err
	}
	return n.holding.store.Add(reply.Released, resources)
}

// refuseDelta drops what cannot be applied whole, so that the next fetch asks
// for a whole snapshot.
func (n *Node) refuseDelta(err error) {
	n.log("delta_refused", LogField{Key: "error", Value: err.Error()})
	n.upstream.nextAt = n.now + distribution.Jitter(n.random, parentBackoff.Base)
	n.holding.wholeWanted = true
}

// takeLease takes the lease of a reply: it runs from the sending of the
// request, so that time on the way is never served twice.
func (n *Node) takeLease(sentAt time.Duration, reply *protocol.FetchReply) {
	if reply.LeaseRemaining <= 0 {
		return
	}
	until := sentAt + min(reply.LeaseRemaining, n.config.Timing.ServingLease+n.config.Timing.FetchWait)
	if until-n.now > n.config.Timing.ServingLease/4 {
		n.upstream.leaseAt = n.now
	}
	if n.relaying() && n.holding.store.Version() >= reply.Released {
		n.holding.grantUntil = max(n.holding.grantUntil, until)
	}
	n.extendServing(lease{until: until, version: reply.Released})
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
	if distribution.Equal(acks, n.upstream.sentAcks) {
		n.downstream.acksChanged = false
		return false
	}
	lowest, _ := distribution.Minimum(acks)
	return lowest >= n.holding.store.Version() || n.now-n.upstream.urgentAt >= ackGather
}

func (n *Node) membersAreUrgent() bool {
	up := &n.upstream
	if n.roster.Cursor() == up.sentCursor || n.now-up.urgentAt < memberGather {
		return false
	}
	if len(n.roster.SinceBelow(up.sentCursor)) > 0 {
		return true
	}
	up.sentCursor = n.roster.Cursor()
	return false
}

// discover asks a random daemon for others, when no parent is known.
func (n *Node) discover() {
	up := &n.upstream
	if n.now < up.discoverAt {
		return
	}
	up.discoverAt = n.now + discoverInterval/2 + distribution.Jitter(n.random, discoverInterval)
	n.greet()
}

func versionField(key string, version protocol.Version) LogField {
	return LogField{Key: key, Value: strconv.FormatUint(uint64(version), 10)}
}
