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
	// Saved is the most retries that are saved up in any case; half of what is
	// saved up is kept for urgent calls.
	Saved float64
	// Initial is how many are there at the start.
	Initial float64
	// Window lets what the calls of the last Window allowed be saved up where
	// that is more than Saved, so that a daemon whose part of the whole is small
	// can retry at all; 0 does not.
	Window time.Duration
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
//
// In any span of Window it allows at most what the calls of that span and of the
// one before it earned, and Saved. So the sum over many daemons is bounded by the
// calls of all of them, however the daemons' calls are spread.
type Budget struct {
	deposit int64
	trickle time.Duration

	saved  atomic.Int64
	earned earnings

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
		earned:  earnings{half: limits.Window / 2},
	}
	budget.saved.Store(int64(limits.Saved * unit))
	budget.tokens.Store(int64(limits.Initial * unit))
	budget.trickleAt.Store(int64(now + limits.TricklePeriod))
	return budget
}

// SetSaved changes the most that is saved up in any case, as the number of
// daemons that share the whole changes.
func (b *Budget) SetSaved(now time.Duration, saved float64) {
	b.saved.Store(int64(saved * unit))
	b.trim(b.limit(now))
}

// limit is the most that may be saved up now.
func (b *Budget) limit(now time.Duration) int64 {
	return max(b.saved.Load(), b.earned.recent(now))
}

// trim gives up what is saved beyond a limit.
func (b *Budget) trim(limit int64) {
	for {
		held := b.tokens.Load()
		if held <= limit || b.tokens.CompareAndSwap(held, limit) {
			return
		}
	}
}

// reserve is the part of a limit that is kept for urgent calls: a half, but never
// so much that one retry of another call does not fit beside it.
func reserve(limit int64) int64 { return max(0, min(limit/2, limit-unit)) }

// Deposit records a call; it is called once a call, at its first attempt.
func (b *Budget) Deposit(now time.Duration) {
	b.earned.add(now, b.deposit)
	b.add(b.deposit, b.limit(now))
}

func (b *Budget) add(amount, limit int64) {
	// A full budget is only read, so that it stays in every core's cache.
	for {
		held := b.tokens.Load()
		if held >= limit {
			return
		}
		if b.tokens.CompareAndSwap(held, min(held+amount, limit)) {
			return
		}
	}
}

// Withdraw takes the cost of a retry, in retries, and answers false when there
// is not so much. The last half of what may be saved up is for urgent calls.
func (b *Budget) Withdraw(now time.Duration, cost int, urgent bool) bool {
	price := int64(cost * unit)
	limit := b.limit(now)
	floor := price
	if !urgent {
		floor += reserve(limit)
	}
	b.trim(limit)
	due := b.trickleAt.Load()
	if b.trickle > 0 && int64(now) >= due && b.trickleAt.CompareAndSwap(due, int64(now+b.trickle)) {
		b.add(unit, limit)
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
