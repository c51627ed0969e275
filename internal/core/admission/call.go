// Package admission controls which calls the local back end of a daemon runs:
// one per slot. Further calls are queued within their deadlines, with slot time
// shared fairly between partners, and the rest are refused at once. A Gate is safe
// for concurrent use; it starts no goroutines, reads no clock, and needs no lock to
// start and end calls while none is queued.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Call describes a call to the gate.
type Call struct {
	// Class is the class of the call's route; service times are measured per class.
	Class    callclass.Class
	Partner  resource.Partner
	Priority resource.Priority
	// Deadline is a time on the gate's clock. A call that can't start and end by
	// then is refused.
	Deadline time.Duration
	// Target is the time on the gate's clock by which the caller expects the answer;
	// 0 if the route states no target. The gate refuses a call that would probably
	// miss it because of the wait in the queue.
	Target time.Duration
	// Patient exempts the call from refusals for a missed Target, because sending
	// it elsewhere costs more than a late answer.
	Patient bool
	// Request is the hash of the attempt's id; 0 if it has none.
	Request Fingerprint
	// Key is the hash of the operation's idempotency key; 0 if it has none.
	Key Fingerprint
}

// State is the state of a ticket.
type State int

// The states of a ticket. Started and Refused are final.
const (
	StateNew State = iota
	StateQueued
	StateStarted
	StateRefused
)

// Decision is the gate's decision on a call. A refused call has not been started
// by this gate.
type Decision struct {
	State State
	// Code is the reason of a refusal.
	Code result.Code
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Waiter receives the final decision on a queued call, unless Cancel withdraws the
// call first. Settle is called once and while the gate is locked, so it must neither
// block nor call the gate.
type Waiter interface {
	Settle(Decision)
}

// Ticket tracks one call through the gate. It must not be reused.
type Ticket struct {
	Call
	// Unmeasured excludes the call from the mean service time. The owner sets it
	// before Done for failed calls, because immediate failures would lower the mean.
	Unmeasured bool

	waiter Waiter
	// state is guarded by the gate's lock once the ticket has been queued.
	state State
	// hasEnded is set by Done; only the owner of the call accesses it.
	hasEnded bool
	// hangState is 0, hangStateMarked or hangStateEnded; see MarkHung.
	hangState atomic.Int32
	startedAt time.Duration
	// expectedServiceTime is the service time expected when the call was queued or started.
	expectedServiceTime time.Duration
	// startBy is the latest start with which the call is expected to meet its target, or
	// the time of queueing if it has none. Equal priorities start in this order.
	startBy time.Duration
	// queuedAt is the time at which the call was queued, expectedWait the queueing
	// time that was estimated then.
	queuedAt     time.Duration
	expectedWait time.Duration
	// chargedSeconds is the expected slot time for which queue.charge advanced the
	// partner's virtual time; 0 until a queued call starts.
	chargedSeconds float64
	// partnerQueue is the queue that holds or held the call; next and previous link
	// its tickets.
	partnerQueue *partnerQueue
	next         *Ticket
	previous     *Ticket
}

// NewTicket returns a ticket for a call. The waiter may be nil if the gate
// never queues the call, for example if it has no queue.
func NewTicket(call Call, waiter Waiter) *Ticket {
	return &Ticket{Call: call, waiter: waiter}
}

func (t *Ticket) settle(decision Decision) {
	t.state = decision.State
	if t.waiter != nil {
		t.waiter.Settle(decision)
	}
}

// priorityIndex returns the index of the call's priority in a partner's queue.
func (t *Ticket) priorityIndex() int {
	return int(min(max(t.Priority, resource.PriorityLow), resource.CallPriorityCount-1))
}

// startClass returns the class by which the starts of calls are limited.
func (t *Ticket) startClass() int { return int(t.Priority.Class()) }
