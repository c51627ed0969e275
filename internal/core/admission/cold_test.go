package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// afterFirstWindow is a time after the first window of a cold gate, in which no call may start.
const afterFirstWindow = 2 * time.Second

// limitForTwoAtOnce is a cold limit that allows two calls to start at the same moment.
const limitForTwoAtOnce = 8

// coldGate returns a gate whose back end is cold and whose starts per window are limited.
func coldGate(slots, limit int) *Gate {
	gate := New(0, testConfig(slots))
	gate.SetColdLimit(0, limit, false)
	gate.SetColdUntil(0, time.Hour)
	return gate
}

func TestCallsAboveTheColdLimitAreRefusedAtOnce(t *testing.T) {
	check := is.New(t)
	gate := coldGate(6, 1)
	check.Equal(offer(gate, afterFirstWindow, Call{}).state, StateStarted)
	ticket := NewTicket(Call{Deadline: time.Hour}, nil)
	decision := gate.Admit(afterFirstWindow+time.Millisecond, ticket)
	check.Equal(decision.Code, result.WarmingUp)
	check.True(decision.RetryAfter > time.Second-2*time.Millisecond)
	check.Equal(offer(gate, afterFirstWindow+time.Millisecond+decision.RetryAfter, Call{}).state, StateStarted)
}

func TestQueuedCallsDoNotExceedTheColdLimit(t *testing.T) {
	check := is.New(t)
	gate := coldGate(1, limitForTwoAtOnce)
	first := offer(gate, afterFirstWindow, Call{})
	second := offer(gate, afterFirstWindow, Call{})
	third := offer(gate, afterFirstWindow, Call{})
	check.Equal(second.state, StateQueued)
	gate.Done(afterFirstWindow, first.ticket, true)
	check.Equal(second.waiter.last().State, StateStarted)
	gate.Done(afterFirstWindow, second.ticket, true)
	check.Equal(third.waiter.last().Code, result.WarmingUp)
	check.Equal(gate.Load(), Load{Slots: 1})
}

func TestCallsQueuedAtABackEndThatTurnsColdAreRefused(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	gate.SetColdLimit(0, 6, false)
	gate.SetColdUntil(0, 0)
	first := offer(gate, afterFirstWindow, Call{})
	second := offer(gate, afterFirstWindow, Call{})
	check.Equal(second.state, StateQueued)
	gate.SetColdUntil(afterFirstWindow, time.Hour)
	gate.Done(afterFirstWindow, first.ticket, true)
	check.Equal(second.waiter.last().Code, result.WarmingUp)
}

func TestHighPriorityCallGetsTheLastColdStart(t *testing.T) {
	check := is.New(t)
	gate := coldGate(8, limitForTwoAtOnce)
	high := Call{Priority: resource.PriorityHigh}
	check.Equal(offer(gate, afterFirstWindow, high).state, StateStarted)
	for offer(gate, afterFirstWindow, Call{Priority: resource.PriorityLow}).state == StateStarted {
	}
	check.Equal(offer(gate, afterFirstWindow, high).state, StateStarted)
}

func TestResendCountsTowardsTheColdLimit(t *testing.T) {
	check := is.New(t)
	gate := coldGate(6, limitForTwoAtOnce)
	first := offer(gate, afterFirstWindow, Call{})
	check.True(gate.TryResend(afterFirstWindow, first.ticket))
	check.True(!gate.TryResend(afterFirstWindow, first.ticket))
	check.Equal(offer(gate, afterFirstWindow, Call{}).code, result.WarmingUp)
}

func TestAnAttemptRefusedAsColdDoesNotStartLater(t *testing.T) {
	check := is.New(t)
	gate := coldGate(6, 1)
	offer(gate, afterFirstWindow, Call{})
	again := Call{Request: 7, Deadline: time.Hour}
	_, refused := gate.RefuseEarly(afterFirstWindow, NewTicket(again, nil))
	check.True(refused)
	check.Equal(offer(gate, 2*afterFirstWindow, again).code, result.AlreadyStarted)
}

func TestWarmGateHasNoColdLimit(t *testing.T) {
	check := is.New(t)
	gate := coldGate(1000, 1)
	gate.SetColdUntil(afterFirstWindow, 0)
	for range 1000 {
		check.Equal(offer(gate, afterFirstWindow, Call{}).state, StateStarted)
	}
}

// BenchmarkWarmGate measures the cost of a call at the gate of a warm back end.
func BenchmarkWarmGate(b *testing.B) {
	gate := New(0, Config{Slots: 1 << 16, QueueLength: 8, QueueWait: time.Second, KeyWindow: time.Minute, KeyCount: 1 << 10})
	gate.SetColdLimit(0, 6, false)
	gate.SetColdUntil(0, 0)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		var ticket Ticket
		for loop.Next() {
			ticket = Ticket{Call: Call{Deadline: time.Hour}}
			if gate.Admit(time.Second, &ticket).State != StateStarted {
				b.Error("refused")
			}
			gate.Done(time.Second, &ticket, true)
		}
	})
}
