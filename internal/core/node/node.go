package node

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// Node is the state machine of one daemon. It is not safe for concurrent use.
type Node struct {
	config Config
	// now is the time of the current step and startedAt that of the first.
	now       time.Duration
	startedAt time.Duration
	started   bool
	random    *rand.Rand
	// effects collects the effects of the current step.
	effects []Effect
	// wallClock is the newest wall-clock time received, at wallClockAt. It is used for
	// times in status and for the time of acceptance of keeper sets.
	wallClock   time.Time
	wallClockAt time.Duration

	calls         callTable
	self          protocol.Member
	roster        *membership.Roster
	view          rosterView
	start         start
	local         localState
	upstream      upstream
	downstream    downstream
	root          root
	regions       regions
	readerSide    readerSide
	operators     operators
	startingPeers startingPeers
	leaving       bool
	// publishedAt is when PublishMembers was last emitted; publishedCursor is the
	// roster's cursor at that time.
	publishedAt     time.Duration
	publishedCursor membership.Cursor
	// lastSweep is when sweep last ran.
	lastSweep time.Duration
}

// sweepInterval is the minimum time between runs of sweep.
const sweepInterval = time.Second

// publishInterval is the minimum time between publications of member records to the
// data path; changes in between are batched.
const publishInterval = 200 * time.Millisecond

// New returns a node that has not been stepped yet.
func New(config Config) *Node {
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	random := rand.New(rand.NewPCG(config.RandomSeed, uint64(config.Incarnation)))
	node := &Node{
		config: config,
		random: random,
		roster: membership.NewRoster(),
		self: protocol.Member{
			ID:             config.ID,
			Incarnation:    config.Incarnation,
			Sequence:       1,
			State:          protocol.MemberAlive,
			ControlAddress: config.ControlAddress,
			DataAddress:    config.DataAddress,
			Region:         config.Region,
			Zone:           config.Zone,
			Service:        config.Service,
			Backend:        config.Backend,
			Slots:          config.Slots,
		},
	}
	node.calls = newCallTable()
	node.start = newStart(config, random.Uint64())
	node.local = newLocalState()
	node.downstream = newDownstream()
	node.root = newRoot(config)
	node.regions = newRegions()
	node.readerSide = newReaderSide(config, random.Uint64())
	node.operators = newOperators()
	return node
}

// Step processes one message at the monotonic time now and returns the effects that
// the shell must carry out, in order. It never blocks. Times must not decrease
// between calls.
func (n *Node) Step(now time.Duration, message Message) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	if !n.started {
		n.begin()
	}
	n.dispatch(message)
	n.flush()
	return n.effects
}

func (n *Node) dispatch(message Message) {
	switch received := message.(type) {
	case Tick:
		n.setWallClock(received.WallClock)
		n.tick()
	case PeerRequest:
		n.handlePeerRequest(received)
	case PeerReply:
		n.handlePeerReply(received)
	case PlatformReply:
		n.handlePlatformReply(received)
	case PlatformEvent:
		n.handlePlatformEvent(received)
	case WatchEnded:
		n.handleWatchEnded(received)
	case OperatorRequest:
		n.handleOperatorRequest(received)
	case SnapshotInForce:
		n.handleSnapshotInForce(received.Version)
	case BackendReport:
		n.handleBackendReport(received.State)
	case Leave:
		n.handleLeave()
	case Stopped:
		n.handleStopped()
	}
}

// tick runs the time-driven work.
func (n *Node) tick() {
	n.tickReader()
	n.tickStart()
	n.tickRoot()
	n.tickUpstream()
	n.tickOperators()
	if n.now-n.lastSweep >= sweepInterval {
		n.lastSweep = n.now
		n.sweep()
	}
}

// sweep runs the periodic work that iterates over all children or members.
func (n *Node) sweep() {
	n.markAcksChangedOnLeaseExpiry()
	n.updateSilentMembers()
	n.addRegionsOfLiveMembers()
	n.startingPeers.expire(n.now)
	n.roster.RemoveExpired(n.now)
}

// flush runs after every message: held fetches may now have a reply, and the parent
// and the data path may need an update.
func (n *Node) flush() {
	n.readerSide.reader.SetFloor(n.newestVersion())
	n.answerHeldFetches()
	n.sendUrgentUpdates()
	n.publishMembers()
}

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

func (n *Node) log(name string, fields ...LogField) {
	n.emit(LogEvent{Name: name, Fields: fields})
}

func (n *Node) setWallClock(clock time.Time) {
	if clock.IsZero() {
		return
	}
	n.wallClock = clock
	n.wallClockAt = n.now
}

// estimatedWallClock returns the estimated wall-clock time; zero when none was
// received.
func (n *Node) estimatedWallClock() time.Time {
	if n.wallClock.IsZero() {
		return n.wallClock
	}
	return n.wallClock.Add(n.now - n.wallClockAt)
}

// rosterView caches results computed from the whole roster.
type rosterView struct {
	tree            *distribution.Tree
	treeAt          time.Duration
	treeRevision    uint64
	expectedMembers distribution.ExpectedMembers
	// expectedRevision is the roster's StructureRevision from which expectedMembers was
	// computed; 0 before the first computation.
	expectedRevision uint64
}

// treeInterval is the minimum time between computations of the tree. A slightly
// outdated tree is harmless: at worst it leads to another parent.
const treeInterval = 500 * time.Millisecond

// tree returns this daemon's view of its region's tree.
func (n *Node) tree() *distribution.Tree {
	stale := n.view.treeRevision != n.roster.StructureRevision() && n.now-n.view.treeAt >= treeInterval
	if n.view.tree == nil || stale || n.now == n.startedAt {
		n.view.tree = distribution.NewTree(n.self, n.roster.All(), n.config.Timing.FanOut)
		n.view.treeAt = n.now
		n.view.treeRevision = n.roster.StructureRevision()
	}
	return n.view.tree
}

// expectedMembers returns the members that must hold a version before it is in force. It
// always reflects the current roster.
func (n *Node) expectedMembers() distribution.ExpectedMembers {
	if n.view.expectedRevision != n.roster.StructureRevision() {
		n.view.expectedMembers = distribution.NewExpectedMembers(n.config.Region, n.roster.All())
		n.view.expectedRevision = n.roster.StructureRevision()
	}
	return n.view.expectedMembers
}

// liveInRegion returns the live members of a region.
func (n *Node) liveInRegion(region string) []protocol.Member {
	return n.roster.Where(func(member protocol.Member) bool {
		return member.Region == region && membership.Live(member)
	})
}
