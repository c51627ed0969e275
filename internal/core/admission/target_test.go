package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// callWithTarget returns a call whose target is the given span from now; calls with the same
// span belong to the same class.
func callWithTarget(now, span time.Duration) Call {
	return Call{Deadline: now + time.Hour, Target: now + span, Class: classOfTarget(span)}
}

func classOfTarget(span time.Duration) callclass.Class {
	return callclass.OfRoute(&resource.Route{Target: span})
}

// runCallWithTarget runs one call with the given target span and service time.
func runCallWithTarget(gate *Gate, now, span, service time.Duration) {
	first := offer(gate, now, callWithTarget(now, span))
	gate.Done(now+service, first.ticket, true)
}

// A call that can't meet its target is refused even if its deadline is far away, with
// the time after which a retry may meet it.
func TestCallsThatCannotMeetTheirTargetAreRefusedAtOnce(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 250 * time.Millisecond
	runCallWithTarget(gate, 0, span, 100*time.Millisecond)
	now := time.Second
	check.Equal(offer(gate, now, callWithTarget(now, span)).state, StateStarted)
	check.Equal(offer(gate, now, callWithTarget(now, span)).state, StateQueued) // would end after 200 ms
	waiter := &decisionRecorder{}
	decision := gate.Admit(now, NewTicket(callWithTarget(now, span), waiter))
	check.Equal(decision.Code, result.QueueFull) // would end after 300 ms
	check.Equal(decision.RetryAfter, 50*time.Millisecond)
	check.Equal(offer(gate, now, Call{}).state, StateQueued) // has no target to miss
}

// When service times vary, fewer calls are admitted than their mean alone would allow.
func TestTargetCheckAllowsForVaryingServiceTimes(t *testing.T) {
	check := is.New(t)
	const span = 300 * time.Millisecond
	steady, varied := New(0, testConfig(1)), New(0, testConfig(1))
	for range 64 {
		runCallWithTarget(steady, 0, span, 100*time.Millisecond)
		runCallWithTarget(varied, 0, span, 20*time.Millisecond)
		runCallWithTarget(varied, 0, span, 180*time.Millisecond)
	}
	for _, gate := range []*Gate{steady, varied} {
		offer(gate, 0, callWithTarget(0, span))
		offer(gate, 0, callWithTarget(0, span))
	}
	check.Equal(offer(steady, 0, callWithTarget(0, span)).state, StateQueued)
	check.Equal(offer(varied, 0, callWithTarget(0, span)).code, result.QueueFull)
}

// Of queued calls with equal priority, the one that must start soonest to meet its target goes first.
func TestCallThatMustStartFirstGoesFirst(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	holder := offer(gate, 0, Call{})
	lateTarget := offer(gate, 0, callWithTarget(0, 500*time.Millisecond))
	earlyTarget := offer(gate, 1, callWithTarget(1, 120*time.Millisecond))
	high := Call{Deadline: time.Hour, Target: time.Second, Class: classOfTarget(time.Second), Priority: resource.PriorityHigh}
	highPriority := offer(gate, 2, high)
	gate.Done(3, holder.ticket, true)
	check.Equal(highPriority.waiter.last().State, StateStarted)
	gate.Done(4, highPriority.ticket, true)
	check.Equal(earlyTarget.waiter.last().State, StateStarted)
	gate.Done(5, earlyTarget.ticket, true)
	check.Equal(lateTarget.waiter.last().State, StateStarted)
}

// A call that can no longer meet its target when a slot becomes free still runs if no
// other call is queued.
func TestLateCallIsRefusedOnlyIfOthersWait(t *testing.T) {
	check := is.New(t)
	const span = 200 * time.Millisecond
	for _, others := range []bool{false, true} {
		gate := New(0, testConfig(1))
		runCallWithTarget(gate, 0, span, 50*time.Millisecond)
		holder := offer(gate, 0, callWithTarget(0, span))
		waiting := offer(gate, 0, callWithTarget(0, span))
		behind := Call{Deadline: time.Hour, Target: 10 * time.Second, Class: classOfTarget(span)}
		if others {
			check.Equal(offer(gate, 0, behind).state, StateQueued)
		}
		gate.Done(190*time.Millisecond, holder.ticket, true)
		if others {
			check.Equal(waiting.waiter.last().Code, result.QueueFull)
		} else {
			check.Equal(waiting.waiter.last().State, StateStarted)
		}
	}
}

// Short calls cost little, and their callers usually can't proceed without them.
func TestShortCallsAreNotRefusedForTheirTarget(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const shortTarget, longTarget = 60 * time.Millisecond, 500 * time.Millisecond
	for range 64 {
		runCallWithTarget(gate, 0, shortTarget, 20*time.Millisecond)
		runCallWithTarget(gate, 0, longTarget, 200*time.Millisecond)
	}
	offer(gate, 0, callWithTarget(0, longTarget))
	check.Equal(offer(gate, 0, callWithTarget(0, shortTarget)).state, StateQueued)
	check.Equal(offer(gate, 0, callWithTarget(0, shortTarget)).state, StateQueued) // late but short
}

// Guards against classes with targets of similar size sharing one service time.
func TestServiceTimesAreKeptPerClass(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const shortTarget, longTarget = 1200 * time.Millisecond, 2000 * time.Millisecond
	for range 64 {
		runCallWithTarget(gate, 0, shortTarget, 230*time.Millisecond)
		runCallWithTarget(gate, 0, longTarget, 780*time.Millisecond)
	}
	shortCall, longCall := callWithTarget(0, shortTarget), callWithTarget(0, longTarget)
	check.True(gate.expectedServiceTimeOf(&shortCall) < 240*time.Millisecond)
	check.True(gate.expectedServiceTimeOf(&longCall) > 770*time.Millisecond)
}

// A queued call is refused as soon as later arrivals that go first make it miss its
// target, not only when a slot becomes free for it.
func TestOvertakenCallsAreRefusedEarly(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 400 * time.Millisecond
	runCallWithTarget(gate, 0, span, 100*time.Millisecond)
	offer(gate, 0, callWithTarget(0, span))
	overtaken := callWithTarget(0, span)
	overtaken.Target -= 50 * time.Millisecond
	waiting := offer(gate, 0, overtaken)
	check.Equal(waiting.state, StateQueued)
	for range 2 {
		earlierTarget := callWithTarget(0, span)
		earlierTarget.Target -= 60 * time.Millisecond
		check.Equal(offer(gate, 0, earlierTarget).state, StateQueued)
	}
	check.Equal(waiting.waiter.last().Code, result.QueueFull)
	check.True(waiting.waiter.last().RetryAfter > 0)
}

// When calls wait longer than the work ahead of them suggests, fewer are queued.
func TestActualWaitsCorrectExpectedWaits(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 400 * time.Millisecond
	for range 64 {
		runCallWithTarget(gate, 0, span, 100*time.Millisecond)
	}
	countQueued := func() (queued int) {
		holder := offer(gate, 0, callWithTarget(0, span))
		var waiting []*offered
		for next := offer(gate, 0, callWithTarget(0, span)); next.state == StateQueued; next = offer(gate, 0, callWithTarget(0, span)) {
			waiting = append(waiting, next)
		}
		for _, next := range waiting {
			gate.Cancel(next.ticket)
		}
		gate.Done(100*time.Millisecond, holder.ticket, true)
		return len(waiting)
	}
	queuedBefore := countQueued()
	for range 64 {
		holder := offer(gate, 0, callWithTarget(0, span))
		queued := offer(gate, 0, callWithTarget(0, span))
		gate.Done(200*time.Millisecond, holder.ticket, false) // twice the mean service time
		check.Equal(queued.waiter.last().State, StateStarted)
		gate.Done(300*time.Millisecond, queued.ticket, true)
	}
	check.True(queuedBefore > countQueued())
}

// Short calls ahead must not lead to a refusal for which the same number of long calls
// would be a reason.
func TestExpectedWaitDependsOnTheWorkAhead(t *testing.T) {
	check := is.New(t)
	const shortTarget, longTarget = 200 * time.Millisecond, 1200 * time.Millisecond
	for _, aheadTarget := range []time.Duration{shortTarget, longTarget} {
		gate := New(0, testConfig(1))
		for range 64 {
			runCallWithTarget(gate, 0, shortTarget, 50*time.Millisecond)
			runCallWithTarget(gate, 0, longTarget, 500*time.Millisecond)
		}
		offer(gate, 0, callWithTarget(0, longTarget)) // runs for 500 ms
		for range 2 {
			ahead := callWithTarget(0, aheadTarget)
			ahead.Target = 300 * time.Millisecond
			ahead.Patient = true
			check.Equal(offer(gate, 0, ahead).state, StateQueued)
		}
		last := offer(gate, 0, callWithTarget(0, longTarget))
		if aheadTarget == shortTarget {
			check.Equal(last.state, StateQueued) // 500 + 100 ms, and 500 of its own
		} else {
			check.Equal(last.code, result.QueueFull) // 500 + 1,000 ms
		}
	}
}
