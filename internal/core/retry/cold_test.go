package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

// coldRefusal is the outcome of an attempt that a gate refused because its back end is cold.
var coldRefusal = Outcome{
	Kind: Refused, Code: result.WarmingUp, Ran: result.RanNo, RetryAfter: 700 * time.Millisecond,
	Replayable: true, Others: true,
}

func TestCallRefusedAsColdIsRelocatedWithoutBudget(t *testing.T) {
	check := is.New(t)
	budget := NewBudget()
	remainingRetries := budget.Remaining(0, 0)
	for _, policy := range []Policy{{}, {NoRetry: true}, {Repeatable: true}} {
		policy.Attempts, policy.Deadline = 1, time.Minute
		check.Equal(NewCall(policy, budget).NextStep(0, coldRefusal).Action, Send)
	}
	check.Equal(budget.Remaining(0, 0), remainingRetries)
}

func TestRelocationsAfterColdRefusalsAreLimited(t *testing.T) {
	check := is.New(t)
	call := newCall(Policy{Repeatable: true, Attempts: 9})
	for range relocationLimit {
		check.Equal(call.NextStep(0, coldRefusal).Action, Send)
	}
	step := call.NextStep(0, coldRefusal)
	check.Equal(step, Step{Action: Refuse, Code: result.WarmingUp, Ran: result.RanNo, RetryAfter: coldRefusal.RetryAfter})
}

func TestCallIsRefusedIfAllEndpointsAreCold(t *testing.T) {
	check := is.New(t)
	noOtherEndpoint := coldRefusal
	noOtherEndpoint.Others = false
	step := newCall(Policy{Repeatable: true}).NextStep(0, noOtherEndpoint)
	check.Equal(step, Step{Action: Refuse, Code: result.WarmingUp, Ran: result.RanNo, RetryAfter: coldRefusal.RetryAfter})
}

func TestColdRefusalDoesNotHideAnUncertainAttempt(t *testing.T) {
	check := is.New(t)
	call := newCall(Policy{Repeatable: true})
	check.Equal(call.NextStep(0, Outcome{Kind: Broken, Replayable: true, Others: true}).Action, Send)
	noOtherEndpoint := coldRefusal
	noOtherEndpoint.Others = false
	check.Equal(call.NextStep(0, noOtherEndpoint), Step{Action: Refuse, Code: result.BrokenInFlight, Ran: result.RanUnknown, RetryAfter: coldRefusal.RetryAfter})
}
