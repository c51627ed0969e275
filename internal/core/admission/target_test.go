package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// targeted returns a call whose target is the given span from now; calls with the same
// span belong to the same class.
func targeted(now, span time.Duration) Call {
	return Call{Deadline: now + time.Hour, Target: now + span, Class: classOfSpan(span)}
}

func classOfSpan(span time.Duration) callclass.Class {
	return callclass.Of(&resource.Route{Target: span})
}

// teachKind runs one call with the given target span and service time.
func teachKind(gate *Gate, now, span, service time.Duration) {
	first := offer(gate, now, targeted(now, span))
	gate.Done(now+service, first.ticket, true)
}

// A call that can't meet its target is refused even if its deadline is far away, with
// the time after which a retry may meet it.
func TestWhatCannotMakeItsTargetIsRefusedAtOnce(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 250 * time.Millisecond
	teachKind(gate, 0, span, 100*time.Millisecond)
	now := time.Second
	check.Equal(offer(gate, now, targeted(now, span)).state, StateStarted)
	check.Equal(offer(gate, now, targeted(now, span)).state, StateQueued) // would end after 200 ms
	waiter := &record{}
	verdict := gate.Admit(now, NewTicket(targeted(now, span), waiter))
	check.Equal(verdict.Code, result.QueueFull) // would end after 300 ms
	check.Equal(verdict.RetryAfter, 50*time.Millisecond)
	check.Equal(offer(gate, now, Call{}).state, StateQueued) // has no target to miss
}

// When service times vary, fewer calls are admitted than their mean alone would allow.
func TestATargetAllowsForSlowerCallsThanTheMean(t *testing.T) {
	check := is.New(t)
	const span = 300 * time.Millisecond
	steady, varied := New(0, testConfig(1)), New(0, testConfig(1))
	for range 64 {
		teachKind(steady, 0, span, 100*time.Millisecond)
		teachKind(varied, 0, span, 20*time.Millisecond)
		teachKind(varied, 0, span, 180*time.Millisecond)
	}
	for _, gate := range []*Gate{steady, varied} {
		offer(gate, 0, targeted(0, span))
		offer(gate, 0, targeted(0, span))
	}
	check.Equal(offer(steady, 0, targeted(0, span)).state, StateQueued)
	check.Equal(offer(varied, 0, targeted(0, span)).code, result.QueueFull)
}

// Of queued calls with equal priority, the one with the earliest latest start goes first.
func TestEarliestStartGoesFirst(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	holder := offer(gate, 0, Call{})
	late := offer(gate, 0, targeted(0, 500*time.Millisecond))
	soon := offer(gate, 1, targeted(1, 120*time.Millisecond))
	high := Call{Deadline: time.Hour, Target: time.Second, Class: classOfSpan(time.Second), Priority: resource.PriorityHigh}
	urgent := offer(gate, 2, high)
	gate.Done(3, holder.ticket, true)
	check.Equal(urgent.waiter.last().State, StateStarted)
	gate.Done(4, urgent.ticket, true)
	check.Equal(soon.waiter.last().State, StateStarted)
	gate.Done(5, soon.ticket, true)
	check.Equal(late.waiter.last().State, StateStarted)
}

// A call that can no longer meet its target when a slot becomes free still runs if no
// other call is queued.
func TestALateCallMakesRoomForOthersOnly(t *testing.T) {
	check := is.New(t)
	const span = 200 * time.Millisecond
	for _, others := range []bool{false, true} {
		gate := New(0, testConfig(1))
		teachKind(gate, 0, span, 50*time.Millisecond)
		holder := offer(gate, 0, targeted(0, span))
		waiting := offer(gate, 0, targeted(0, span))
		behind := Call{Deadline: time.Hour, Target: 10 * time.Second, Class: classOfSpan(span)}
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
	const short, long = 60 * time.Millisecond, 500 * time.Millisecond
	for range 64 {
		teachKind(gate, 0, short, 20*time.Millisecond)
		teachKind(gate, 0, long, 200*time.Millisecond)
	}
	offer(gate, 0, targeted(0, long))
	check.Equal(offer(gate, 0, targeted(0, short)).state, StateQueued)
	check.Equal(offer(gate, 0, targeted(0, short)).state, StateQueued) // late but short
}

// Guards against classes with targets of similar size sharing one service time.
func TestCallsOfLikeTargetsAreNotTakenForEachOther(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const short, long = 1200 * time.Millisecond, 2000 * time.Millisecond
	for range 64 {
		teachKind(gate, 0, short, 230*time.Millisecond)
		teachKind(gate, 0, long, 780*time.Millisecond)
	}
	shortCall, longCall := targeted(0, short), targeted(0, long)
	check.True(gate.serviceOf(&shortCall) < 240*time.Millisecond)
	check.True(gate.serviceOf(&longCall) > 770*time.Millisecond)
}

// A queued call is refused as soon as later arrivals that go first make it miss its
// target, not only when a slot becomes free for it.
func TestWhatOthersPushBehindIsRefusedEarly(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 400 * time.Millisecond
	teachKind(gate, 0, span, 100*time.Millisecond)
	offer(gate, 0, targeted(0, span))
	pushed := targeted(0, span)
	pushed.Target -= 50 * time.Millisecond
	waiting := offer(gate, 0, pushed)
	check.Equal(waiting.state, StateQueued)
	for range 2 {
		sooner := targeted(0, span)
		sooner.Target -= 60 * time.Millisecond
		check.Equal(offer(gate, 0, sooner).state, StateQueued)
	}
	check.Equal(waiting.waiter.last().Code, result.QueueFull)
	check.True(waiting.waiter.last().RetryAfter > 0)
}

// When calls wait longer than the work ahead of them suggests, fewer are queued.
func TestWaitsAreReckonedAsTheyTurnOut(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	const span = 400 * time.Millisecond
	for range 64 {
		teachKind(gate, 0, span, 100*time.Millisecond)
	}
	admitted := func() (queued int) {
		holder := offer(gate, 0, targeted(0, span))
		var waiting []*offered
		for one := offer(gate, 0, targeted(0, span)); one.state == StateQueued; one = offer(gate, 0, targeted(0, span)) {
			waiting = append(waiting, one)
		}
		for _, one := range waiting {
			gate.Cancel(one.ticket)
		}
		gate.Done(100*time.Millisecond, holder.ticket, true)
		return len(waiting)
	}
	before := admitted()
	for range 64 {
		holder := offer(gate, 0, targeted(0, span))
		late := offer(gate, 0, targeted(0, span))
		gate.Done(200*time.Millisecond, holder.ticket, false) // twice the mean service time
		check.Equal(late.waiter.last().State, StateStarted)
		gate.Done(300*time.Millisecond, late.ticket, true)
	}
	check.True(before > admitted())
}

// Short calls ahead must not lead to a refusal for which the same number of long calls
// would be a reason.
func TestTheWaitIsThatOfTheWorkAhead(t *testing.T) {
	check := is.New(t)
	const short, long = 200 * time.Millisecond, 1200 * time.Millisecond
	for _, kind := range []time.Duration{short, long} {
		gate := New(0, testConfig(1))
		for range 64 {
			teachKind(gate, 0, short, 50*time.Millisecond)
			teachKind(gate, 0, long, 500*time.Millisecond)
		}
		offer(gate, 0, targeted(0, long)) // runs for 500 ms
		for range 2 {
			ahead := targeted(0, kind)
			ahead.Target = 300 * time.Millisecond
			ahead.Patient = true
			check.Equal(offer(gate, 0, ahead).state, StateQueued)
		}
		last := offer(gate, 0, targeted(0, long))
		if kind == short {
			check.Equal(last.state, StateQueued) // 500 + 100 ms, and 500 of its own
		} else {
			check.Equal(last.code, result.QueueFull) // 500 + 1,000 ms
		}
	}
}
