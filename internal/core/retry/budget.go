package retry

import (
	"sync/atomic"
	"time"
)

// The budget is counted in thousandths of a retry.
const unit = 1000

// Limits bounds the retries towards one service.
type Limits struct {
	// Ratio is the retries that each call allows.
	Ratio float64
	// Saved is the most retries that are saved up; half of them are kept for
	// urgent calls.
	Saved float64
	// Initial is how many are there at the start.
	Initial float64
	// TricklePeriod adds one retry each time, so that a service with few calls
	// is able to retry; 0 adds none.
	TricklePeriod time.Duration
}

// DefaultLimits lets retries be a tenth of the calls.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.1, Saved: 10, Initial: 10, TricklePeriod: 2 * time.Second}
}

// Budget bounds the retries towards one service to a share of its calls. It is
// shared by all calls and takes no lock.
type Budget struct {
	deposit int64
	trickle time.Duration

	saved atomic.Int64

	tokens    atomic.Int64
	trickleAt atomic.Int64
}

// NewBudget returns a full budget of the default limits.
func NewBudget(now time.Duration) *Budget { return NewBudgetWithin(now, DefaultLimits()) }

// NewBudgetWithin returns a budget of the limits; zero limits mean the default.
func NewBudgetWithin(now time.Duration, limits Limits) *Budget {
	if limits == (Limits{}) {
		limits = DefaultLimits()
	}
	budget := &Budget{
		deposit: int64(limits.Ratio * unit),
		trickle: limits.TricklePeriod,
	}
	budget.saved.Store(int64(limits.Saved * unit))
	budget.tokens.Store(int64(limits.Initial * unit))
	budget.trickleAt.Store(int64(now + limits.TricklePeriod))
	return budget
}

// SetSaved changes the most that is saved up, as the number of daemons that
// share the whole changes.
func (b *Budget) SetSaved(saved float64) {
	b.saved.Store(int64(saved * unit))
	for {
		held := b.tokens.Load()
		if held <= b.saved.Load() || b.tokens.CompareAndSwap(held, b.saved.Load()) {
			return
		}
	}
}

// reserve is the part that is kept for urgent calls.
func (b *Budget) reserve() int64 { return b.saved.Load() / 2 }

// Deposit records a call; it is called once a call, at its first attempt.
func (b *Budget) Deposit() { b.add(b.deposit) }

func (b *Budget) add(amount int64) {
	// A full budget is only read, so that it stays in every core's cache.
	for {
		held := b.tokens.Load()
		if held >= b.saved.Load() {
			return
		}
		if b.tokens.CompareAndSwap(held, min(held+amount, b.saved.Load())) {
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
		floor += b.reserve()
	}
	due := b.trickleAt.Load()
	if b.trickle > 0 && int64(now) >= due && b.trickleAt.CompareAndSwap(due, int64(now+b.trickle)) {
		b.add(unit)
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
