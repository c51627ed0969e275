// Package node is the state machine of one daemon. Each step takes the time and one
// typed message and returns typed effects, which the caller (the shell: a daemon or
// the simulator) carries out. The package composes the reader, floor, membership,
// distribution and snapshot packages. It holds no lock: one goroutine steps it.
//
// Comments refer to the invariants of docs/INVARIANTS.md by number, such as (I1).
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

// Tick advances the time; the shell sends one every TickInterval.
type Tick struct {
	// WallClock is the shell's wall clock, used for times in status and in the head;
	// zero if not known.
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
	// Failed is set when no reply arrived; the request may nevertheless have been
	// executed.
	Failed bool
}

// PlatformReply answers a CallPlatform effect.
type PlatformReply struct {
	Token Token
	Reply object.Reply
}

// PlatformEvent is an event of a running watch.
type PlatformEvent struct {
	Watch Token
	Event object.Event
}

// WatchEnded reports that a watch ended with an error.
type WatchEnded struct {
	Watch Token
	Code  result.Code
}

// OperatorRequest is a change or a status request from this daemon's operators' API;
// the node answers with OperatorAnswer.
type OperatorRequest struct {
	Token Token
	// Body is a *protocol.SubmitRequest or *protocol.StatusRequest.
	Body any
	// WallClock is the shell's wall clock, recorded as the time of acceptance.
	WallClock time.Time
}

// SnapshotInForce confirms that the shell has swapped to a snapshot. The node
// acknowledges a version only after this confirmation.
type SnapshotInForce struct {
	Version protocol.Version
}

// BackendReport reports the state of the daemon's local back end.
type BackendReport struct {
	State protocol.EndpointState
}

// Leave starts draining: the node reports to the mesh that it is leaving.
type Leave struct{}

// Stopped follows Leave when the data path has stopped permanently. The node then
// reports that it has left, so that it is no longer live. The shell steps it for another
// half second so that the report is sent.
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

// CallPeer makes the shell call another daemon.
type CallPeer struct {
	Token   Token
	Address string
	// Body is the pointer to a protocol request.
	Body any
	// Timeout is the time after which the shell sends a failed PeerReply.
	Timeout time.Duration
}

// PeerAnswer answers a PeerRequest.
type PeerAnswer struct {
	Token Token
	Body  any
}

// CallPlatform makes the shell call the platform.
type CallPlatform struct {
	Token   Token
	Call    object.Call
	Timeout time.Duration
}

// StartWatch makes the shell watch the platform; its events carry the token.
type StartWatch struct {
	Token  Token
	Prefix string
	From   object.Version
}

// StopWatch ends a watch.
type StopWatch struct{ Token Token }

// SwapSnapshot makes the shell put a snapshot in force by one atomic pointer swap and
// then send SnapshotInForce.
type SwapSnapshot struct {
	Snapshot *snapshot.Snapshot
}

// ExtendServingLease extends the lease of the shell's data path to Until on the node's
// clock. The data path compares it with the clock on each call, so that a daemon that
// was paused beyond its lease does not serve when it resumes.
type ExtendServingLease struct{ Until time.Duration }

// PublishMembers passes all current member records to the data path.
type PublishMembers struct {
	Members []protocol.Member
}

// OperatorAnswer answers an OperatorRequest.
type OperatorAnswer struct {
	Token Token
	Body  any
}

// LogEvent is one log line to be written.
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

// Config holds the settings of a node, which are fixed for its lifetime: its identity,
// addresses, location, local back end and periods.
type Config struct {
	ID             protocol.NodeID
	Incarnation    protocol.Incarnation
	ControlAddress string
	DataAddress    string
	Region         string
	Zone           string
	Scope          protocol.Scope
	// Seeds are control addresses of some daemons, queried at the start and by later
	// probes for other daemons.
	Seeds []string
	// Service and Backend identify the local back end; empty for none.
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
	// ServingLease is how long a daemon serves without contact to the mesh.
	ServingLease time.Duration
	// DeadAfter is the time after which a silent member is marked as dead; at least
	// three serving leases, so that it has certainly stopped serving.
	DeadAfter time.Duration
	// ReaderLease is how long a reader lease lasts on the platform.
	ReaderLease time.Duration
	// FanOut is the number of children that a relay accepts; a root accepts a
	// multiple of it.
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
