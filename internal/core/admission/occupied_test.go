package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// occupiedGate returns a gate with four slots, all of them expected to be occupied by orphaned
// calls until the given time.
func occupiedGate(until time.Duration) *Gate {
	gate := New(0, Config{Slots: 4, QueueLength: 16, QueueWait: time.Minute, KeyWindow: time.Minute, KeyCount: 16})
	gate.SetColdLimit(0, 0, false)
	gate.ExpectOrphanedCalls(0, until, 4)
	return gate
}

// verdicts is a Waiter that records its decisions.
type verdicts struct{ settled []Decision }

// Settle records a decision.
func (v *verdicts) Settle(verdict Decision) { v.settled = append(v.settled, verdict) }

// startAll offers calls until one is queued, and returns the tickets of those that were started
// and the waiter of the queued one.
func startAll(gate *Gate, now time.Duration) (started []*Ticket, waiting *verdicts) {
	for {
		waiting = &verdicts{}
		ticket := NewTicket(Call{Deadline: now + time.Hour}, waiting)
		if gate.Admit(now, ticket).State != StateStarted {
			return started, waiting
		}
		started = append(started, ticket)
	}
}

func TestWhatMayHaveBeenLeftBehindTakesSlots(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Second)
	started, _ := startAll(gate, 0)
	check.Equal(len(started), 1) // its answer shows how many calls the back end holds
}

// Callers must see a gate whose slots are occupied by orphaned calls as full.
func TestOccupiedSlotsAreLoad(t *testing.T) {
	check := is.New(t)
	check.Equal(occupiedGate(time.Second).Load(), Load{Running: 4, Slots: 4})
}

func TestEachAnswerLetsOneCallMoreRun(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Minute)
	for answers := range 4 {
		started, _ := startAll(gate, 0)
		check.Equal(len(started), answers+1)
		gate.Drain() // refuses the queued call
		gate.Resume()
		for _, one := range started {
			gate.Done(0, one, true)
		}
		gate.RecordAnswer(0)
	}
}

func TestTheBackEndsWordFreesSlotsAtOnce(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Minute)
	_, waiting := startAll(gate, 0)
	gate.CapOrphanedCalls(0, 1)
	check.Equal(len(waiting.settled), 1)
	check.Equal(gate.Load().Running, 3) // two calls of the gate and one orphaned call
}

// A report of more calls than expected must not raise the number of orphaned calls.
func TestTheBackEndsWordTakesNoSlots(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Minute)
	gate.CapOrphanedCalls(0, 0)
	gate.CapOrphanedCalls(0, 4)
	check.Equal(gate.Load().Running, 0)
}

func TestWhatWasLeftBehindIsOverAfterItsTime(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Second)
	_, waiting := startAll(gate, 0)
	gate.Tick(time.Second - 1)
	check.Equal(len(waiting.settled), 0)
	gate.Tick(time.Second)
	check.Equal(len(waiting.settled), 1)
}

func TestANewStartOfTheBackEndHoldsNothing(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(time.Second)
	gate.ClearOrphanedCalls(0)
	started, _ := startAll(gate, 0)
	check.Equal(len(started), 4)
}

// If the back end has reported no count, most calls on closed connections are assumed to have
// ended.
func TestAQuarterOfTheSlotsIsUsedWhereNothingIsTold(t *testing.T) {
	check := is.New(t)
	for slots, want := range map[int64]int64{1: 1, 4: 1, 5: 2, 18: 5} {
		check.Equal(leastOf(slots), want)
	}
	gate := New(0, Config{Slots: 18})
	gate.ExpectOrphanedCalls(0, time.Second, -1)
	check.Equal(gate.limit(), int64(5))
}

func TestAProbeTakesASlotWhileItIsUnderWay(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(0)
	ended := gate.AcquireProbeSlot()
	started, waiting := startAll(gate, 0)
	check.Equal(len(started), 3)
	ended(0)
	check.Equal(len(waiting.settled), 1)
}

// Guards against calls that wait until their deadlines for slots of hung calls: they are refused
// once the calls are marked as hung.
func TestCallsDoNotWaitForSlotsThatHang(t *testing.T) {
	check := is.New(t)
	gate := occupiedGate(0)
	gate.observe(&Call{}, 100*time.Millisecond)
	started, _ := startAll(gate, 0)
	gate.Drain() // refuses the queued call, whose deadline is an hour away
	gate.Resume()
	soon := &verdicts{}
	check.Equal(gate.Admit(0, NewTicket(Call{Deadline: time.Second}, soon)).State, StateQueued)
	for _, one := range started {
		gate.MarkHung(0, one)
	}
	check.Equal(len(soon.settled), 1)
	gate.Done(0, started[0], true)
	check.Equal(gate.hung.Load(), int64(3))
	gate.MarkHung(0, started[0])
	check.Equal(gate.hung.Load(), int64(3))
}
