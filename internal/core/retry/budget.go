package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
)

// unit is one call or retry in the accounts, which count in thousandths.
const unit = 1000

// What is allowed is kept in part for those whom it matters to most.
const (
	// keptForUrgent is the share that only urgent calls may use, so that a service whose
	// ordinary calls fail can still save those that matter most.
	keptForUrgent = 0.25
	// keptFromTrials is the share that calls to a version on trial leave to all others:
	// what such a version fails is not repeated at their cost.
	keptFromTrials = 0.5
)

// Limits bounds the retries towards one service in every window.
type Limits struct {
	// Ratio is the retries that each call allows.
	Ratio float64
	// Part is how many retries are allowed where the calls allow fewer.
	Part float64
	// Window is the span in which calls and retries are counted.
	Window time.Duration
}

// safety is the share of a stated bound that is used, for attempts that arrive in
// another window than the one they were counted in.
const safety = 0.9

// ForChain returns the limits of one of a number of daemons that together may repeat
// a ratio of the calls to each service, and a slack, where calls go through at most
// depth services, each of which is called by the one before it. Each of these adds its
// own retries to what the last one gets, so that each may use a part. What the slack
// allows at the first is multiplied by the calls that runs make further down.
func LimitsForChain(ratio, slack float64, depth, daemons int, window time.Duration) Limits {
	services := float64(max(depth, 1))
	return Limits{
		Ratio:  ratio * safety / services,
		Part:   slack / services / float64(max(daemons, 1)),
		Window: window,
	}
}

// DefaultLimits lets retries be a tenth of the calls.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.1, Part: 10, Window: 10 * time.Second}
}

// account counts the calls and retries of one service, or of one class of its calls.
type account struct {
	// calls are those that ran, retries those sent again.
	calls   window
	retries window
}

// Budget bounds the retries towards one service to a share of its calls, in every
// window that ends now. It is shared by all calls and takes no lock.
//
// What a daemon sends again in a window is at most Ratio of its calls in that window, or
// Part where that is more. So the sum over many daemons is bounded by the calls of all of them.
//
// A run that was itself a retry makes calls, and these are repetitions at the services
// called, though nobody there has sent them again and nobody can tell them from others.
// So Ratio has to leave room for those of all services further up (see ForChain). For
// that the bound holds for each class of calls as well: calls of a class that calls
// nobody can't pay for retries of one that does.
type Budget struct {
	ratio  int64
	window time.Duration
	part   atomic.Int64

	service account
	classes callclass.Table[account]
}

// NewBudget returns a budget of the default limits.
func NewBudget() *Budget { return NewBudgetWithLimits(DefaultLimits()) }

// NewBudgetWithin returns a budget of the limits; without a window that of the
// default limits is taken.
func NewBudgetWithLimits(limits Limits) *Budget {
	budget := &Budget{
		ratio:  int64(limits.Ratio * unit),
		window: cmp.Or(limits.Window, DefaultLimits().Window),
	}
	budget.SetMinimumRetries(limits.Part)
	return budget
}

// SetPart changes what is allowed whatever the calls are, as the number of daemons
// that share the whole changes.
func (b *Budget) SetMinimumRetries(part float64) { b.part.Store(int64(part * unit)) }

// Deposit records a call that has run, or may have. One that back ends only turned
// away allows no retries: it makes no calls itself, so that what it allowed would be
// too much for the services that those which do run call.
func (b *Budget) Deposit(now time.Duration, class callclass.Class) {
	b.service.calls.add(now, b.window, unit)
	b.classes.Get(class).calls.add(now, b.window, unit)
}

// Withdraw takes the cost of a retry, in retries, and answers false when there is
// not so much. The last part of what is allowed is for urgent calls.
func (b *Budget) Withdraw(now time.Duration, class callclass.Class, cost int, urgent bool) bool {
	kept := keptForUrgent
	if urgent {
		kept = 0
	}
	return b.withdraw(now, class, cost, kept)
}

// WithdrawForTrial takes the cost of one retry of a call that is sent to a version on
// trial, ahead of its first attempt.
func (b *Budget) WithdrawForTrial(now time.Duration, class callclass.Class) bool {
	return b.withdraw(now, class, 1, keptFromTrials)
}

// Refund gives back the cost of a retry that was withdrawn at a time and not made.
func (b *Budget) Refund(withdrawnAt time.Duration, class callclass.Class) {
	for _, one := range b.accountsOf(class) {
		one.retries.takeBack(withdrawnAt, b.window, unit)
	}
}

// accountsOf are the accounts that a retry of a class is charged to.
func (b *Budget) accountsOf(class callclass.Class) [2]*account {
	return [...]*account{&b.service, b.classes.Get(class)}
}

// withdraw takes the cost of a retry where a share of what is allowed is left after it.
func (b *Budget) withdraw(now time.Duration, class callclass.Class, cost int, kept float64) bool {
	price := int64(cost) * unit
	accounts := b.accountsOf(class)
	// It is taken first and given back where it was too much, so that two at the
	// same moment never take more than there is.
	for _, one := range accounts {
		one.retries.add(now, b.window, price)
	}
	for _, one := range accounts {
		if b.left(now, one, kept) < 0 {
			for _, taken := range accounts {
				taken.retries.add(now, b.window, -price)
			}
			return false
		}
	}
	return true
}

// left is what an account still allows beside a share that is kept; negative when it
// has been exceeded.
func (b *Budget) left(now time.Duration, of *account, kept float64) int64 {
	calls := of.calls.lowerBound(now, b.window)
	retries := of.retries.upperBound(now, b.window)
	allowed := max(calls*b.ratio/unit, b.part.Load())
	return allowed - reserve(allowed, kept) - retries
}

// reserve is the share of what is allowed that is kept, but never so much that one retry
// does not fit beside it.
func reserve(allowed int64, kept float64) int64 {
	return max(0, min(int64(float64(allowed)*kept), allowed-unit))
}

// Left is how many retries of urgent calls of a class are allowed now.
func (b *Budget) Remaining(now time.Duration, class callclass.Class) float64 {
	left := min(b.left(now, &b.service, 0), b.left(now, b.classes.Get(class), 0))
	return float64(max(left, 0)) / unit
}
