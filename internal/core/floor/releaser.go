package floor

import (
	"maps"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Time-outs of a Releaser.
const (
	// storeTimeout bounds a store request.
	storeTimeout = time.Second
	// storeRetryInterval is the interval at which requests without a reply are
	// repeated.
	storeRetryInterval = 250 * time.Millisecond
	// supersedeAfter is how long a release may run before a newer target
	// replaces it.
	supersedeAfter = 500 * time.Millisecond
)

// Releaser runs on the root daemon of a region: it stores versions at the
// keepers and determines which version may be released to proxies.
//
// Invariant: before a version is released, there was one moment at which a
// write quorum of every active keeper set (see ActiveSets) held it. Keepers
// lose their state when they restart, so counting replies is not enough: a
// keeper could restart and obtain its floor from keepers that have not stored
// the version yet, while its earlier reply still counts. Hence there are two
// rounds. Once a write quorum has stored the version, these keepers are queried
// again, and only those with the same incarnation as before count; all of them
// held the version at the moment between the rounds. Two roots at the same time
// do no harm, as each release has its own quorum and stored versions only grow.
type Releaser struct {
	id              protocol.NodeID
	region          string
	addresses       map[protocol.NodeID]string
	releasedVersion protocol.Version
	// currentRelease is the release in progress; nextTarget is released after it.
	currentRelease *release
	nextTarget     *target
	lastToken      Token
	pending        map[Token]pendingStore
	retryAt        time.Duration
}

// target is a version to be released and the set in the head at that version.
type target struct {
	term    uint64
	version protocol.Version
	set     protocol.KeeperSet
}

// release is the state of releasing one target.
type release struct {
	target    target
	startedAt time.Duration
	// storedBy maps each keeper that has stored the version to its incarnation
	// in the latest such reply.
	storedBy map[protocol.NodeID]protocol.Incarnation
	// round counts the confirmation rounds; 0 while storing.
	round int
	// roundKeepers are the keepers that had stored the version at the start of
	// the confirmation round; confirmedKeepers are the roundKeepers that have
	// replied in this round with the same incarnation.
	roundKeepers     map[protocol.NodeID]protocol.Incarnation
	confirmedKeepers map[protocol.NodeID]bool
}

// pendingStore is a store request without a reply yet.
type pendingStore struct {
	keeper  protocol.NodeID
	release *release
	round   int
}

// NewReleaser returns a Releaser that has released nothing. It reuses the tokens
// of earlier Releasers, so replies to those must not be passed to it.
func NewReleaser(id protocol.NodeID, region string) *Releaser {
	return &Releaser{
		id:        id,
		region:    region,
		addresses: map[protocol.NodeID]string{},
		pending:   map[Token]pendingStore{},
	}
}

// UpdateMembers sets the current addresses of members. They take precedence over
// the addresses in the keeper set, as a keeper may restart at another address.
func (r *Releaser) UpdateMembers(members []protocol.Member) {
	for _, member := range members {
		r.addresses[member.ID] = member.ControlAddress
	}
}

// SetTarget sets the newest version and the region's keeper set at it. The
// target waits for a release in progress, unless the set has changed or that
// release takes longer than supersedeAfter: the new set may replace keepers
// whose loss blocks it.
func (r *Releaser) SetTarget(now time.Duration, term uint64, version protocol.Version, set protocol.KeeperSet) []Output {
	next := target{term: term, version: version, set: set}
	if version <= r.releasedVersion || r.currentRelease != nil && version <= r.currentRelease.target.version {
		return nil
	}
	mustWait := r.currentRelease != nil && r.currentRelease.target.set.Revision == set.Revision && now < r.currentRelease.startedAt+supersedeAfter
	if mustWait {
		r.nextTarget = &next
		return nil
	}
	return r.startRelease(now, next)
}

func (r *Releaser) startRelease(now time.Duration, next target) []Output {
	r.nextTarget = nil
	r.pending = map[Token]pendingStore{}
	r.currentRelease = &release{target: next, startedAt: now, storedBy: map[protocol.NodeID]protocol.Incarnation{}}
	return r.sendRequests(now)
}

// Tick repeats store requests that are due, and abandons a release that takes
// too long if a newer target waits.
func (r *Releaser) Tick(now time.Duration) []Output {
	if r.currentRelease == nil {
		return nil
	}
	if r.nextTarget != nil && now >= r.currentRelease.startedAt+supersedeAfter {
		return r.startRelease(now, *r.nextTarget)
	}
	if now < r.retryAt {
		return nil
	}
	if r.currentRelease.round > 0 && len(r.currentRelease.storedBy) > len(r.currentRelease.roundKeepers) {
		r.currentRelease.startRound()
	}
	return r.sendRequests(now)
}

// sendRequests sends a store request to each keeper whose reply is still needed.
func (r *Releaser) sendRequests(now time.Duration) []Output {
	r.retryAt = now + storeRetryInterval
	var outputs []Output
	for _, member := range allMembers(r.currentRelease.target.set) {
		if !r.currentRelease.needsReply(member.ID) {
			continue
		}
		outputs = append(outputs, r.newRequest(member))
	}
	return outputs
}

func (r *Releaser) newRequest(member protocol.KeeperMember) Output {
	r.lastToken++
	r.pending[r.lastToken] = pendingStore{keeper: member.ID, release: r.currentRelease, round: r.currentRelease.round}
	address, known := r.addresses[member.ID]
	if !known {
		address = member.ControlAddress
	}
	return SendStoreRequest{
		Token:   r.lastToken,
		Address: address,
		Timeout: storeTimeout,
		Request: &protocol.StoreRequest{
			Format:  protocol.Format,
			From:    r.id,
			Term:    r.currentRelease.target.term,
			Version: r.currentRelease.target.version,
			Keepers: r.currentRelease.target.set,
		},
	}
}

// HandleReply handles the reply to a SendStoreRequest; nil means that it timed
// out or failed.
func (r *Releaser) HandleReply(now time.Duration, token Token, reply *protocol.StoreReply) []Output {
	request, known := r.pending[token]
	delete(r.pending, token)
	if !known || request.release != r.currentRelease || reply == nil {
		return nil
	}
	isUsable := reply.Code == result.OK && reply.From == request.keeper && reply.Stored >= r.currentRelease.target.version
	if !isUsable {
		return nil
	}
	roundStarted := r.currentRelease.countReply(request, reply)
	if r.currentRelease.isConfirmed() {
		return r.finishRelease(now)
	}
	if !roundStarted {
		return nil
	}
	return r.sendRequests(now)
}

// finishRelease releases the current target and starts the next one.
func (r *Releaser) finishRelease(now time.Duration) []Output {
	r.releasedVersion = r.currentRelease.target.version
	r.currentRelease = nil
	r.pending = map[Token]pendingStore{}
	if r.nextTarget == nil {
		return nil
	}
	return r.startRelease(now, *r.nextTarget)
}

// Released returns the highest version that proxies may use.
func (r *Releaser) Released() protocol.Version { return r.releasedVersion }

// countReply counts a reply and reports whether a confirmation round starts.
func (c *release) countReply(request pendingStore, reply *protocol.StoreReply) bool {
	previous, found := c.storedBy[request.keeper]
	c.storedBy[request.keeper] = reply.Incarnation
	restarted := found && previous != reply.Incarnation
	if c.round == 0 || restarted {
		return c.startRoundIfQuorum()
	}
	if request.round == c.round && c.roundKeepers[request.keeper] == reply.Incarnation {
		c.confirmedKeepers[request.keeper] = true
	}
	return false
}

// startRoundIfQuorum starts a confirmation round if a write quorum has stored
// the version.
func (c *release) startRoundIfQuorum() bool {
	hasQuorum := HasWriteQuorum(c.target.set, func(id protocol.NodeID) bool { _, found := c.storedBy[id]; return found })
	if !hasQuorum {
		return false
	}
	c.startRound()
	return true
}

// startRound starts a confirmation round. Only keepers that have stored the
// version before its start count in it.
func (c *release) startRound() {
	c.round++
	c.roundKeepers = maps.Clone(c.storedBy)
	c.confirmedKeepers = map[protocol.NodeID]bool{}
}

// needsReply reports whether a keeper's reply is still needed for a quorum.
func (c *release) needsReply(id protocol.NodeID) bool {
	_, hasStored := c.storedBy[id]
	if c.round == 0 {
		return !hasStored
	}
	return !c.confirmedKeepers[id]
}

func (c *release) isConfirmed() bool {
	return c.round > 0 && HasWriteQuorum(c.target.set, func(id protocol.NodeID) bool { return c.confirmedKeepers[id] })
}
