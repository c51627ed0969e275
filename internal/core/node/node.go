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
	// effects gathers what the current step asks for.
	effects []Effect
	// wallClock is the newest wall clock heard, at wallClockAt; status only.
	wallClock   time.Time
	wallClockAt time.Duration

	calls       calls
	self        protocol.Member
	roster      *membership.Roster
	view        view
	start       start
	holding     holding
	upstream    upstream
	downstream  downstream
	root        root
	regions     regions
	readerSide  readerSide
	operators   operators
	visitors    visitors
	leaving     bool
	publishedAt time.Duration
	published   membership.Cursor
	// lastSweep is when the slow work was last done.
	lastSweep time.Duration
}

// sweepInterval is how often work that looks at every member is done.
const sweepInterval = time.Second

// publishInterval gathers changes of members for the data path.
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
	node.calls = newCalls()
	node.start = newStart(config, random.Uint64())
	node.holding = newHolding()
	node.downstream = newDownstream()
	node.root = newRoot(config)
	node.regions = newRegions()
	node.readerSide = newReaderSide(config, random.Uint64())
	node.operators = newOperators()
	return node
}

// Step takes one message at the monotonic time now and returns what the shell
// has to do, in order. It never blocks. Times must not decrease between calls.
func (n *Node) Step(now time.Duration, message Message) []Effect {
	n.now = max(n.now, now)
	n.effects = nil
	if !n.started {
		n.begin()
	}
	n.dispatch(message)
	n.settle()
	return n.effects
}

func (n *Node) dispatch(message Message) {
	switch one := message.(type) {
	case Tick:
		n.heardWallClock(one.WallClock)
		n.tick()
	case PeerRequest:
		n.handlePeerRequest(one)
	case PeerReply:
		n.finishCall(one)
	case PlatformReply:
		n.handlePlatformReply(one)
	case PlatformEvent:
		n.handlePlatformEvent(one)
	case WatchEnded:
		n.handleWatchEnded(one)
	case OperatorRequest:
		n.handleOperatorRequest(one)
	case SnapshotInForce:
		n.handleSnapshotInForce(one.Version)
	case BackendReport:
		n.handleBackendReport(one.State)
	case Leave:
		n.handleLeave()
	case Stopped:
		n.handleStopped()
	}
}

// tick does what is due by time.
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

// sweep does the slow work that looks at every member.
func (n *Node) sweep() {
	n.sweepChildren()
	n.sweepMembers()
	n.sweepRegions()
	n.visitors.expire(n.now)
	n.roster.RemoveExpired(n.now)
}

// settle does what follows from any message: children that wait may have an
// answer now, and the parent may have news to hear.
func (n *Node) settle() {
	n.readerSide.reader.SetFloor(n.newestVersion())
	n.serveChildren()
	n.sendUrgentNews()
	n.publishMembers()
}

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

func (n *Node) log(name string, fields ...LogField) {
	n.emit(LogEvent{Name: name, Fields: fields})
}

func (n *Node) heardWallClock(clock time.Time) {
	if clock.IsZero() {
		return
	}
	n.wallClock = clock
	n.wallClockAt = n.now
}

// wallNow estimates the wall clock; zero when none was heard.
func (n *Node) wallNow() time.Time {
	if n.wallClock.IsZero() {
		return n.wallClock
	}
	return n.wallClock.Add(n.now - n.wallClockAt)
}

// view caches what is computed from the whole roster.
type view struct {
	tree          *distribution.Tree
	treeAt        time.Duration
	treeStructure uint64
	expected      distribution.ExpectedMembers
	// structure is that of expected; 0 before the first.
	structure uint64
}

// treeInterval is the least time between computations of the tree. A tree that
// is a little old only leads to another parent.
const treeInterval = 500 * time.Millisecond

// tree returns this daemon's view of its region's tree.
func (n *Node) tree() *distribution.Tree {
	stale := n.view.treeStructure != n.roster.StructureRevision() && n.now-n.view.treeAt >= treeInterval
	if n.view.tree == nil || stale || n.now == n.startedAt {
		n.view.tree = distribution.NewTree(n.self, n.roster.All(), n.config.Timing.FanOut)
		n.view.treeAt = n.now
		n.view.treeStructure = n.roster.StructureRevision()
	}
	return n.view.tree
}

// expected returns who must hold a version before it is in force; it is never
// older than the roster.
func (n *Node) expected() distribution.ExpectedMembers {
	if n.view.structure != n.roster.StructureRevision() {
		n.view.expected = distribution.NewExpectedMembers(n.config.Region, n.roster.All())
		n.view.structure = n.roster.StructureRevision()
	}
	return n.view.expected
}

// liveInRegion returns the members of a region that are counted.
func (n *Node) liveInRegion(region string) []protocol.Member {
	return n.roster.Where(func(member protocol.Member) bool {
		return member.Region == region && membership.Live(member)
	})
}
