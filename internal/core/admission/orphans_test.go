package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// gateWithOrphans returns a gate with four slots, all of them expected to be occupied by orphaned
// calls until the given time.
func gateWithOrphans(until time.Duration) *Gate {
	gate := New(0, Config{Slots: 4, QueueLength: 16, QueueWait: time.Minute, KeyWindow: time.Minute, KeyCount: 16})
	gate.SetColdLimit(0, 0, false)
	gate.ExpectOrphanedCalls(0, until, 4)
	return gate
}

// settledDecisions is a Waiter that records its decisions.
type settledDecisions struct{ settled []Decision }

// Settle records a decision.
func (d *settledDecisions) Settle(decision Decision) { d.settled = append(d.settled, decision) }

// startUntilQueued admits calls until one is queued, and returns the tickets of the started calls
// and the waiter of the queued one.
func startUntilQueued(gate *Gate, now time.Duration) (started []*Ticket, waiting *settledDecisions) {
	for {
		waiting = &settledDecisions{}
		ticket := NewTicket(Call{Deadline: now + time.Hour}, waiting)
		if gate.Admit(now, ticket).State != StateStarted {
			return started, waiting
		}
		started = append(started, ticket)
	}
}

func TestOrphanedCallsOccupySlots(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Second)
	started, _ := startUntilQueued(gate, 0)
	check.Equal(len(started), 1) // the minimum of callLimit
}

// Callers must see a gate whose slots are occupied by orphaned calls as full.
func TestOrphanedCallsCountAsRunning(t *testing.T) {
	check := is.New(t)
	check.Equal(gateWithOrphans(time.Second).Load(), Load{Running: 4, Slots: 4})
}

func TestEachAnswerFreesOneOrphanedSlot(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Minute)
	for answers := range 4 {
		started, _ := startUntilQueued(gate, 0)
		check.Equal(len(started), answers+1)
		gate.Drain() // refuses the queued call
		gate.Resume()
		for _, ticket := range started {
			gate.Done(0, ticket, true)
		}
		gate.RecordAnswer(0)
	}
}

func TestReportedCallCountFreesOrphanedSlots(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Minute)
	_, waiting := startUntilQueued(gate, 0)
	gate.CapOrphanedCalls(0, 1)
	check.Equal(len(waiting.settled), 1)
	check.Equal(gate.Load().Running, 3) // two calls of the gate and one orphaned call
}

// A report of more calls than expected must not raise the number of orphaned calls.
func TestReportedCallCountNeverAddsOrphans(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Minute)
	gate.CapOrphanedCalls(0, 0)
	gate.CapOrphanedCalls(0, 4)
	check.Equal(gate.Load().Running, 0)
}

func TestOrphanedCallsExpire(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Second)
	_, waiting := startUntilQueued(gate, 0)
	gate.Tick(time.Second - 1)
	check.Equal(len(waiting.settled), 0)
	gate.Tick(time.Second)
	check.Equal(len(waiting.settled), 1)
}

func TestClearingOrphanedCallsFreesAllSlots(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(time.Second)
	gate.ClearOrphanedCalls(0)
	started, _ := startUntilQueued(gate, 0)
	check.Equal(len(started), 4)
}

// If the back end has reported no count, most calls on closed connections are assumed to have
// ended.
func TestAQuarterOfTheSlotsIsUsedWhileTheOrphanCountIsUnknown(t *testing.T) {
	check := is.New(t)
	for slots, want := range map[int64]int64{1: 1, 4: 1, 5: 2, 18: 5} {
		check.Equal(slotsWithUnknownOrphans(slots), want)
	}
	gate := New(0, Config{Slots: 18})
	gate.ExpectOrphanedCalls(0, time.Second, -1)
	check.Equal(gate.callLimit(), int64(5))
}

func TestProbeOccupiesASlot(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(0)
	release := gate.AcquireProbeSlot()
	started, waiting := startUntilQueued(gate, 0)
	check.Equal(len(started), 3)
	release(0)
	check.Equal(len(waiting.settled), 1)
}

// Guards against calls that wait until their deadlines for slots of hung calls: they are refused
// once the calls are marked as hung.
func TestCallsDoNotWaitForHungSlots(t *testing.T) {
	check := is.New(t)
	gate := gateWithOrphans(0)
	gate.observeServiceTime(&Call{}, 100*time.Millisecond)
	started, _ := startUntilQueued(gate, 0)
	gate.Drain() // refuses the queued call, whose deadline is an hour away
	gate.Resume()
	shortDeadline := &settledDecisions{}
	check.Equal(gate.Admit(0, NewTicket(Call{Deadline: time.Second}, shortDeadline)).State, StateQueued)
	for _, ticket := range started {
		gate.MarkHung(0, ticket)
	}
	check.Equal(len(shortDeadline.settled), 1)
	gate.Done(0, started[0], true)
	check.Equal(gate.hungCount.Load(), int64(3))
	gate.MarkHung(0, started[0])
	check.Equal(gate.hungCount.Load(), int64(3))
}
