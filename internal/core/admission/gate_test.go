package admission

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

// decisionRecorder is a Waiter that records its decisions.
type decisionRecorder struct {
	decisions []Decision
}

func (r *decisionRecorder) Settle(decision Decision) { r.decisions = append(r.decisions, decision) }

func (r *decisionRecorder) last() Decision {
	if len(r.decisions) == 0 {
		return Decision{}
	}
	return r.decisions[len(r.decisions)-1]
}

func testConfig(slots int) Config {
	return Config{Slots: slots, QueueLength: 8, QueueWait: time.Second, KeyWindow: time.Minute, KeyCount: 1 << 10}
}

// offered is a call that was offered to a gate, with its waiter and the gate's
// immediate decision.
type offered struct {
	ticket *Ticket
	waiter *decisionRecorder
	state  State
	code   result.Code
}

// offer calls Admit for a new call, whose deadline is in an hour if it has none.
func offer(gate *Gate, now time.Duration, call Call) *offered {
	if call.Deadline == 0 {
		call.Deadline = now + time.Hour
	}
	waiter := &decisionRecorder{}
	ticket := NewTicket(call, waiter)
	decision := gate.Admit(now, ticket)
	return &offered{ticket: ticket, waiter: waiter, state: decision.State, code: decision.Code}
}

// setMeanService sets the mean service time of a new gate by running one call.
func setMeanService(gate *Gate, now, service time.Duration) {
	first := offer(gate, now, Call{})
	gate.Done(now+service, first.ticket, true)
}

func TestSlotsAreHandedOverInOrder(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	first := offer(gate, 0, Call{})
	second := offer(gate, 0, Call{})
	third := offer(gate, 0, Call{Priority: resource.PriorityHigh})
	check.Equal(first.state, StateStarted)
	check.Equal(second.state, StateQueued)
	gate.Done(time.Millisecond, first.ticket, true)
	check.Equal(third.waiter.last().State, StateStarted) // higher priority goes first
	check.Equal(len(second.waiter.decisions), 0)
	gate.Done(time.Millisecond, first.ticket, true) // a second Done frees nothing
	check.Equal(gate.Load(), Load{Running: 1, Queued: 1, Slots: 1})
	check.True(gate.Cancel(second.ticket))
	check.True(!gate.Cancel(second.ticket))
	gate.Done(2*time.Millisecond, third.ticket, true)
	check.Equal(gate.Load(), Load{Slots: 1})
}

func TestCallsThatCannotMeetTheirDeadlineAreRefusedBeforeStart(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	setMeanService(gate, 0, 100*time.Millisecond)
	now := time.Second
	running := offer(gate, now, Call{})
	lateCall := offer(gate, now, Call{Deadline: now + 120*time.Millisecond})
	check.Equal(lateCall.code, result.DeadlineBeforeStart) // at once, not at the deadline
	queued := offer(gate, now, Call{Deadline: now + 200*time.Millisecond})
	check.Equal(queued.state, StateQueued)
	gate.Done(now+190*time.Millisecond, running.ticket, true)
	check.Equal(queued.waiter.last().Code, result.DeadlineBeforeStart)
	check.Equal(gate.Load().Running, 0)
}

func TestUnmeasuredCallsDoNotLowerTheMean(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	setMeanService(gate, 0, 100*time.Millisecond)
	failing := offer(gate, 0, Call{})
	failing.ticket.Unmeasured = true
	gate.Done(time.Millisecond, failing.ticket, true)
	check.Equal(gate.MeanServiceTime(), 100*time.Millisecond)
}

// Guards against refusals after a machine stall: the two calls that a 10 s stall made
// long must not raise the mean so far that a short queue is refused afterwards.
func TestMachineStallCausesNoLaterRefusals(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(2))
	setMeanService(gate, 0, 20*time.Millisecond)
	first, second := offer(gate, 0, Call{}), offer(gate, 0, Call{})
	gate.Done(10*time.Second, first.ticket, true)
	gate.Done(10*time.Second, second.ticket, true)
	offer(gate, 10*time.Second, Call{})
	offer(gate, 10*time.Second, Call{})
	check.Equal(offer(gate, 10*time.Second, Call{}).state, StateQueued)
	check.True(gate.MeanServiceTime() < 30*time.Millisecond)
}

func TestDuplicatesAreRefusedWithinTheWindow(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(2))
	first := offer(gate, 0, Call{Request: 7, Key: 9})
	check.Equal(offer(gate, 0, Call{Request: 7}).code, result.AlreadyStarted)
	check.Equal(offer(gate, 0, Call{Request: 8, Key: 9}).code, result.AlreadyStarted)
	gate.Done(time.Second, first.ticket, true)
	check.Equal(offer(gate, time.Minute, Call{Request: 7}).code, result.AlreadyStarted)
	check.Equal(gate.Load().Running, 0) // refusals leak no slot
	unsent := offer(gate, time.Minute, Call{Key: 5})
	gate.Done(time.Minute, unsent.ticket, false)
	check.Equal(offer(gate, time.Minute, Call{Key: 5}).state, StateStarted)
}

// Guards against a second run of a call: its sender may have sent the refused call
// elsewhere, so a late duplicate of the attempt must not start.
func TestRefusedAttemptNeverStartsLater(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	gate.Drain()
	check.Equal(offer(gate, 0, Call{Request: 7}).code, result.Draining)
	gate.Resume()
	check.Equal(offer(gate, 1, Call{Request: 7}).code, result.AlreadyStarted)
}

func TestDuplicateInTheQueueStartsOnce(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	running := offer(gate, 0, Call{})
	first := offer(gate, 0, Call{Key: 3})
	second := offer(gate, 0, Call{Key: 3})
	gate.Done(1, running.ticket, true)
	gate.Done(2, first.ticket, true)
	check.Equal(first.waiter.last().State, StateStarted)
	check.Equal(second.waiter.last().Code, result.AlreadyStarted)
	check.Equal(gate.Load().Running, 0)
}

func TestDrainRefusesAtOnceAndEndsNothing(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	running := offer(gate, 0, Call{})
	queued := offer(gate, 0, Call{})
	gate.Drain()
	check.Equal(queued.waiter.last().Code, result.Draining)
	check.Equal(offer(gate, 0, Call{}).code, result.Draining)
	check.Equal(gate.Load(), Load{Running: 1, Slots: 1})
	gate.Done(1, running.ticket, true)
	gate.Resume()
	check.Equal(offer(gate, 1, Call{}).state, StateStarted)
	gate.Close()
	gate.Resume()
	check.Equal(offer(gate, 1, Call{}).code, result.Draining)
}

func TestFullQueueEvictsByPriorityAndShare(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	offer(gate, 0, Call{})
	var greedy []*offered
	for range 8 {
		greedy = append(greedy, offer(gate, 0, Call{Partner: "greedy"}))
	}
	check.Equal(offer(gate, 0, Call{Partner: "greedy"}).code, result.QueueFull)
	high := offer(gate, 0, Call{Partner: "greedy", Priority: resource.PriorityHigh})
	check.Equal(high.state, StateQueued)
	check.Equal(greedy[7].waiter.last().Code, result.Shed)
	modest := offer(gate, 0, Call{Partner: "modest"})
	check.Equal(modest.state, StateQueued)
	check.Equal(greedy[6].waiter.last().Code, result.ShareExceeded)
}

func TestPartnersShareSlotTime(t *testing.T) {
	check := is.New(t)
	config := testConfig(1)
	config.QueueLength = 1 << 10
	config.QueueWait = time.Hour
	gate := New(0, config)
	holder := offer(gate, 0, Call{Partner: "long"})
	var waiting []*offered
	for range 100 {
		waiting = append(waiting, offer(gate, 0, Call{Partner: "long"}), offer(gate, 0, Call{Partner: "short"}))
	}
	service := map[resource.Partner]time.Duration{"long": 40 * time.Millisecond, "short": 10 * time.Millisecond}
	used := map[resource.Partner]time.Duration{}
	now := time.Duration(0)
	current := holder.ticket
	for range 80 {
		now += service[current.Partner]
		used[current.Partner] += service[current.Partner]
		gate.Done(now, current, true)
		for _, candidate := range waiting {
			if candidate.waiter.last().State == StateStarted && !candidate.ticket.hasEnded {
				current = candidate.ticket
			}
		}
	}
	share := float64(used["short"]) / float64(used["long"]+used["short"])
	check.True(share > 0.4 && share < 0.6) // half of the slot time, not of the calls
}

// TestGateModel runs random operations and compares the gate with a simple model of
// the running calls: slots are never exceeded, leaked or assigned twice.
func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		gate := New(0, testConfig(slots))
		now := time.Duration(0)
		var calls []*offered
		running := func() (active []*offered) {
			for _, call := range calls {
				started := call.state == StateStarted || call.waiter.last().State == StateStarted
				if started && !call.ticket.hasEnded {
					active = append(active, call)
				}
			}
			return active
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				calls = append(calls, offer(gate, now, Call{
					Partner:  rapid.SampledFrom([]resource.Partner{"a", "b"}).Draw(t, "partner"),
					Priority: resource.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Deadline: now + time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline"))*time.Millisecond,
					Key:      Fingerprint(rapid.IntRange(0, 40).Draw(t, "key")),
				}))
			case 2:
				if started := running(); len(started) > 0 {
					gate.Done(now, started[rapid.IntRange(0, len(started)-1).Draw(t, "which")].ticket, rapid.Bool().Draw(t, "ran"))
				}
			case 3:
				if len(calls) > 0 {
					gate.Cancel(calls[rapid.IntRange(0, len(calls)-1).Draw(t, "cancelled")].ticket)
				}
			case 4:
				gate.SetSlots(now, slots)
			}
			if started := len(running()); started > slots || started != gate.Load().Running {
				t.Fatalf("%d calls hold %d slots of %d", started, gate.Load().Running, slots)
			}
			if load := gate.Load(); load.Queued > 0 && load.Running < load.Slots {
				t.Fatalf("calls wait while slots are free: %+v", load)
			}
			for _, call := range calls {
				if len(call.waiter.decisions) > 1 {
					t.Fatalf("a call was settled twice: %+v", call.waiter.decisions)
				}
			}
		}
	})
}

// channelWaiter is a Waiter that sends its decision to a channel.
type channelWaiter chan Decision

func (c channelWaiter) Settle(decision Decision) { c <- decision }

// TestGateUnderConcurrency lets many goroutines compete for slots and counts the running
// calls independently of the gate.
func TestGateUnderConcurrency(t *testing.T) {
	const slots = 3
	config := testConfig(slots)
	config.QueueLength = 64
	gate := New(0, config)
	var running, started atomic.Int64
	var exceeded atomic.Bool
	var group sync.WaitGroup
	for worker := range 16 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for range 2000 {
				waiter := make(channelWaiter, 1)
				ticket := NewTicket(Call{Deadline: time.Hour, Key: Fingerprint(random.Uint64())}, waiter)
				decision := gate.Admit(0, ticket)
				if decision.State == StateQueued && random.IntN(8) == 0 && gate.Cancel(ticket) {
					continue
				}
				if decision.State == StateQueued {
					decision = <-waiter
				}
				if decision.State != StateStarted {
					continue
				}
				started.Add(1)
				if running.Add(1) > slots {
					exceeded.Store(true)
				}
				running.Add(-1)
				gate.Done(0, ticket, true)
			}
		})
	}
	group.Wait()
	check := is.New(t)
	check.Equal(gate.Load(), Load{Slots: slots})
	check.True(!exceeded.Load())
	check.True(started.Load() > 0)
}

// Guards against duplicates when concurrent additions of one fingerprint race with the
// rotation of generations.
func TestFingerprintSetAddsOnceAcrossRotations(t *testing.T) {
	check := is.New(t)
	set := NewFingerprintSet(0, 1, 1<<6)
	for round := range 2000 {
		var added atomic.Int64
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				if set.Add(time.Duration(round), Fingerprint(round)) == Added {
					added.Add(1)
				}
			})
		}
		group.Wait()
		check.True(added.Load() <= 1)
	}
}

func TestFingerprintSetDropsNothingEarly(t *testing.T) {
	check := is.New(t)
	set := NewFingerprintSet(0, time.Minute, 2)
	check.Equal(set.Add(0, 1), Added)
	check.Equal(set.Add(0, 2), Added)
	check.Equal(set.Add(0, 3), Full) // nothing is dropped to make room
	check.Equal(set.Add(time.Minute-1, 1), Present)
	check.Equal(set.Add(time.Minute-1, 3), Full)
	check.Equal(set.Add(time.Minute, 3), Added)
	check.Equal(set.Add(time.Minute, 1), Added) // past the window
}

func TestFingerprintSetGrowsWithUse(t *testing.T) {
	check := is.New(t)
	set := NewFingerprintSet(0, time.Minute, 10_000)
	for number := range 10_000 {
		check.Equal(set.Add(time.Duration(number)*time.Millisecond, Fingerprint(number)), Added)
	}
	for number := range 10_000 {
		check.Equal(set.Add(10*time.Second, Fingerprint(number)), Present)
	}
	check.Equal(set.Add(10*time.Second, 10_001), Full)
	check.Equal(set.Add(2*time.Minute, 10_001), Added)
}

func BenchmarkAdmit(b *testing.B) {
	gate := New(0, Config{Slots: 1 << 20, QueueLength: 8, QueueWait: time.Second, KeyWindow: time.Minute, KeyCount: 1 << 20})
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			ticket := Ticket{Call: Call{Deadline: time.Hour}}
			if gate.Admit(0, &ticket).State == StateStarted {
				gate.Done(time.Millisecond, &ticket, true)
			}
		}
	})
}

// A queued call that is expected to miss its deadline because calls of higher priority
// go first is refused at once, not at its deadline.
func TestCallsDelayedByHigherPriorityAreRefusedEarly(t *testing.T) {
	check := is.New(t)
	config := testConfig(1)
	config.QueueLength = 100
	config.QueueWait = time.Hour
	gate := New(0, config)
	setMeanService(gate, 0, 100*time.Millisecond)
	now := time.Second
	running := offer(gate, now, Call{})
	low := offer(gate, now, Call{Priority: resource.PriorityLow, Deadline: now + time.Second})
	check.Equal(low.state, StateQueued)
	for range 6 {
		check.Equal(offer(gate, now, Call{Priority: resource.PriorityHigh}).state, StateQueued)
	}
	check.Equal(len(low.waiter.decisions), 0) // seven calls of 100 ms and its own fit into 1 s
	for range 3 {
		offer(gate, now, Call{Priority: resource.PriorityHigh})
	}
	check.Equal(low.waiter.last().Code, result.Shed)
	check.Equal(low.waiter.last().State, StateRefused)
	gate.Done(now, running.ticket, true)
}

// The latest start is the deadline minus the expected service time.
func TestAWaitingCallHasALatestStart(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	setMeanService(gate, 0, 300*time.Millisecond)
	ticket := NewTicket(Call{Deadline: time.Second}, nil)
	check.Equal(gate.LatestStart(ticket), 700*time.Millisecond)
}
