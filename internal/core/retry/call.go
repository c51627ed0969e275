// Package retry decides in the calling daemon what follows an attempt of a call:
// another attempt, delivery of the answer, or a final refusal that states correctly
// whether the call ran. It does no input or output and reads no clock.
package retry

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/result"
)

// Policy sets the limits for one call.
type Policy struct {
	// Repeatable is set if the call is idempotent.
	Repeatable bool
	// Attempts is the maximum number of attempts, including the first and excluding
	// relocations; see relocationLimit.
	Attempts int
	// Urgent calls may use the share of the budget that is reserved for them.
	Urgent bool
	// NoRetry is set if the request carries the no-retry mark: a caller further up
	// already retries.
	NoRetry bool
	// RetryFailures retries repeatable calls to which the back end answered with a
	// failure. It also resends calls that a gate refused before they reached a back
	// end, without charging the budget: a resend adds no load to that back end.
	RetryFailures bool
	// Deadline is on the calling daemon's clock.
	Deadline time.Duration
	// Margin is the minimum time left for another attempt to be useful.
	Margin time.Duration
	// Class is the class under which the budget counts the call.
	Class callclass.Class
	// Unbudgeted retries without budget and no-retry mark. It is for comparisons only.
	Unbudgeted bool
}

// relocationLimit is the maximum number of relocations of a call: attempts at another endpoint
// because the previous one did not process the call. They do not
// count towards Policy.Attempts.
const relocationLimit = 4

// sameEndpointWait is the pause before the only endpoint is tried again.
const sameEndpointWait = 20 * time.Millisecond

// defaultRetryAfter is sent with refusals for temporary conditions.
const defaultRetryAfter = time.Second

// Action is what to do next with a call.
type Action int

// The actions.
const (
	// Send makes another attempt, after Step.Wait.
	Send Action = iota + 1
	// Deliver passes the answer on to the caller.
	Deliver
	// Refuse sends the caller the final refusal.
	Refuse
)

// Step is the decision on what follows an attempt.
type Step struct {
	Action Action
	// Wait is the pause before the attempt.
	Wait time.Duration
	// Mark sets the no-retry mark on the attempt.
	Mark bool
	// Code, Ran and RetryAfter describe the final refusal.
	Code       result.Code
	Ran        result.Execution
	RetryAfter time.Duration
}

// Call is the state of one call in the calling daemon. It must be used by one goroutine.
type Call struct {
	policy Policy
	budget *Budget
	// attempts counts all attempts, relocations the resends that mayRelocate allowed.
	attempts    int
	relocations int
	// uncertainAttempts counts the attempts that may have run. A later refusal that states
	// "did not run" applies only to its own attempt.
	uncertainAttempts int
	// resolvedOutcome is the last outcome that ResolveUncertainAttempt accepted.
	resolvedOutcome Outcome
	// isDeposited is set once the call is recorded in the budget.
	isDeposited bool
	// uncertainCode is the code of the last attempt that may have run.
	uncertainCode result.Code
	// retryReserved is set if the next attempt is already charged to the budget.
	retryReserved bool
	// trialReserved is set once ReserveTrialRetry has charged a retry, at trialReservedAt.
	trialReserved   bool
	trialReservedAt time.Duration
}

// NewCall returns the state of a new call.
func NewCall(policy Policy, budget *Budget) *Call {
	return &Call{policy: policy, budget: budget}
}

// deposit records the call in the budget at the first attempt that may have run.
func (c *Call) deposit(now time.Duration, outcome Outcome) {
	if c.isDeposited || didNotRun(outcome) {
		return
	}
	c.isDeposited = true
	c.budget.Deposit(now, c.policy.Class)
}

// ReserveTrialRetry charges a second attempt before the first is sent to a version on trial
// and reports whether the call may be sent there. A faulty version on trial must not harm
// callers, so a repeatable call is sent there only if a retry is guaranteed. A call that is
// not repeatable has no retry to charge. ReleaseTrialRetry must be called when the call ends.
func (c *Call) ReserveTrialRetry(now time.Duration) bool {
	if !c.policy.Repeatable {
		return true
	}
	if c.policy.NoRetry || c.policy.Attempts < 2 || c.retryReserved || !c.budget.WithdrawForTrial(now, c.policy.Class) {
		return false
	}
	c.retryReserved, c.trialReserved, c.trialReservedAt = true, true, now
	return true
}

// ReleaseTrialRetry refunds a retry that was charged but not sent: the one charged by
// ReserveTrialRetry or, after that one was sent, a later one charged by ReserveRetry. It must be
// called when the call ends.
func (c *Call) ReleaseTrialRetry() {
	if c.trialReserved && c.retryReserved {
		c.retryReserved = false
		c.budget.Refund(c.trialReservedAt, c.policy.Class)
	}
}

// BudgetRemaining returns the number of retries that urgent calls of the same class may still
// make, as text for logs.
func (c *Call) BudgetRemaining(now time.Duration) string {
	return strconv.FormatFloat(c.budget.Remaining(now, c.policy.Class), 'f', 1, 64)
}

// FirstStep returns the step for the first attempt.
func (c *Call) FirstStep() Step {
	return Step{Action: Send, Mark: c.policy.NoRetry}
}

// NextStep returns the step that follows an attempt with the given outcome.
func (c *Call) NextStep(now time.Duration, outcome Outcome) Step {
	c.attempts++
	c.deposit(now, outcome)
	if outcome.Kind == Answered && c.withdrawForAnswer(now, outcome) {
		c.uncertainAttempts++
		c.uncertainCode = result.BrokenInFlight
		return c.resend(now, outcome)
	}
	if outcome.Kind == Answered {
		// Other failures that the back end answered are delivered: if every service
		// in a chain of calls retried them, the calls to the last would multiply.
		return Step{Action: Deliver}
	}
	c.recordUncertainty(outcome)
	switch {
	case outcome.Kind == CallerGone:
		return c.refuse(result.CallerGone, 0)
	case now >= c.policy.Deadline || c.uncertainCode == result.DeadlineInFlight:
		return c.refuse(c.deadlineCode(), 0)
	case !c.mayRepeat(outcome) || (refusesAllCalls(outcome) && !outcome.Others) || now+c.policy.Margin >= c.policy.Deadline:
		return c.refuseFor(outcome)
	case c.mayRelocate(outcome):
		c.relocations++
		return c.resend(now, outcome)
	case refusedForStarts(outcome):
		return c.refuseFor(outcome) // another gate is probably cold as well
	case c.policy.NoRetry || c.attempts-c.relocations >= c.policy.Attempts:
		return c.refuseFor(outcome)
	case !c.withdraw(now, c.attempts-c.relocations):
		return c.refuseOverBudget(outcome)
	}
	return c.resend(now, outcome)
}

// ReserveRetry charges another attempt while the current one still runs, and reports whether
// the call would be resent if the current attempt were cancelled now with the outcome.
// If not, the current attempt must go on: cancelling it would only lose its answer.
func (c *Call) ReserveRetry(now time.Duration, outcome Outcome) bool {
	if c.retryReserved {
		return true
	}
	attempts := c.attempts + 1 - c.relocations
	c.retryReserved = c.policy.Repeatable && outcome.Replayable && outcome.Others && !c.policy.NoRetry &&
		now+c.policy.Margin < c.policy.Deadline && attempts < c.policy.Attempts && c.withdraw(now, attempts)
	return c.retryReserved
}

// withdraw charges the retry that follows a number of attempts, unless it is already charged,
// and reports whether it may be sent. The nth retry of a call costs n, because later retries
// succeed less often and multiply more in a chain of calls.
func (c *Call) withdraw(now time.Duration, attempts int) bool {
	if c.retryReserved {
		c.retryReserved = false
		return true
	}
	return c.policy.Unbudgeted || c.budget.Withdraw(now, c.policy.Class, attempts, c.policy.Urgent)
}

// withdrawForAnswer reports whether to retry a failure that the back end answered, and if so
// charges the retry. It allows only repeatable calls, at another endpoint and within the
// attempts and the budget.
func (c *Call) withdrawForAnswer(now time.Duration, outcome Outcome) bool {
	return outcome.Failed && c.policy.RetryFailures && c.policy.Repeatable && !c.policy.NoRetry &&
		outcome.Replayable && outcome.Others && now+c.policy.Margin < c.policy.Deadline &&
		c.attempts-c.relocations < c.policy.Attempts &&
		c.withdraw(now, c.attempts-c.relocations)
}

// recordUncertainty counts the attempt as one that may have run, unless it certainly did not run.
func (c *Call) recordUncertainty(outcome Outcome) {
	if didNotRun(outcome) {
		return
	}
	c.uncertainAttempts++
	switch outcome.Kind {
	case Expired:
		c.uncertainCode = result.DeadlineInFlight
	case Refused:
		c.uncertainCode = outcome.Code
	default:
		c.uncertainCode = result.BrokenInFlight
	}
}

// ResolveUncertainAttempt applies the late outcome of an attempt that NextStep counted
// as possibly run. It returns true if the outcome proves that the attempt did not run, and then
// no longer counts it.
func (c *Call) ResolveUncertainAttempt(outcome Outcome) bool {
	if !didNotRun(outcome) || c.uncertainAttempts == 0 {
		return false
	}
	c.uncertainAttempts--
	c.resolvedOutcome = outcome
	return true
}

// FinalStep returns the step to take once all attempts have ended. This is the decided step. If
// that step is a refusal and ResolveUncertainAttempt has since shown that no attempt ran, it is
// the refusal for the outcome resolved last.
func (c *Call) FinalStep(decided Step) Step {
	if decided.Action != Refuse || decided.Ran == result.RanNo || c.uncertainAttempts > 0 {
		return decided
	}
	return c.refuseFor(c.resolvedOutcome)
}

// mayRepeat implements at-most-once execution (I6): a call that is not repeatable is
// resent only if none of its attempts can have run.
func (c *Call) mayRepeat(outcome Outcome) bool {
	if outcome.Kind == NoEndpoint || !outcome.Replayable {
		return false
	}
	return c.policy.Repeatable || c.uncertainAttempts == 0
}

// mayRelocate reports whether the call should go to another endpoint because the previous
// endpoint did not process it. A relocation adds no load, so it needs no budget and ignores the no-retry
// mark. Another endpoint must be available.
func (c *Call) mayRelocate(outcome Outcome) bool {
	if !didNotRun(outcome) || !outcome.Others || c.relocations >= relocationLimit {
		return false
	}
	if c.policy.RetryFailures && outcome.Kind == Refused && !outcome.Arrived {
		return true
	}
	return outcome.Kind == NotSent || outcome.Code == result.ConnectFailed || refusesAllCalls(outcome)
}

// resend returns the step for another attempt.
func (c *Call) resend(now time.Duration, outcome Outcome) Step {
	step := Step{Action: Send, Mark: !c.policy.Unbudgeted}
	if !outcome.Others {
		step.Wait = min(sameEndpointWait, c.policy.Deadline-now)
	}
	return step
}

// refuseFor returns the final refusal that fits the last attempt's outcome.
func (c *Call) refuseFor(outcome Outcome) Step {
	switch outcome.Kind {
	case NotSent:
		return c.refuse(result.ConnectFailed, defaultRetryAfter)
	case NoEndpoint:
		return c.refuse(result.NoEndpoint, defaultRetryAfter)
	case Refused:
		return c.refuse(outcome.Code, outcome.RetryAfter)
	}
	return c.refuse(result.BrokenInFlight, 0)
}

// refuseOverBudget returns the final refusal of a call that the budget does not allow to
// retry. Its code is RetryBudgetSpent if the last attempt was broken, otherwise the code
// that refuseFor returns.
func (c *Call) refuseOverBudget(outcome Outcome) Step {
	if outcome.Kind == Broken {
		return c.refuse(result.RetryBudgetSpent, defaultRetryAfter)
	}
	return c.refuseFor(outcome)
}

// deadlineCode returns the code of a refusal because the deadline has passed.
func (c *Call) deadlineCode() result.Code {
	if c.uncertainAttempts > 0 {
		return result.DeadlineInFlight
	}
	return result.DeadlineBeforeStart
}

// refuse returns the final refusal. It states "did not run" only if no attempt can have
// run. Otherwise a code that implies "did not run" is replaced as well, because some
// clients read only the code.
func (c *Call) refuse(code result.Code, retryAfter time.Duration) Step {
	step := Step{Action: Refuse, Code: code, Ran: result.RanNo, RetryAfter: retryAfter}
	if c.uncertainAttempts == 0 {
		return step
	}
	step.Ran = result.RanUnknown
	if impliesNotRun(code) {
		step.Code = c.uncertainCode
	}
	if impliesNotRun(step.Code) {
		step.Code = result.BrokenInFlight
	}
	return step
}

// didNotRun reports whether the attempt certainly did not run.
func didNotRun(outcome Outcome) bool {
	switch outcome.Kind {
	case NotSent, NoEndpoint:
		return true
	case Refused:
		return outcome.Ran == result.RanNo
	}
	return false
}
