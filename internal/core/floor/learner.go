package floor

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// The periods of a Learner.
const (
	// askTimeout is how long a daemon may take to answer.
	askTimeout = time.Second
	// headTimeout is how long a reader may take to read the head.
	headTimeout = 3 * time.Second
	// askBase and askCap bound the full-jitter wait between rounds.
	askBase = 200 * time.Millisecond
	askCap  = 3 * time.Second
	// strangersAsked is how many daemons outside the set are asked in a round.
	strangersAsked = 3
	// roundsBeforeHead is how many rounds only keepers are asked.
	roundsBeforeHead = 2
	// maxPeers bounds the members remembered.
	maxPeers = 64
)

// LearnerConfig is what a Learner is told at its start.
type LearnerConfig struct {
	ID     protocol.NodeID
	Region string
	// Seeds are control addresses to start from.
	Seeds []string
	// RandomSeed makes random choices repeatable.
	RandomSeed uint64
}

// Learner finds the version floor of a daemon that has just started.
//
// What must hold: the floor is at least every version released in the region
// before the Learner was made. It concludes only from a head that was read
// from the platform after that, or from answers, given after that, of read
// quorums of the newest keeper set that any answer told of. See docs/FLOOR.md
// for why that suffices while sets change and keepers restart.
type Learner struct {
	config LearnerConfig
	random *rand.Rand

	set     protocol.KeeperSet
	answers map[protocol.NodeID]bool
	highest protocol.Version
	peers   map[protocol.NodeID]protocol.Member

	lastToken Token
	pending   map[Token]bool
	rounds    int
	askAt     time.Duration

	known       bool
	floor       protocol.Version
	incarnation protocol.Incarnation
}

// NewLearner returns a Learner that knows nothing yet.
func NewLearner(config LearnerConfig) *Learner {
	return &Learner{
		config:  config,
		random:  rand.New(rand.NewPCG(config.RandomSeed, config.RandomSeed)),
		set:     protocol.KeeperSet{Region: config.Region},
		answers: map[protocol.NodeID]bool{},
		peers:   map[protocol.NodeID]protocol.Member{},
		pending: map[Token]bool{},
	}
}

// Tick lets time pass and asks whom it is time to ask.
func (l *Learner) Tick(now time.Duration) []Output {
	if l.known || now < l.askAt {
		return nil
	}
	return l.round(now)
}

// round asks the keepers that have not answered and some strangers, and, when
// keepers alone did not do, a reader.
func (l *Learner) round(now time.Duration) []Output {
	limit := min(askCap, askBase<<min(l.rounds, 8))
	l.askAt = now + limit/4 + time.Duration(l.random.Int64N(int64(limit)))
	l.rounds++
	outputs := []Output{ReadHead{}}
	for _, address := range l.keeperAddresses() {
		outputs = append(outputs, l.ask(address, false))
	}
	for _, address := range l.strangers() {
		outputs = append(outputs, l.ask(address, false))
	}
	if l.rounds > roundsBeforeHead {
		if address, found := l.readerAddress(); found {
			outputs = append(outputs, l.ask(address, true))
		}
	}
	return outputs
}

func (l *Learner) ask(address string, freshHead bool) Output {
	l.lastToken++
	l.pending[l.lastToken] = true
	return SendFloorRequest{
		Token:   l.lastToken,
		Address: address,
		Timeout: lo.Ternary(freshHead, headTimeout, askTimeout),
		Request: &protocol.FloorRequest{
			Format:    protocol.Format,
			Region:    l.config.Region,
			From:      l.config.ID,
			FreshHead: freshHead,
		},
	}
}

// keeperAddresses returns where the keepers without an answer are.
func (l *Learner) keeperAddresses() []string {
	var addresses []string
	for _, member := range allMembers(l.set) {
		if l.answers[member.ID] || member.ID == l.config.ID {
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

// strangers returns some addresses at random, from which newer sets, readers
// and other members are learnt.
func (l *Learner) strangers() []string {
	addresses := l.knownAddresses(func(protocol.Member) bool { return true })
	addresses = lo.Without(lo.Uniq(append(addresses, l.config.Seeds...)), l.keeperAddresses()...)
	l.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), strangersAsked)]
}

// readerAddress returns a reader at random; a seed when none is known.
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

// knownAddresses returns the addresses of peers, in a fixed order.
func (l *Learner) knownAddresses(wanted func(protocol.Member) bool) []string {
	members := lo.Filter(l.Peers(), func(member protocol.Member, _ int) bool {
		return wanted(member) && member.ID != l.config.ID
	})
	return lo.Map(members, func(member protocol.Member, _ int) string { return member.ControlAddress })
}

// HandleReply takes the answer to an AskFloor; nil when none came.
func (l *Learner) HandleReply(now time.Duration, token Token, reply *protocol.FloorReply) []Output {
	if !l.pending[token] {
		return nil
	}
	delete(l.pending, token)
	if reply == nil || l.known {
		return nil
	}
	l.AddPeers(reply.Peers)
	l.incarnation = max(l.incarnation, reply.Incarnation)
	newSet := l.follow(reply.Keepers)
	if reply.FromHead && reply.Code == result.OK {
		l.conclude(reply.Floor)
		return nil
	}
	l.count(reply)
	if l.hasQuorum() {
		l.conclude(max(l.highest, l.set.Revision))
		return nil
	}
	if newSet {
		return l.round(now)
	}
	return nil
}

// follow takes a newer keeper set and reports whether it was newer.
func (l *Learner) follow(set protocol.KeeperSet) bool {
	if set.Region != l.config.Region || set.Revision <= l.set.Revision {
		return false
	}
	l.set = set
	return true
}

// count notes the answer of a valid keeper. NotKeeper counts as well: the
// daemon is valid, and has only not heard yet of the set that it is in.
func (l *Learner) count(reply *protocol.FloorReply) {
	valid := reply.Code == result.OK || reply.Code == result.NotKeeper
	if !valid || reply.From == "" || reply.From == l.config.ID {
		return
	}
	l.answers[reply.From] = true
	l.highest = max(l.highest, reply.Floor)
}

// hasQuorum reports whether the answers are read quorums of the newest set.
// The revision of that set is itself a version, and part of the floor: all
// that was released with older sets in the head is below it.
func (l *Learner) hasQuorum() bool {
	if l.set.Revision == 0 {
		return false
	}
	return HasReadQuorum(l.set, func(id protocol.NodeID) bool { return l.answers[id] })
}

func (l *Learner) conclude(floor protocol.Version) {
	l.known = true
	l.floor = floor
	l.pending = map[Token]bool{}
}

// HandleHead takes a head that the daemon's own reader read after ReadHead.
func (l *Learner) HandleHead(now time.Duration, version protocol.Version, sets []protocol.KeeperSet) []Output {
	if l.known {
		return nil
	}
	for _, set := range sets {
		l.follow(set)
	}
	l.conclude(version)
	return nil
}

// AddPeers adds members that may be asked.
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

// Floor returns the floor; false while it is not known.
func (l *Learner) Floor() (protocol.Version, bool) { return l.floor, l.known }

// Keepers returns the newest keeper set of the region that was learnt.
func (l *Learner) Keepers() protocol.KeeperSet { return l.set }

// Incarnation returns the highest incarnation of this daemon that a peer
// remembers.
func (l *Learner) Incarnation() protocol.Incarnation { return l.incarnation }

// Peers returns the live members that were learnt on the way, by id.
func (l *Learner) Peers() []protocol.Member {
	members := lo.Values(l.peers)
	slices.SortFunc(members, func(a, b protocol.Member) int { return lo.Ternary(a.ID < b.ID, -1, 1) })
	return members
}
