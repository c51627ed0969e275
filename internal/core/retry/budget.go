package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
)

// retryUnit is the amount of one call or retry in an account, which counts in thousandths.
const retryUnit = 1000

// Shares of the allowed retries that are reserved.
const (
	// urgentReserve is the share reserved for urgent calls, so that these can still be
	// retried after failing ordinary calls have used up the rest.
	urgentReserve = 0.25
	// trialReserve is the share that calls to a version on trial may not use, so that
	// retrying a faulty version's failures leaves retries for other calls.
	trialReserve = 0.5
)

// Limits bounds the retries to one service in any window.
type Limits struct {
	// Ratio is the number of retries allowed per call.
	Ratio float64
	// Part is the daemon's part of the slack in LimitsForChain: the number of retries
	// allowed if Ratio allows fewer.
	Part float64
	// Window is the length of the window in which calls and retries are counted.
	Window time.Duration
}

// safetyFactor is the fraction of the configured ratio that is used. The rest covers attempts
// that arrive in a later window than the one in which they were counted.
const safetyFactor = 0.9

// LimitsForChain returns the limits of one daemon, so that the retries of all daemons to each
// service stay within ratio of its calls plus slack. Calls pass through at most depth
// services, each called by the previous one. The last service receives the retries of all
// of them, so each may use only a fraction. If each execution makes several
// calls to the next service, the retries that the slack allows at the first service are
// multiplied by that number at later ones. The limits do not account for this.
func LimitsForChain(ratio, slack float64, depth, daemons int, window time.Duration) Limits {
	services := float64(max(depth, 1))
	return Limits{
		Ratio:  ratio * safetyFactor / services,
		Part:   slack / services / float64(max(daemons, 1)),
		Window: window,
	}
}

// DefaultLimits returns limits that depend neither on the depth of the chain nor on the number
// of daemons.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.1, Part: 10, Window: 10 * time.Second}
}

// account counts the calls and retries of one service or of one class of its calls.
type account struct {
	// calls counts calls that ran or may have run, retries the retries charged to it.
	calls   window
	retries window
}

// Budget limits the retries to one service to a ratio of its calls, in a sliding window.
// It is shared by all calls and lock-free.
//
// The retries of a daemon in a window are at most Ratio of its calls in that window, or
// Part if that is more. Over many daemons, the sum is therefore bounded by their calls.
//
// A retry that runs makes calls to other services. These are repetitions there, but can't be
// recognised as such. Ratio must therefore leave room for the retries of all services
// earlier in the chain; see LimitsForChain. For the same reason the limits also apply to each
// class of calls: calls of a class that makes no further calls must not earn retries for
// a class that does.
type Budget struct {
	ratio          int64
	window         time.Duration
	minimumRetries atomic.Int64

	serviceAccount account
	classAccounts  callclass.Table[account]
}

// NewBudget returns a budget with the default limits.
func NewBudget() *Budget { return NewBudgetWithLimits(DefaultLimits()) }

// NewBudgetWithLimits returns a budget with the limits. A zero window is
// replaced by that of DefaultLimits.
func NewBudgetWithLimits(limits Limits) *Budget {
	budget := &Budget{
		ratio:  int64(limits.Ratio * retryUnit),
		window: cmp.Or(limits.Window, DefaultLimits().Window),
	}
	budget.SetMinimumRetries(limits.Part)
	return budget
}

// SetMinimumRetries replaces Limits.Part. It is called when the number of daemons that share
// the slack changes.
func (b *Budget) SetMinimumRetries(retries float64) {
	b.minimumRetries.Store(int64(retries * retryUnit))
}

// Deposit records a call that ran or may have run. A call that back ends only refused
// earns no retries: it causes no calls to the next service, so a retry earned by it could
// exceed the ratio there.
func (b *Budget) Deposit(now time.Duration, class callclass.Class) {
	b.serviceAccount.calls.add(now, b.window, retryUnit)
	b.classAccounts.Get(class).calls.add(now, b.window, retryUnit)
}

// Withdraw charges the cost of a retry, in units of one retry. It returns false, and
// charges nothing, if the budget does not allow it. A share is reserved for urgent calls.
func (b *Budget) Withdraw(now time.Duration, class callclass.Class, cost int, urgent bool) bool {
	reserve := urgentReserve
	if urgent {
		reserve = 0
	}
	return b.withdraw(now, class, cost, reserve)
}

// WithdrawForTrial charges one retry of a call to a version on trial, before its first
// attempt.
func (b *Budget) WithdrawForTrial(now time.Duration, class callclass.Class) bool {
	return b.withdraw(now, class, 1, trialReserve)
}

// Refund credits the accounts of a class with one retry that was charged at the given time but
// not sent.
func (b *Budget) Refund(withdrawnAt time.Duration, class callclass.Class) {
	for _, chargedAccount := range b.accountsOf(class) {
		chargedAccount.retries.subtract(withdrawnAt, b.window, retryUnit)
	}
}

// accountsOf returns the accounts that a retry of a class is charged to.
func (b *Budget) accountsOf(class callclass.Class) [2]*account {
	return [...]*account{&b.serviceAccount, b.classAccounts.Get(class)}
}

// withdraw charges the cost of a retry unless that would use the reserved share.
func (b *Budget) withdraw(now time.Duration, class callclass.Class, cost int, reserve float64) bool {
	amount := int64(cost) * retryUnit
	accounts := b.accountsOf(class)
	// Charge first and refund if the limit is exceeded, so that concurrent
	// withdrawals never exceed it together.
	for _, chargedAccount := range accounts {
		chargedAccount.retries.add(now, b.window, amount)
	}
	for _, chargedAccount := range accounts {
		if b.remainingIn(now, chargedAccount, reserve) < 0 {
			for _, refundedAccount := range accounts {
				refundedAccount.retries.add(now, b.window, -amount)
			}
			return false
		}
	}
	return true
}

// remainingIn returns the amount that an account still allows, without the reserved share. It
// is negative if the limit is exceeded.
func (b *Budget) remainingIn(now time.Duration, from *account, reserve float64) int64 {
	calls := from.calls.lowerBound(now, b.window)
	retries := from.retries.upperBound(now, b.window)
	allowedAmount := max(calls*b.ratio/retryUnit, b.minimumRetries.Load())
	return allowedAmount - reservedAmount(allowedAmount, reserve) - retries
}

// reservedAmount returns the reserved part of the allowed amount, limited so that at least one
// retry stays available.
func reservedAmount(allowedAmount int64, reserve float64) int64 {
	return max(0, min(int64(float64(allowedAmount)*reserve), allowedAmount-retryUnit))
}

// Remaining returns the number of retries that urgent calls of a class may make now.
func (b *Budget) Remaining(now time.Duration, class callclass.Class) float64 {
	remainingAmount := min(b.remainingIn(now, &b.serviceAccount, 0), b.remainingIn(now, b.classAccounts.Get(class), 0))
	return float64(max(remainingAmount, 0)) / retryUnit
}
