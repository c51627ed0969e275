// Package retry decides, on the callers' side, what follows an attempt of a
// call: another attempt, the answer, or a final refusal that tells the truth
// about execution. It does no input or output and reads no clock.
package retry

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/result"
)

// Policy is what is allowed for one call.
type Policy struct {
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	// Attempts is the most attempts, the first included.
	Attempts int
	// Urgent calls may use the part of the budget that is kept for them.
	Urgent bool
	// NoRetry is the mark of a caller above that retries already.
	NoRetry bool
	// RetryFailures sends repeatable calls again after a failure that the back
	// end answered, and goes on from a gate's refusal without budget, since no
	// back end has seen the call.
	RetryFailures bool
	// Deadline is on the caller's clock.
	Deadline time.Duration
	// Margin is the least time in which another attempt can be of use.
	Margin time.Duration
	// Class tells calls of like routes apart in the budget.
	Class callclass.Class
	// Unbudgeted retries without budget and mark. It is for comparisons only.
	Unbudgeted bool
}

// relocationLimit bounds the attempts beyond Policy.Attempts of a call that
// is only sent on because an endpoint is leaving or can't be reached.
const relocationLimit = 4

// sameEndpointWait is the pause before the only endpoint is tried again.
const sameEndpointWait = 20 * time.Millisecond

// defaultRetryAfter is told with refusals that pass with time.
const defaultRetryAfter = time.Second

// Action tells what to do next.
type Action int

// The actions.
const (
	// Send makes another attempt, after Step.Wait.
	Send Action = iota + 1
	// Deliver passes the answer on to the caller.
	Deliver
	// Refuse gives the caller the final refusal.
	Refuse
)

// Step is a decision.
type Step struct {
	Action Action
	// Wait is the pause before the attempt.
	Wait time.Duration
	// Mark sets the mark against retries on the attempt.
	Mark bool
	// Code, Ran and RetryAfter are the final refusal.
	Code       result.Code
	Ran        result.Execution
	RetryAfter time.Duration
}

// Call is the state of one call on the callers' side. One goroutine uses it.
type Call struct {
	policy Policy
	budget *Budget
	// attempts counts those made; relocations those not counted as retries.
	attempts    int
	relocations int
	// inDoubt counts the attempts that are not certain not to have run. A later "did
	// not run" speaks of its own attempt only, and takes back no other one's doubt.
	inDoubt int
	// disproof is the last outcome that Disprove was told.
	disproof Outcome
	// deposited says that the call has been recorded in the budget.
	deposited bool
	// unknownCode is the code of the last attempt that may have run.
	unknownCode result.Code
	// prepaid says that the attempt after the present one is paid for.
	prepaid bool
	// onTrial says that it was paid for by PayForTrial, at trialPaidAt.
	onTrial     bool
	trialPaidAt time.Duration
}

// NewCall starts the account of a call.
func NewCall(policy Policy, budget *Budget) *Call {
	return &Call{policy: policy, budget: budget}
}

// deposit records the call in the budget at the first attempt that may have run.
func (c *Call) deposit(now time.Duration, outcome Outcome) {
	if c.deposited || didNotRun(outcome) {
		return
	}
	c.deposited = true
	c.budget.Deposit(now, c.policy.Class)
}

// PayForTrial pays for a second attempt before the first one is sent to a version on
// trial, and tells whether it may be sent there: what such a version fails is no fault of
// its caller's, so a call that may be repeated is put on trial only if it will be. A call
// that may not be repeated has no second attempt to pay for. Settle must follow.
func (c *Call) ReserveTrialRetry(now time.Duration) bool {
	if !c.policy.Repeatable {
		return true
	}
	if c.policy.NoRetry || c.policy.Attempts < 2 || c.prepaid || !c.budget.WithdrawForTrial(now, c.policy.Class) {
		return false
	}
	c.prepaid, c.onTrial, c.trialPaidAt = true, true, now
	return true
}

// Settle gives back what was paid for a second attempt that was not needed. It is called
// when the call has ended.
func (c *Call) ReleaseTrialRetry() {
	if c.onTrial && c.prepaid {
		c.prepaid = false
		c.budget.Refund(c.trialPaidAt, c.policy.Class)
	}
}

// BudgetLeft is how many retries the budget has left, as text for logs.
func (c *Call) BudgetRemaining(now time.Duration) string {
	return strconv.FormatFloat(c.budget.Remaining(now, c.policy.Class), 'f', 1, 64)
}

// First returns the mark for the first attempt.
func (c *Call) First() Step {
	return Step{Action: Send, Mark: c.policy.NoRetry}
}

// Next decides what follows an attempt.
func (c *Call) Next(now time.Duration, outcome Outcome) Step {
	c.attempts++
	c.deposit(now, outcome)
	if outcome.Kind == Answered && c.retriesAnswer(now, outcome) {
		c.inDoubt++
		c.unknownCode = result.BrokenInFlight
		return c.send(now, outcome)
	}
	if outcome.Kind == Answered {
		// An answer is an answer, also one of failure: in a chain of calls every
		// level would retry it, and the calls below would multiply.
		return Step{Action: Deliver}
	}
	c.weigh(outcome)
	switch {
	case outcome.Kind == CallerGone:
		return c.refuse(result.CallerGone, 0)
	case now >= c.policy.Deadline || c.unknownCode == result.DeadlineInFlight:
		return c.refuse(c.deadlineCode(), 0)
	case !c.mayRepeat(outcome) || (turnsAway(outcome) && !outcome.Others) || now+c.policy.Margin >= c.policy.Deadline:
		return c.giveUp(outcome)
	case c.relocates(outcome):
		c.relocations++
		return c.send(now, outcome)
	case isCold(outcome):
		return c.giveUp(outcome) // to ask yet another gate would rather find it cold as well
	case c.policy.NoRetry || c.attempts-c.relocations >= c.policy.Attempts:
		return c.giveUp(outcome)
	case !c.withdraw(now, c.attempts-c.relocations):
		return c.budgetSpent(outcome)
	}
	return c.send(now, outcome)
}

// Prepay pays for another attempt while the present one still runs, and tells
// whether there will be one if the present one is broken off now with an outcome.
// Without that promise, breaking it off would only lose its answer.
func (c *Call) ReserveRetry(now time.Duration, outcome Outcome) bool {
	if c.prepaid {
		return true
	}
	attempts := c.attempts + 1 - c.relocations
	c.prepaid = c.policy.Repeatable && outcome.Replayable && outcome.Others && !c.policy.NoRetry &&
		now+c.policy.Margin < c.policy.Deadline && attempts < c.policy.Attempts && c.withdraw(now, attempts)
	return c.prepaid
}

// withdraw pays for the attempt after a number of attempts. A second retry of one
// call costs two, for it helps less often and, in a chain of calls, multiplies more.
func (c *Call) withdraw(now time.Duration, attempts int) bool {
	if c.prepaid {
		c.prepaid = false
		return true
	}
	return c.policy.Unbudgeted || c.budget.Withdraw(now, c.policy.Class, attempts, c.policy.Urgent)
}

// retriesAnswer tells whether a failure that the back end answered is worth
// another attempt: for repeatable calls only, at another endpoint, and within
// the attempts and the budget.
func (c *Call) retriesAnswer(now time.Duration, outcome Outcome) bool {
	return outcome.Failed && c.policy.RetryFailures && c.policy.Repeatable && !c.policy.NoRetry &&
		outcome.Replayable && outcome.Others && now+c.policy.Margin < c.policy.Deadline &&
		c.attempts-c.relocations < c.policy.Attempts &&
		c.withdraw(now, c.attempts-c.relocations)
}

// weigh records an attempt that may have run.
func (c *Call) weigh(outcome Outcome) {
	if didNotRun(outcome) {
		return
	}
	c.inDoubt++
	switch outcome.Kind {
	case Expired:
		c.unknownCode = result.DeadlineInFlight
	case Refused:
		c.unknownCode = outcome.Code
	default:
		c.unknownCode = result.BrokenInFlight
	}
}

// Disprove takes back the doubt about an attempt that Next was told may have run, and tells
// whether the outcome with which it has ended since is proof that it did not.
func (c *Call) ResolveUncertainAttempt(outcome Outcome) bool {
	if !didNotRun(outcome) || c.inDoubt == 0 {
		return false
	}
	c.inDoubt--
	c.disproof = outcome
	return true
}

// Final is the final refusal once all attempts have ended: as it was decided or, if the
// last doubt was taken back since, that of the attempt which was in doubt.
func (c *Call) FinalStep(decided Step) Step {
	if decided.Action != Refuse || decided.Ran == result.RanNo || c.inDoubt > 0 {
		return decided
	}
	return c.giveUp(c.disproof)
}

// mayRepeat is the rule of at most once (I6): a call that may not be repeated
// is sent again only if no attempt of it can have run.
func (c *Call) mayRepeat(outcome Outcome) bool {
	if outcome.Kind == NoEndpoint || !outcome.Replayable {
		return false
	}
	return c.policy.Repeatable || c.inDoubt == 0
}

// relocates tells whether the attempt met an endpoint that is not there for
// the call. Going elsewhere then adds no load, so it needs no budget and
// heeds no mark; there must be an elsewhere.
func (c *Call) relocates(outcome Outcome) bool {
	if !didNotRun(outcome) || !outcome.Others || c.relocations >= relocationLimit {
		return false
	}
	if c.policy.RetryFailures && outcome.Kind == Refused && !outcome.Arrived {
		return true
	}
	return outcome.Kind == NotSent || outcome.Code == result.ConnectFailed || turnsAway(outcome)
}

func (c *Call) send(now time.Duration, outcome Outcome) Step {
	step := Step{Action: Send, Mark: !c.policy.Unbudgeted}
	if !outcome.Others {
		step.Wait = min(sameEndpointWait, c.policy.Deadline-now)
	}
	return step
}

// giveUp is the final refusal after an attempt.
func (c *Call) giveUp(outcome Outcome) Step {
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

// budgetSpent tells of the budget where the attempt has no code of its own.
func (c *Call) budgetSpent(outcome Outcome) Step {
	if outcome.Kind == Broken {
		return c.refuse(result.RetryBudgetSpent, defaultRetryAfter)
	}
	return c.giveUp(outcome)
}

func (c *Call) deadlineCode() result.Code {
	if c.inDoubt > 0 {
		return result.DeadlineInFlight
	}
	return result.DeadlineBeforeStart
}

// refuse says "did not run" only if that is true of every attempt. A code that
// means "did not run" is then not used either, for some read only the code.
func (c *Call) refuse(code result.Code, retryAfter time.Duration) Step {
	step := Step{Action: Refuse, Code: code, Ran: result.RanNo, RetryAfter: retryAfter}
	if c.inDoubt == 0 {
		return step
	}
	step.Ran = result.RanUnknown
	if meansNotRun(code) {
		step.Code = c.unknownCode
	}
	if meansNotRun(step.Code) {
		step.Code = result.BrokenInFlight
	}
	return step
}

// didNotRun tells whether the attempt certainly did not run.
func didNotRun(outcome Outcome) bool {
	switch outcome.Kind {
	case NotSent, NoEndpoint:
		return true
	case Refused:
		return outcome.Ran == result.RanNo
	}
	return false
}
