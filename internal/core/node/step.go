// Package node is the state machine of one daemon. It is stepped with the
// time and one typed message and answers with typed effects; the daemon's
// shell, and the simulator, carry the effects out. It composes the reader,
// floor, membership, distribution and snapshot packages and holds no lock:
// one goroutine steps it.
package node

import (
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// Token pairs an effect with the message that answers it.
type Token uint64

// Message is an input of Step.
type Message interface{ message() }

// Tick lets time pass; the shell sends one every TickInterval.
type Tick struct {
	// WallClock is the shell's wall clock, shown in status; zero if not known.
	WallClock time.Time
}

// TickInterval is how often a shell ticks its node.
const TickInterval = 50 * time.Millisecond

// PeerRequest is a call from another daemon; the node answers with PeerAnswer
// carrying the same token, at once or later.
type PeerRequest struct {
	Token Token
	// Body is a *protocol.FetchRequest, *StoreRequest, *FloorRequest,
	// *SubmitRequest or *StatusRequest.
	Body any
}

// PeerReply answers a CallPeer effect.
type PeerReply struct {
	Token Token
	// Body is the matching reply type; nil when Failed.
	Body any
	// Failed is set when no answer came; the call may have had its effect.
	Failed bool
}

// PlatformReply answers a CallPlatform effect.
type PlatformReply struct {
	Token Token
	Reply object.Reply
}

// PlatformEvent is a watch event of the running watch.
type PlatformEvent struct {
	Watch Token
	Event object.Event
}

// WatchEnded reports that a watch broke.
type WatchEnded struct {
	Watch Token
	Code  result.Code
}

// OperatorRequest is a change or a question from this daemon's operators' API;
// the node answers with OperatorAnswer.
type OperatorRequest struct {
	Token Token
	// Body is a *protocol.SubmitRequest or *protocol.StatusRequest.
	Body any
	// WallClock is the shell's wall clock, for "accepted at".
	WallClock time.Time
}

// SnapshotInForce tells the node that the shell has swapped to a snapshot;
// only now may the node acknowledge it.
type SnapshotInForce struct {
	Version protocol.Version
}

// BackendReport is what the shell knows of the back end beside it.
type BackendReport struct {
	State protocol.EndpointState
}

// Leave starts the drain: the node tells the mesh that it is leaving.
type Leave struct{}

// Stopped follows Leave when the data path has stopped for good. The node then
// reports that it has left and is not counted any more; the shell steps it for
// a moment longer (half a second) so that the report goes out.
type Stopped struct{}

func (Tick) message()            {}
func (PeerRequest) message()     {}
func (PeerReply) message()       {}
func (PlatformReply) message()   {}
func (PlatformEvent) message()   {}
func (WatchEnded) message()      {}
func (OperatorRequest) message() {}
func (SnapshotInForce) message() {}
func (BackendReport) message()   {}
func (Leave) message()           {}
func (Stopped) message()         {}

// Effect is an output of Step.
type Effect interface{ effect() }

// CallPeer asks the shell to call another daemon.
type CallPeer struct {
	Token   Token
	Address string
	// Body is the pointer to a protocol request.
	Body any
	// Timeout is when the shell gives up and sends a failed PeerReply.
	Timeout time.Duration
}

// PeerAnswer answers a PeerRequest.
type PeerAnswer struct {
	Token Token
	Body  any
}

// CallPlatform asks the shell to call the platform.
type CallPlatform struct {
	Token   Token
	Call    object.Call
	Timeout time.Duration
}

// StartWatch asks the shell to watch the platform; events carry its token.
type StartWatch struct {
	Token  Token
	Prefix string
	From   object.Version
}

// StopWatch ends a watch.
type StopWatch struct{ Token Token }

// SwapSnapshot asks the shell to put a snapshot in force by one atomic
// pointer swap and then to send SnapshotInForce.
type SwapSnapshot struct {
	Snapshot *snapshot.Snapshot
}

// ExtendServing lets the shell's data path serve until Until on the node's
// clock. The path compares it with the clock on each call, so that a daemon
// that was paused does not serve when it wakes.
type ExtendServingLease struct{ Until time.Duration }

// PublishMembers gives the data path the newest member records, whole.
type PublishMembers struct {
	Members []protocol.Member
}

// OperatorAnswer answers an OperatorRequest.
type OperatorAnswer struct {
	Token Token
	Body  any
}

// LogEvent asks for one log line.
type LogEvent struct {
	// Name is a stable event name listed in docs/OPERATIONS.md.
	Name   string
	Fields []LogField
}

// LogField is one key and value of a log line. Values never hold secrets.
type LogField struct {
	Key   string
	Value string
}

func (CallPeer) effect()           {}
func (PeerAnswer) effect()         {}
func (CallPlatform) effect()       {}
func (StartWatch) effect()         {}
func (StopWatch) effect()          {}
func (SwapSnapshot) effect()       {}
func (ExtendServingLease) effect() {}
func (PublishMembers) effect()     {}
func (OperatorAnswer) effect()     {}
func (LogEvent) effect()           {}

// Config is what a node is told at its start.
type Config struct {
	ID             protocol.NodeID
	Incarnation    protocol.Incarnation
	ControlAddress string
	DataAddress    string
	Region         string
	Zone           string
	Scope          protocol.Scope
	// Seeds are control addresses of some daemons, tried at random at start.
	Seeds []string
	// Service and Backend name the back end beside it; empty for none.
	Service resource.ServiceRef
	Backend string
	Slots   int
	// RandomSeed makes all random choices of the node repeatable.
	RandomSeed uint64
	Timing     Timing
}

// Timing holds the node's periods; DefaultTiming is for production.
type Timing struct {
	// FetchWait is how long a parent may hold a fetch open.
	FetchWait time.Duration
	// ServingLease is how long a daemon serves without word from the mesh.
	ServingLease time.Duration
	// DeadAfter is when a silent member stops being counted; at least three
	// serving leases, so that it has certainly stopped serving.
	DeadAfter time.Duration
	// ReaderLease is how long a reader lease lasts on the platform.
	ReaderLease time.Duration
	// FanOut is how many children a parent takes.
	FanOut int
}

// DefaultTiming returns the production periods.
func DefaultTiming() Timing {
	return Timing{
		FetchWait:    2 * time.Second,
		ServingLease: 7 * time.Second,
		DeadAfter:    35 * time.Second,
		ReaderLease:  6 * time.Second,
		FanOut:       24,
	}
}
