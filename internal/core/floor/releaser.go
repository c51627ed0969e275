package floor

import (
	"maps"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// The periods of a Releaser.
const (
	// storeTimeout is how long a keeper may take to answer.
	storeTimeout = time.Second
	// storeRetry is how often keepers that have not answered are asked again.
	storeRetry = 250 * time.Millisecond
	// patience is how long a release may take before a newer target replaces it.
	patience = 500 * time.Millisecond
)

// Releaser runs at a region's root: it stores versions at the keepers and says
// which version may be released to proxies.
//
// What must hold: before a version is released there was one moment at which a
// write quorum of every set that counts remembered it, all at once. Keepers
// forget when they restart, so adding up answers is not enough: one keeper
// could restart and learn its floor from keepers that have not stored yet,
// while its earlier answer still counts. Hence two rounds. Once a write quorum
// has answered, these keepers are asked again; only those that still have the
// same incarnation count, and so at the moment between the rounds all of them
// remembered the version. Two roots at once do no harm, as each release has
// its own quorum and stores only grow.
type Releaser struct {
	id        protocol.NodeID
	region    string
	addresses map[protocol.NodeID]string
	released  protocol.Version
	// current is the release under way; next waits for it.
	current   *release
	next      *target
	lastToken Token
	pending   map[Token]pendingStore
	retryAt   time.Duration
}

// target is a version to be released and the set in the head at that version.
type target struct {
	term    uint64
	version protocol.Version
	set     protocol.KeeperSet
}

// release is one target on its way.
type release struct {
	target  target
	started time.Duration
	// stored says which incarnation of a keeper has stored the version.
	stored map[protocol.NodeID]protocol.Incarnation
	// round counts the confirming rounds; 0 while storing.
	round int
	// asked are the keepers that the confirming round asks, as of its start;
	// confirmed are those that have answered with the same incarnation.
	asked     map[protocol.NodeID]protocol.Incarnation
	confirmed map[protocol.NodeID]bool
}

// pendingStore is a request without an answer yet.
type pendingStore struct {
	keeper  protocol.NodeID
	release *release
	round   int
}

// NewReleaser returns a Releaser that has released nothing. Its tokens start
// anew: answers to a former Releaser must not be handed to it.
func NewReleaser(id protocol.NodeID, region string) *Releaser {
	return &Releaser{
		id:        id,
		region:    region,
		addresses: map[protocol.NodeID]string{},
		pending:   map[Token]pendingStore{},
	}
}

// UpdateMembers tells where members are now. A keeper that returned at another
// address is asked there, and not where the set says.
func (r *Releaser) UpdateMembers(members []protocol.Member) {
	for _, member := range members {
		r.addresses[member.ID] = member.ControlAddress
	}
}

// SetTarget names the newest version and the region's keeper set at it. While
// a release is under way the target waits, unless the set has changed or the
// release takes long: keepers may have been lost that the new set replaces.
func (r *Releaser) SetTarget(now time.Duration, term uint64, version protocol.Version, set protocol.KeeperSet) []Output {
	next := target{term: term, version: version, set: set}
	if version <= r.released || r.current != nil && version <= r.current.target.version {
		return nil
	}
	wait := r.current != nil && r.current.target.set.Revision == set.Revision && now < r.current.started+patience
	if wait {
		r.next = &next
		return nil
	}
	return r.start(now, next)
}

func (r *Releaser) start(now time.Duration, next target) []Output {
	r.next = nil
	r.pending = map[Token]pendingStore{}
	r.current = &release{target: next, started: now, stored: map[protocol.NodeID]protocol.Incarnation{}}
	return r.ask(now)
}

// Tick lets time pass and retries stores that are due.
func (r *Releaser) Tick(now time.Duration) []Output {
	if r.current == nil {
		return nil
	}
	if r.next != nil && now >= r.current.started+patience {
		return r.start(now, *r.next)
	}
	if now < r.retryAt {
		return nil
	}
	if r.current.round > 0 && len(r.current.stored) > len(r.current.asked) {
		r.current.startRound()
	}
	return r.ask(now)
}

// ask sends the release to the keepers that it needs answers from.
func (r *Releaser) ask(now time.Duration) []Output {
	r.retryAt = now + storeRetry
	var outputs []Output
	for _, member := range allMembers(r.current.target.set) {
		if !r.current.needs(member.ID) {
			continue
		}
		outputs = append(outputs, r.store(member))
	}
	return outputs
}

func (r *Releaser) store(member protocol.KeeperMember) Output {
	r.lastToken++
	r.pending[r.lastToken] = pendingStore{keeper: member.ID, release: r.current, round: r.current.round}
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
			Term:    r.current.target.term,
			Version: r.current.target.version,
			Keepers: r.current.target.set,
		},
	}
}

// HandleReply takes the answer to a StoreVersion; nil when none came.
func (r *Releaser) HandleReply(now time.Duration, token Token, reply *protocol.StoreReply) []Output {
	asked, known := r.pending[token]
	delete(r.pending, token)
	if !known || asked.release != r.current || reply == nil {
		return nil
	}
	usable := reply.Code == result.OK && reply.From == asked.keeper && reply.Stored >= r.current.target.version
	if !usable {
		return nil
	}
	changed := r.current.take(asked, reply)
	if r.current.confirmedQuorum() {
		return r.finish(now)
	}
	if !changed {
		return nil
	}
	return r.ask(now)
}

// finish releases the current target and goes on with the next.
func (r *Releaser) finish(now time.Duration) []Output {
	r.released = r.current.target.version
	r.current = nil
	r.pending = map[Token]pendingStore{}
	if r.next == nil {
		return nil
	}
	return r.start(now, *r.next)
}

// Released returns the highest version that may be put in force.
func (r *Releaser) Released() protocol.Version { return r.released }

// take counts an answer. It reports whether a confirming round starts.
func (c *release) take(asked pendingStore, reply *protocol.StoreReply) bool {
	before, had := c.stored[asked.keeper]
	c.stored[asked.keeper] = reply.Incarnation
	restarted := had && before != reply.Incarnation
	if c.round == 0 || restarted {
		return c.tryRound()
	}
	if asked.round == c.round && c.asked[asked.keeper] == reply.Incarnation {
		c.confirmed[asked.keeper] = true
	}
	return false
}

// tryRound starts a confirming round if a write quorum has stored.
func (c *release) tryRound() bool {
	quorum := HasWriteQuorum(c.target.set, func(id protocol.NodeID) bool { _, has := c.stored[id]; return has })
	if !quorum {
		return false
	}
	c.startRound()
	return true
}

// startRound asks all keepers that have stored by now. Only these count in the
// round: one that stores later was not among them at its start.
func (c *release) startRound() {
	c.round++
	c.asked = maps.Clone(c.stored)
	c.confirmed = map[protocol.NodeID]bool{}
}

// needs reports whether an answer of a keeper could still help.
func (c *release) needs(id protocol.NodeID) bool {
	_, stored := c.stored[id]
	if c.round == 0 {
		return !stored
	}
	return !c.confirmed[id]
}

func (c *release) confirmedQuorum() bool {
	return c.round > 0 && HasWriteQuorum(c.target.set, func(id protocol.NodeID) bool { return c.confirmed[id] })
}
