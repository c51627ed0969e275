package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullGate returns a gate with three slots, all in use, and the tickets that hold them.
func fullGate() (*Gate, []*Ticket) {
	gate := New(0, Config{Slots: 3, QueueLength: 16, QueueWait: time.Minute, KeyWindow: time.Minute, KeyCount: 16})
	gate.SetColdLimit(0, 0, false)
	var started []*Ticket
	for range 3 {
		ticket := NewTicket(Call{Deadline: time.Hour}, nil)
		gate.Admit(0, ticket)
		started = append(started, ticket)
	}
	return gate, started
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// The channel of an isolated call is closed once all other calls have ended, and no other call
// starts until the isolated one ends.
func TestAnIsolatedCallRunsAlone(t *testing.T) {
	check := is.New(t)
	gate, started := fullGate()
	alone := gate.Isolate(started[0])
	check.Equal(gate.Isolate(started[1]), nil) // only one call can be isolated
	waiting := &settledDecisions{}
	check.Equal(gate.Admit(0, NewTicket(Call{Deadline: time.Hour}, waiting)).State, StateQueued)
	gate.Done(0, started[1], true)
	check.True(!isClosed(alone))
	check.Equal(gate.Load(), Load{Running: 3, Queued: 1, Slots: 3}) // an isolated call uses all slots
	gate.Done(0, started[2], true)
	check.True(isClosed(alone))
	check.Equal(len(waiting.settled), 0)
	gate.Tick(0)
	check.Equal(len(waiting.settled), 0)
	gate.Done(0, started[0], true)
	check.Equal(waiting.settled, []Decision{{State: StateStarted}})
	check.Equal(gate.Load(), Load{Running: 1, Slots: 3})
	check.Equal(gate.Admit(0, NewTicket(Call{Deadline: time.Hour}, nil)).State, StateStarted)
}

// If no other call runs, isolation takes effect at once.
func TestACallThatIsAloneIsIsolatedAtOnce(t *testing.T) {
	check := is.New(t)
	gate, started := fullGate()
	gate.Done(0, started[1], true)
	gate.Done(0, started[2], true)
	check.True(isClosed(gate.Isolate(started[0])))
}

// When an isolation ends before its call does, queued calls start in all free slots.
func TestQueuedCallsStartWhenAnIsolationEnds(t *testing.T) {
	check := is.New(t)
	gate, started := fullGate()
	alone := gate.Isolate(started[0])
	gate.Done(0, started[1], true)
	var waiting [3]settledDecisions
	for index := range waiting {
		gate.Admit(0, NewTicket(Call{Deadline: time.Hour}, &waiting[index]))
	}
	gate.EndIsolation(0, started[2]) // no effect: this call is not isolated
	check.Equal(len(waiting[0].settled), 0)
	gate.EndIsolation(0, started[0])
	check.True(!isClosed(alone))
	check.Equal(len(waiting[0].settled), 1)
	check.Equal(len(waiting[1].settled), 0)
	check.Equal(gate.Load(), Load{Running: 3, Queued: 2, Slots: 3})
	gate.Done(0, started[0], true)
	check.Equal(len(waiting[1].settled), 1)
}
