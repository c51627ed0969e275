package retry

import (
	"sync/atomic"
	"time"
)

// The budget is counted in thousandths of a retry.
const (
	unit = 1000
	// depositPerCall lets retries be a tenth of the calls.
	depositPerCall = unit / 10
	// budgetCap is the most that is saved up.
	budgetCap = 10 * unit
	// urgentReserve is the part of it that is kept for urgent calls.
	urgentReserve = budgetCap / 2
	// trickle keeps a service with few calls able to retry.
	trickle       = unit
	tricklePeriod = 2 * time.Second
)

// Budget bounds the retries towards one service to a share of its calls. It is
// shared by all calls and takes no lock.
type Budget struct {
	tokens    atomic.Int64
	trickleAt atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget(now time.Duration) *Budget {
	budget := &Budget{}
	budget.tokens.Store(budgetCap)
	budget.trickleAt.Store(int64(now + tricklePeriod))
	return budget
}

// Deposit records a call; it is called once a call, at its first attempt.
func (b *Budget) Deposit() { b.add(depositPerCall) }

func (b *Budget) add(amount int64) {
	// A full budget is only read, so that it stays in every core's cache.
	for {
		held := b.tokens.Load()
		if held >= budgetCap {
			return
		}
		if b.tokens.CompareAndSwap(held, min(held+amount, budgetCap)) {
			return
		}
	}
}

// Withdraw takes the cost of a retry, in retries, and answers false when there
// is not so much. The last half of what may be saved up is for urgent calls.
func (b *Budget) Withdraw(now time.Duration, cost int, urgent bool) bool {
	price := int64(cost * unit)
	floor := price
	if !urgent {
		floor += urgentReserve
	}
	due := b.trickleAt.Load()
	if int64(now) >= due && b.trickleAt.CompareAndSwap(due, int64(now+tricklePeriod)) {
		b.add(trickle)
	}
	for {
		held := b.tokens.Load()
		if held < floor {
			return false
		}
		if b.tokens.CompareAndSwap(held, held-price) {
			return true
		}
	}
}
