package floor

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Time-outs and limits of a Learner.
const (
	// floorRequestTimeout bounds a request that a daemon answers from memory.
	floorRequestTimeout = time.Second
	// freshHeadTimeout bounds a request for which a reader first reads the head.
	freshHeadTimeout = 3 * time.Second
	// roundWaitBase and roundWaitCap are the first and the largest limit of the
	// jittered wait between rounds; the limit doubles with each round.
	roundWaitBase = 200 * time.Millisecond
	roundWaitCap  = 3 * time.Second
	// otherDaemonsPerRound is how many daemons outside the keeper set are queried
	// in a round.
	otherDaemonsPerRound = 3
	// roundsBeforeFreshHead is the number of rounds before a reader is asked
	// for a fresh head.
	roundsBeforeFreshHead = 2
	// maxPeers bounds the number of known peers.
	maxPeers = 64
)

// LearnerConfig holds the settings of a Learner.
type LearnerConfig struct {
	ID     protocol.NodeID
	Region string
	// Seeds are control addresses that are queried in addition to the known
	// peers. At the start no peer is known.
	Seeds []string
	// RandomSeed makes the Learner's random choices repeatable.
	RandomSeed uint64
}

// Learner determines the version floor of a daemon that has just started.
//
// Invariant: the floor is at least every version released in the region before
// the Learner was created. It is derived only from information sent after that
// time: a head read from the platform, or replies from a read quorum of keepers.
// The quorum is one of the newest keeper set that any reply contains.
// docs/FLOOR.md explains why that suffices while keeper sets change and keepers
// restart.
type Learner struct {
	config LearnerConfig
	random *rand.Rand

	keeperSet    protocol.KeeperSet
	validReplies map[protocol.NodeID]bool
	highestFloor protocol.Version
	peers        map[protocol.NodeID]protocol.Member

	lastToken   Token
	pending     map[Token]bool
	roundCount  int
	nextRoundAt time.Duration

	isFloorKnown bool
	floor        protocol.Version
	incarnation  protocol.Incarnation
}

// NewLearner returns a Learner whose floor is not known yet.
func NewLearner(config LearnerConfig) *Learner {
	return &Learner{
		config:       config,
		random:       rand.New(rand.NewPCG(config.RandomSeed, config.RandomSeed)),
		keeperSet:    protocol.KeeperSet{Region: config.Region},
		validReplies: map[protocol.NodeID]bool{},
		peers:        map[protocol.NodeID]protocol.Member{},
		pending:      map[Token]bool{},
	}
}

// Tick starts a round of requests when one is due.
func (l *Learner) Tick(now time.Duration) []Output {
	if l.isFloorKnown || now < l.nextRoundAt {
		return nil
	}
	return l.startRound(now)
}

// startRound queries the keepers without a valid reply and some other daemons
// and, after roundsBeforeFreshHead rounds, also asks a reader for a fresh head.
func (l *Learner) startRound(now time.Duration) []Output {
	limit := min(roundWaitCap, roundWaitBase<<min(l.roundCount, 8))
	l.nextRoundAt = now + limit/4 + time.Duration(l.random.Int64N(int64(limit)))
	l.roundCount++
	outputs := []Output{ReadHead{}}
	for _, address := range l.keeperAddresses() {
		outputs = append(outputs, l.newRequest(address, false))
	}
	for _, address := range l.otherAddresses() {
		outputs = append(outputs, l.newRequest(address, false))
	}
	if l.roundCount > roundsBeforeFreshHead {
		if address, found := l.readerAddress(); found {
			outputs = append(outputs, l.newRequest(address, true))
		}
	}
	return outputs
}

func (l *Learner) newRequest(address string, freshHead bool) Output {
	l.lastToken++
	l.pending[l.lastToken] = true
	return SendFloorRequest{
		Token:   l.lastToken,
		Address: address,
		Timeout: lo.Ternary(freshHead, freshHeadTimeout, floorRequestTimeout),
		Request: &protocol.FloorRequest{
			Format:    protocol.Format,
			Region:    l.config.Region,
			From:      l.config.ID,
			FreshHead: freshHead,
		},
	}
}

// keeperAddresses returns the addresses of the keepers without a valid reply.
func (l *Learner) keeperAddresses() []string {
	var addresses []string
	for _, member := range allMembers(l.keeperSet) {
		if l.validReplies[member.ID] || member.ID == l.config.ID {
			continue
		}
		address := member.ControlAddress
		if peer, known := l.peers[member.ID]; known {
			address = peer.ControlAddress
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// otherAddresses returns some random addresses of other daemons and seeds. Their
// replies may contain newer keeper sets, readers and other members.
func (l *Learner) otherAddresses() []string {
	addresses := l.knownAddresses(func(protocol.Member) bool { return true })
	addresses = lo.Without(lo.Uniq(append(addresses, l.config.Seeds...)), l.keeperAddresses()...)
	l.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), otherDaemonsPerRound)]
}

// readerAddress returns the address of a random reader, or of a random seed if
// no reader is known.
func (l *Learner) readerAddress() (string, bool) {
	addresses := l.knownAddresses(func(member protocol.Member) bool { return member.Reader })
	if len(addresses) == 0 {
		addresses = l.config.Seeds
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[l.random.IntN(len(addresses))], true
}

// knownAddresses returns the addresses of the wanted peers, ordered by id.
func (l *Learner) knownAddresses(isWanted func(protocol.Member) bool) []string {
	members := lo.Filter(l.Peers(), func(member protocol.Member, _ int) bool {
		return isWanted(member) && member.ID != l.config.ID
	})
	return lo.Map(members, func(member protocol.Member, _ int) string { return member.ControlAddress })
}

// HandleReply handles the reply to a SendFloorRequest; nil means that it timed
// out or failed.
func (l *Learner) HandleReply(now time.Duration, token Token, reply *protocol.FloorReply) []Output {
	if !l.pending[token] {
		return nil
	}
	delete(l.pending, token)
	if reply == nil || l.isFloorKnown {
		return nil
	}
	l.AddPeers(reply.Peers)
	l.incarnation = max(l.incarnation, reply.Incarnation)
	isNewSet := l.updateKeeperSet(reply.Keepers)
	if reply.FromHead && reply.Code == result.OK {
		l.setFloor(reply.Floor)
		return nil
	}
	l.countReply(reply)
	if l.hasQuorum() {
		l.setFloor(max(l.highestFloor, l.keeperSet.Revision))
		return nil
	}
	if isNewSet {
		return l.startRound(now)
	}
	return nil
}

// updateKeeperSet replaces the keeper set by a newer one and reports whether it
// did.
func (l *Learner) updateKeeperSet(set protocol.KeeperSet) bool {
	if set.Region != l.config.Region || set.Revision <= l.keeperSet.Revision {
		return false
	}
	l.keeperSet = set
	return true
}

// countReply records the reply of a valid keeper. NotKeeper counts as well:
// such a daemon is valid, and may not have received the set yet that it is in.
func (l *Learner) countReply(reply *protocol.FloorReply) {
	isValid := reply.Code == result.OK || reply.Code == result.NotKeeper
	if !isValid || reply.From == "" || reply.From == l.config.ID {
		return
	}
	l.validReplies[reply.From] = true
	l.highestFloor = max(l.highestFloor, reply.Floor)
}

// hasQuorum reports whether the replies form a read quorum of the newest set
// and, while it is being changed, of the previous one. The floor is then at least
// the newest set's Revision, the version that put that set into the head: every
// version released with an older set in the head is below that version.
func (l *Learner) hasQuorum() bool {
	if l.keeperSet.Revision == 0 {
		return false
	}
	return HasReadQuorum(l.keeperSet, func(id protocol.NodeID) bool { return l.validReplies[id] })
}

func (l *Learner) setFloor(floor protocol.Version) {
	l.isFloorKnown = true
	l.floor = floor
	l.pending = map[Token]bool{}
}

// HandleHead handles a head that the daemon's own reader has read after
// ReadHead. No request follows, so it never returns an output.
func (l *Learner) HandleHead(now time.Duration, version protocol.Version, sets []protocol.KeeperSet) []Output {
	if l.isFloorKnown {
		return nil
	}
	for _, set := range sets {
		l.updateKeeperSet(set)
	}
	l.setFloor(version)
	return nil
}

// AddPeers adds or updates members that may be queried.
func (l *Learner) AddPeers(peers []protocol.Member) {
	for _, peer := range peers {
		known, found := l.peers[peer.ID]
		if !found && len(l.peers) >= maxPeers {
			continue
		}
		if !found || peer.Incarnation > known.Incarnation || peer.Incarnation == known.Incarnation && peer.Sequence >= known.Sequence {
			l.peers[peer.ID] = peer
		}
	}
}

// Floor returns the floor, and false while it is not known.
func (l *Learner) Floor() (protocol.Version, bool) { return l.floor, l.isFloorKnown }

// Keepers returns the newest keeper set of the region received so far.
func (l *Learner) Keepers() protocol.KeeperSet { return l.keeperSet }

// Incarnation returns the highest incarnation of this daemon that any reply
// contained.
func (l *Learner) Incarnation() protocol.Incarnation { return l.incarnation }

// Peers returns the members received in replies or added, ordered by id.
func (l *Learner) Peers() []protocol.Member {
	members := lo.Values(l.peers)
	slices.SortFunc(members, func(a, b protocol.Member) int { return lo.Ternary(a.ID < b.ID, -1, 1) })
	return members
}
