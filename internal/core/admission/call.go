// Package admission decides at the gate which calls the back end beside a
// daemon may run: one for each slot, the others queued within their deadlines
// with fair shares between partners, and the rest refused at once. A gate may
// be used from several goroutines; it starts none, reads no clock, and takes
// a lock only when calls wait.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Call is what the gate knows of a call that wants to start.
type Call struct {
	// Class tells calls of like routes apart, whose service times are learned.
	Class    callclass.Class
	Partner  resource.Partner
	Priority resource.Priority
	// Deadline is on the gate's clock; a call that can't start and end by then
	// is refused.
	Deadline time.Duration
	// Target is until when an answer is of full use, on the gate's clock; 0 when
	// that is not stated.
	Target time.Duration
	// Patient calls are not refused for their target: to send them elsewhere is
	// dearer than that they end late.
	Patient bool
	// Request identifies the attempt; 0 means that it has no id.
	Request Fingerprint
	// Key identifies the operation; 0 means that it has no key.
	Key Fingerprint
}

// State is where a ticket stands.
type State int

// The states of a ticket. Started and Refused are final.
const (
	StateNew State = iota
	StateQueued
	StateStarted
	StateRefused
)

// Verdict is the answer to a call. Every refusal means that the call was not
// started by this gate.
type Decision struct {
	State State
	// Code is why the call is refused.
	Code result.Code
	// RetryAfter is when sending it again may help; 0 when not known.
	RetryAfter time.Duration
}

// Waiter is told the fate of a queued call, once. It is called while the gate
// is locked, so it must neither block nor call the gate.
type Waiter interface {
	Settle(Decision)
}

// Ticket is one call at the gate. It is used for one call only.
type Ticket struct {
	Call
	// Unmeasured keeps the call out of the mean service time. The owner sets it
	// before Done, for calls that fail at once would make a back end look fast.
	Unmeasured bool

	waiter Waiter
	// state is guarded by the gate's lock once the ticket was queued.
	state State
	// ended is set by Done; only the owner of the call touches it.
	ended bool
	// hung says whether the call was found to hang; see Hangs.
	hung      atomic.Int32
	startedAt time.Duration
	// expected is how long the call was expected to run when it came.
	expected time.Duration
	// startBy orders the waiting calls of a class: the earliest goes first.
	startBy time.Duration
	// queuedAt is when the call was queued, expectedWait what it was then expected
	// to wait.
	queuedAt     time.Duration
	expectedWait time.Duration
	charged      float64
	lane         *lane
	next         *Ticket
	previous     *Ticket
}

// NewTicket returns the ticket of a call. The waiter may be nil when the
// caller never queues, as in a gate without queue.
func NewTicket(call Call, waiter Waiter) *Ticket {
	return &Ticket{Call: call, waiter: waiter}
}

func (t *Ticket) settle(verdict Decision) {
	t.state = verdict.State
	if t.waiter != nil {
		t.waiter.Settle(verdict)
	}
}

// class is the index of a priority's list in a lane.
func (t *Ticket) class() int {
	return int(min(max(t.Priority, resource.PriorityLow), resource.PriorityHigh))
}
