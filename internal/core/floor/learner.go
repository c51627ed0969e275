package floor

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
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
type Learner struct {
	config LearnerConfig
}

// NewLearner returns a Learner that knows nothing yet.
func NewLearner(config LearnerConfig) *Learner { return &Learner{config: config} }

// Tick lets time pass and asks whom it is time to ask.
func (l *Learner) Tick(now time.Duration) []Output { return nil }

// HandleReply takes the answer to an AskFloor; nil when none came.
func (l *Learner) HandleReply(now time.Duration, token Token, reply *protocol.FloorReply) []Output {
	return nil
}

// HandleHead takes a head that the daemon's own reader read after ReadHead.
func (l *Learner) HandleHead(now time.Duration, version protocol.Version, sets []protocol.KeeperSet) []Output {
	return nil
}

// AddPeers adds members that may be asked.
func (l *Learner) AddPeers(peers []protocol.Member) {}

// Floor returns the floor; false while it is not known.
func (l *Learner) Floor() (protocol.Version, bool) { return 0, false }

// Keepers returns the newest keeper set of the region that was learnt.
func (l *Learner) Keepers() protocol.KeeperSet { return protocol.KeeperSet{} }

// Incarnation returns the highest incarnation of this daemon that a peer
// remembers.
func (l *Learner) Incarnation() protocol.Incarnation { return 0 }

// Peers returns the live members that were learnt on the way.
func (l *Learner) Peers() []protocol.Member { return nil }
