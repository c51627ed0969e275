// Package load calls the mesh as the users' callers do, open-loop or
// closed-loop, checks that each answer is whole and the caller's own, and
// judges the answers against the back ends' records.
package load

import (
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

// Kind is one kind of call in a mix.
type Kind struct {
	// Name is used in reports.
	Name string
	// Weight is the share of the kind, relative to the other kinds.
	Weight int
	Method string
	// Host and Path select the route.
	Host string
	Path string
	// BodyBytes and AnswerBytes are the sizes of the two streams.
	BodyBytes   int
	AnswerBytes int
	// MayRepeat says that running the call twice does no harm.
	MayRepeat bool
	// Depth is how many further calls the back ends make below this one.
	Depth int
	// Chain lists the hosts of the further calls; nil keeps to Host.
	Chain []string
	// FailStatus makes the deepest back end answer with this status; 0 means
	// that it succeeds.
	FailStatus int
	// Timeout is when the caller gives up; 0 means DefaultTimeout.
	Timeout time.Duration
	// Prepare changes the request before it is sent; nil changes nothing.
	Prepare func(request *http.Request)
}

// DefaultTimeout is when a caller gives up.
const DefaultTimeout = 15 * time.Second

// Target is where a caller sends its calls.
type Target struct {
	// Name is used in reports.
	Name string
	// Address is an IP and port.
	Address string
	// Resolve gives the address at the time of each call; nil means Address.
	Resolve func() string
}

// address is where a call goes now.
func (t Target) address() string {
	if t.Resolve != nil {
		return t.Resolve()
	}
	return t.Address
}

// Plan is one bounded run of load. Either Rate (open loop) or Workers (closed
// loop) is set.
type Plan struct {
	Kinds   []Kind
	Targets []Target
	// Rate is the mean of a Poisson process, in calls a second.
	Rate float64
	// Workers is how many callers call one after the other.
	Workers int
	// Duration is when no further call starts; 0 means no bound in time.
	Duration time.Duration
	// Calls is the most calls to start; 0 means no bound in number.
	Calls int
	// Stop ends the starting of calls when it is closed; nil never does.
	Stop <-chan struct{}
	// InFlight bounds the open calls of an open loop; 0 means 4096. Calls beyond
	// it are counted as NotSent and never silently dropped.
	InFlight int
	// Prefix begins all request ids of the run; it must be unique in a process.
	Prefix string
	Seed   uint64
	// Dispatch chooses the target of a call of a kind; nil takes targets in turn.
	Dispatch func(sequence, kind int) int
	// Origin is where the times of results count from, the back ends' origin.
	Origin time.Time
	// Client sends the calls; nil makes one for the run.
	Client *Client
}

// defaultInFlight bounds the open calls of an open loop.
const defaultInFlight = 4096

// Fault is how a call ended other than by a whole answer.
type Fault int

// The faults that a caller can see.
const (
	// FaultNone means a whole answer with any status.
	FaultNone Fault = iota
	// FaultConnect means that no connection was made: nothing was sent.
	FaultConnect
	// FaultBroken means that the connection broke before an answer.
	FaultBroken
	// FaultCutAnswer means that the answer was cut short.
	FaultCutAnswer
	// FaultWrongAnswer means an answer that is whole and not the caller's own.
	FaultWrongAnswer
	// FaultTimeout means that the caller gave up.
	FaultTimeout
)

// String names the fault.
func (f Fault) String() string {
	names := [...]string{"none", "connect", "broken", "cut_answer", "wrong_answer", "timeout"}
	if f < 0 || int(f) >= len(names) {
		return "unlisted"
	}
	return names[f]
}

// Result is what became of one call.
type Result struct {
	Request backend.RequestID
	// Kind and Target index the plan.
	Kind   int
	Target int
	// Intended is when the call should have started, Done when it ended.
	Intended time.Duration
	Done     time.Duration
	Status   int
	// Code and Ran are the refusal's; Code 0 means no refusal of the mesh.
	Code   result.Code
	Ran    result.Execution
	Fault  Fault
	Detail string
}

// Latency counts from when the call should have started, so that a slow
// system cannot hide its queue from the figures.
func (r Result) Latency() time.Duration { return r.Done - r.Intended }

// Good tells whether the call had its whole answer from a back end.
func (r Result) Good() bool { return r.Fault == FaultNone && r.Status == 200 }

// ranUnknown tells whether the caller can't know if the call ran.
func (r Result) ranUnknown() bool {
	if r.Code != 0 {
		return r.Ran == result.RanUnknown
	}
	return r.Fault != FaultNone && r.Fault != FaultConnect
}
