package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

// rateGate returns a gate whose back end is warm and has just stated a rate.
func rateGate(slots int, perSecond float64) *Gate {
	gate := New(0, testConfig(slots))
	gate.SetColdUntil(0, 0)
	gate.SetCallRate(0, perSecond)
	return gate
}

// Guards against calls above a stated rate that wait for a slot, or start as one becomes free.
func TestCallsAboveAStatedRateAreRefusedAtOnce(t *testing.T) {
	check := is.New(t)
	gate := rateGate(6, 2)
	early := gate.Admit(0, NewTicket(Call{Deadline: time.Hour}, nil))
	check.Equal(early.Code, result.BackendLimited)
	check.Equal(early.RetryAfter, 500*time.Millisecond)
	check.Equal(offer(gate, early.RetryAfter, Call{}).state, StateStarted)
	check.Equal(offer(gate, early.RetryAfter, Call{}).code, result.BackendLimited)
	_, refused := gate.RefuseEarly(early.RetryAfter, NewTicket(Call{Request: 7, Deadline: time.Hour}, nil))
	check.True(refused)
	gate.SetCallRate(early.RetryAfter, 0)
	check.Equal(offer(gate, early.RetryAfter, Call{}).state, StateStarted)
}

// Guards against calls that were queued before a back end stated a rate and start beyond it.
func TestQueuedCallsKeepToARateStatedSince(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	gate.SetColdUntil(0, 0)
	first := offer(gate, 0, Call{})
	second := offer(gate, 0, Call{})
	third := offer(gate, 0, Call{})
	check.Equal(third.state, StateQueued)
	gate.SetCallRate(0, 2)
	gate.Done(600*time.Millisecond, first.ticket, true)
	check.Equal(second.waiter.last().State, StateStarted)
	gate.Done(700*time.Millisecond, second.ticket, true)
	check.Equal(third.waiter.last().Code, result.BackendLimited)
	check.Equal(gate.Load(), Load{Slots: 1})
}

func TestResendCountsTowardsAStatedRate(t *testing.T) {
	check := is.New(t)
	gate := rateGate(6, 2)
	first := offer(gate, time.Second, Call{}) // two tokens
	check.True(gate.TryResend(time.Second, first.ticket))
	check.True(!gate.TryResend(time.Second, first.ticket))
}
