package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/result"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

func newCall(policy Policy) *Call {
	if policy.Attempts == 0 {
		policy.Attempts = 3
	}
	if policy.Deadline == 0 {
		policy.Deadline = time.Minute
	}
	return NewCall(policy, NewBudget())
}

func TestNonRepeatableCallIsResentOnlyIfItDidNotRun(t *testing.T) {
	draining := Outcome{Kind: Refused, Code: result.Draining, Ran: result.RanNo, Replayable: true, Others: true}
	cases := []struct {
		name    string
		outcome Outcome
		want    Step
	}{
		{"draining", draining, Step{Action: Send, Mark: true}},
		{"draining, one endpoint", Outcome{Kind: Refused, Code: result.Draining, Ran: result.RanNo, Replayable: true},
			Step{Action: Refuse, Code: result.Draining, Ran: result.RanNo}},
		{"evacuated", Outcome{Kind: Refused, Code: result.ZoneEvacuated, Ran: result.RanNo, Replayable: true, Others: true},
			Step{Action: Send, Mark: true}},
		{"evacuated, one endpoint", Outcome{Kind: Refused, Code: result.ZoneEvacuated, Ran: result.RanNo, Replayable: true},
			Step{Action: Refuse, Code: result.ZoneEvacuated, Ran: result.RanNo}},
		{"not sent", Outcome{Kind: NotSent, Replayable: true, Others: true}, Step{Action: Send, Mark: true}},
		{"not sent, one endpoint", Outcome{Kind: NotSent, Replayable: true}, Step{Action: Send, Mark: true, Wait: sameEndpointWait}},
		{"not sent, body gone", Outcome{Kind: NotSent, Others: true},
			Step{Action: Refuse, Code: result.ConnectFailed, Ran: result.RanNo, RetryAfter: defaultRetryAfter}},
		{"broken", Outcome{Kind: Broken, Replayable: true, Others: true}, Step{Action: Refuse, Code: result.BrokenInFlight, Ran: result.RanUnknown}},
		{"started before", Outcome{Kind: Refused, Code: result.AlreadyStarted, Ran: result.RanUnknown, Replayable: true, Others: true},
			Step{Action: Refuse, Code: result.AlreadyStarted, Ran: result.RanUnknown}},
		{"caller gone", Outcome{Kind: CallerGone}, Step{Action: Refuse, Code: result.CallerGone, Ran: result.RanUnknown}},
		{"expired", Outcome{Kind: Expired}, Step{Action: Refuse, Code: result.DeadlineInFlight, Ran: result.RanUnknown}},
		{"no endpoint", Outcome{Kind: NoEndpoint}, Step{Action: Refuse, Code: result.NoEndpoint, Ran: result.RanNo, RetryAfter: defaultRetryAfter}},
		{"answered 503", Outcome{Kind: Answered, Replayable: true, Others: true}, Step{Action: Deliver}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			is.New(t).Equal(newCall(Policy{}).NextStep(0, testCase.outcome), testCase.want)
		})
	}
}

func TestDeadlineCodeStatesWhetherTheCallRan(t *testing.T) {
	check := is.New(t)
	refusal := Outcome{Kind: Refused, Code: result.QueueFull, Ran: result.RanNo, Replayable: true, Others: true}
	check.Equal(newCall(Policy{Deadline: 1}).NextStep(2, refusal).Code, result.DeadlineBeforeStart)
	check.Equal(newCall(Policy{Deadline: 1}).NextStep(2, Outcome{Kind: Broken}).Code, result.DeadlineInFlight)
}

func TestRefusalDoesNotHideAnEarlierUncertainAttempt(t *testing.T) {
	check := is.New(t)
	call := newCall(Policy{Repeatable: true})
	check.Equal(call.NextStep(0, Outcome{Kind: Broken, Replayable: true, Others: true}).Action, Send)
	step := call.NextStep(0, Outcome{Kind: Refused, Code: result.Draining, Ran: result.RanNo, Replayable: true})
	check.Equal(step, Step{Action: Refuse, Code: result.BrokenInFlight, Ran: result.RanUnknown})
	lateRefusal := Outcome{Kind: Refused, Code: result.DeadlineInFlight, Ran: result.RanUnknown, Replayable: true, Others: true}
	check.Equal(newCall(Policy{Repeatable: true}).NextStep(0, lateRefusal).Code, result.DeadlineInFlight) // no time for another attempt
}

// The late outcome of an attempt that may have run applies to that attempt only.
func TestUncertainAttemptIsResolvedOnlyByProof(t *testing.T) {
	check := is.New(t)
	broken := Outcome{Kind: Broken, Replayable: true, Others: true}
	refusal := Outcome{Kind: Refused, Code: result.QueueFull, Ran: result.RanNo, RetryAfter: time.Second, Replayable: true}
	unknown := Outcome{Kind: Refused, Code: result.DeadlineInFlight, Ran: result.RanUnknown}
	draining := Outcome{Kind: Refused, Code: result.Draining, Ran: result.RanNo, Replayable: true}

	call := newCall(Policy{Repeatable: true})
	check.Equal(call.NextStep(0, broken).Action, Send)
	refusalStep := call.NextStep(0, draining)
	check.True(!call.ResolveUncertainAttempt(broken))
	check.True(!call.ResolveUncertainAttempt(unknown))
	check.Equal(call.FinalStep(refusalStep), refusalStep) // it is not proven that no attempt ran
	check.True(call.ResolveUncertainAttempt(refusal))
	check.Equal(call.FinalStep(refusalStep), Step{Action: Refuse, Code: result.QueueFull, Ran: result.RanNo, RetryAfter: time.Second})
	check.True(!call.ResolveUncertainAttempt(refusal)) // no uncertain attempt is left

	callBrokenTwice := newCall(Policy{Repeatable: true})
	check.Equal(callBrokenTwice.NextStep(0, broken).Action, Send)
	check.Equal(callBrokenTwice.NextStep(0, broken).Action, Send)
	refusalStep = callBrokenTwice.NextStep(0, draining)
	check.True(callBrokenTwice.ResolveUncertainAttempt(refusal))
	check.Equal(callBrokenTwice.FinalStep(refusalStep), refusalStep) // the other attempt may have run
}

func TestNoRetryMarkStopsRetriesButNotRelocation(t *testing.T) {
	check := is.New(t)
	call := newCall(Policy{Repeatable: true, NoRetry: true})
	check.True(call.FirstStep().Mark)
	draining := Outcome{Kind: Refused, Code: result.Draining, Ran: result.RanNo, Replayable: true, Others: true}
	check.Equal(call.NextStep(0, draining).Action, Send)
	check.Equal(call.NextStep(0, Outcome{Kind: Broken, Replayable: true, Others: true}).Action, Refuse)
}

func TestBudgetBoundsRetries(t *testing.T) {
	check := is.New(t)
	budget := NewBudget()
	retries := 0
	for range 1000 {
		call := NewCall(Policy{Repeatable: true, Attempts: 3, Deadline: time.Minute}, budget)
		for call.NextStep(0, Outcome{Kind: Broken, Replayable: true, Others: true}).Action == Send {
			retries++
		}
	}
	check.True(retries >= 50)  // a second retry costs two
	check.True(retries <= 100) // 10 % of the calls
	ordinary := NewBudget()
	urgent := NewBudget()
	for range 1000 {
		ordinary.Deposit(0, 0)
		urgent.Deposit(0, 0)
	}
	check.Equal(withdrawAll(ordinary, 0, false), 75) // 75 %
	check.Equal(withdrawAll(ordinary, 0, true), 25)  // 25 % are reserved for urgent calls
	check.Equal(withdrawAll(urgent, 0, true), 100)
	check.Equal(withdrawAll(urgent, 5*time.Second, true), 0)
	check.Equal(withdrawAll(urgent, 12*time.Second, true), 10) // one window later only Limits.Part is left
}

// TestAtMostOnce checks I5 and I6 for drawn outcomes of attempts: a call that is not
// repeatable is never resent after an attempt that may have run, and "did not run" is
// reported only if it is true of all attempts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Repeatable: rapid.Bool().Draw(t, "repeatable"), NoRetry: rapid.Bool().Draw(t, "mark")}
		call := newCall(policy)
		mayHaveRun := false
		for attempt := 1; ; attempt++ {
			outcome := Outcome{
				Kind:       OutcomeKind(rapid.IntRange(int(Answered), int(NoEndpoint)).Draw(t, "kind")),
				Code:       rapid.SampledFrom([]result.Code{result.Draining, result.QueueFull, result.AlreadyStarted, result.WarmingUp}).Draw(t, "code"),
				Replayable: rapid.Bool().Draw(t, "replayable"),
				Others:     rapid.Bool().Draw(t, "others"),
			}
			outcome.Ran = rapid.SampledFrom([]result.Execution{result.RanNo, result.RanUnknown}).Draw(t, "ran")
			certainlyNotRun := outcome.Kind == NotSent || outcome.Kind == NoEndpoint ||
				(outcome.Kind == Refused && outcome.Ran == result.RanNo)
			mayHaveRun = mayHaveRun || !certainlyNotRun
			step := call.NextStep(0, outcome)
			if step.Action == Send && mayHaveRun && !policy.Repeatable {
				t.Fatal("a call that may have run was sent again")
			}
			if step.Action == Send && !outcome.Replayable {
				t.Fatal("a call was sent without its body")
			}
			if step.Action == Refuse && (step.Ran == result.RanNo) == mayHaveRun {
				t.Fatalf("refusal states ran=%s; an attempt may have run: %v", step.Ran, mayHaveRun)
			}
			if attempt > 3+relocationLimit {
				t.Fatal("too many attempts")
			}
			if step.Action != Send {
				return
			}
		}
	})
}

// withdrawAll withdraws retries until the budget refuses and returns their number.
func withdrawAll(budget *Budget, now time.Duration, urgent bool) (count int) {
	for budget.Withdraw(now, 0, 1, urgent) {
		count++
	}
	return count
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			budget.Deposit(0, 0)
		}
	})
}

func TestNoAttemptWithinTheMarginBeforeTheDeadline(t *testing.T) {
	check := is.New(t)
	policy := Policy{Repeatable: true, RetryFailures: true, Deadline: 100, Margin: 10}
	failed := Outcome{Kind: Answered, Failed: true, Replayable: true, Others: true}
	check.Equal(newCall(policy).NextStep(89, failed).Action, Send)
	check.Equal(newCall(policy).NextStep(90, failed).Action, Deliver)
	broken := Outcome{Kind: Broken, Replayable: true, Others: true}
	check.Equal(newCall(policy).NextStep(89, broken).Action, Send)
	check.Equal(newCall(policy).NextStep(90, broken).Action, Refuse)
}

func TestAnsweredFailureIsRetriedOnlyIfPolicyAllows(t *testing.T) {
	check := is.New(t)
	failed := Outcome{Kind: Answered, Failed: true, Replayable: true, Others: true}
	check.Equal(newCall(Policy{Repeatable: true}).NextStep(0, failed).Action, Deliver) // without RetryFailures
	check.Equal(newCall(Policy{RetryFailures: true}).NextStep(0, failed).Action, Deliver)
	check.Equal(newCall(Policy{Repeatable: true, RetryFailures: true, NoRetry: true}).NextStep(0, failed).Action, Deliver)
	check.Equal(newCall(Policy{Repeatable: true, RetryFailures: true, Attempts: 1}).NextStep(0, failed).Action, Deliver)
	call := newCall(Policy{Repeatable: true, RetryFailures: true})
	check.Equal(call.NextStep(0, failed).Action, Send)
	refusal := Outcome{Kind: Refused, Code: result.QueueFull, Ran: result.RanNo, Replayable: true}
	check.Equal(call.NextStep(0, refusal).Action, Send)
	check.Equal(call.NextStep(0, refusal).Ran, result.RanUnknown) // the first attempt ran, so the refusal must not state that the call did not run
}

func TestGateRefusalCostsBudgetOnlyIfItReachedTheBackEnd(t *testing.T) {
	check := is.New(t)
	budget := NewBudgetWithLimits(Limits{Ratio: 0, Part: 1})
	policy := Policy{RetryFailures: true, Attempts: 3, Deadline: 100}
	refusal := Outcome{Kind: Refused, Code: result.QueueFull, Ran: result.RanNo, Replayable: true, Others: true}
	check.Equal(NewCall(policy, budget).NextStep(0, refusal).Action, Send)
	refusal.Code, refusal.Arrived = result.BackendRefused, true
	check.Equal(NewCall(policy, budget).NextStep(0, refusal).Action, Send) // allowed by Limits.Part
	check.Equal(NewCall(policy, budget).NextStep(0, refusal).Action, Refuse)
}

func TestSetMinimumRetriesLeavesEarnedRetries(t *testing.T) {
	check := is.New(t)
	budget := NewBudgetWithLimits(Limits{Ratio: 0.5, Part: 4})
	budget.SetMinimumRetries(1)
	check.Equal(withdrawAll(budget, 0, true), 1)
	for range 10 {
		budget.Deposit(0, 0)
	}
	check.Equal(withdrawAll(budget, 0, true), 4) // Ratio is unchanged: 10 calls earn 5, one is used
}

func TestReserveRetryByPolicyAndBudget(t *testing.T) {
	check := is.New(t)
	broken := Outcome{Kind: Broken, Replayable: true, Others: true}
	policy := Policy{Repeatable: true, RetryFailures: true, Attempts: 3, Deadline: 100, Margin: 10}
	budget := NewBudgetWithLimits(Limits{Part: 1})
	first, second := NewCall(policy, budget), NewCall(policy, budget)
	check.True(first.ReserveRetry(0, broken))
	check.True(first.ReserveRetry(0, broken)) // charged only once
	check.True(!second.ReserveRetry(0, broken))
	check.Equal(first.NextStep(1, broken).Action, Send)
	check.Equal(first.NextStep(2, broken).Action, Refuse) // the charged retry is used

	largeLimits := Limits{Part: 100}
	notRepeatable := policy
	notRepeatable.Repeatable = false
	check.True(!NewCall(notRepeatable, NewBudgetWithLimits(largeLimits)).ReserveRetry(0, broken))
	check.True(!NewCall(policy, NewBudgetWithLimits(largeLimits)).ReserveRetry(95, broken)) // the retry would be too late
	noOtherEndpoint := broken
	noOtherEndpoint.Others = false
	check.True(!NewCall(policy, NewBudgetWithLimits(largeLimits)).ReserveRetry(0, noOtherEndpoint))
}
