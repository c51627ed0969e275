package quota

import (
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// leaseAhead is the time whose expected calls are leased at once.
	leaseAhead = 250 * time.Millisecond
	// leaseValidity is how long leased tokens may be spent.
	leaseValidity = 500 * time.Millisecond
	// maxRefusal is how long calls are refused at most without another request to the counter. A
	// daemon with many calls waits as long, and then leases more at once.
	maxRefusal = 250 * time.Millisecond
	// demandPeriod is the time over which the calls of a tenant are counted to estimate their rate.
	demandPeriod = time.Second
)

// Account is what one daemon may spend of a tenant's quota. Take and Return are lock-free; the
// other methods need a lock of the caller's.
type Account struct {
	// tokens is the number of unspent leased tokens, which expire at validUntil. Times are on the
	// daemon's clock, in nanoseconds.
	tokens     atomic.Int64
	validUntil atomic.Int64
	// refusedUntil is until when calls are refused without asking, retryAt when they may be sent
	// again.
	refusedUntil atomic.Int64
	retryAt      atomic.Int64
	// calls counts the calls of the current period, which began at periodStart. rate is the number
	// of calls per second in the period before.
	calls       atomic.Int64
	periodStart time.Duration
	rate        float64

	alone aloneBucket
}

// NewAccount returns the account of a tenant at a daemon.
func NewAccount(tenant string, node protocol.NodeID) *Account {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(tenant + "\x00" + string(node))) // a hash can't fail
	return &Account{alone: aloneBucket{level: float64(hash.Sum64()%1000) / 1000}}
}

// Decision is the result of Take.
type Decision int

// The decisions.
const (
	// Passed means that the call may run.
	Passed Decision = iota + 1
	// Refused means that the call exceeds the quota.
	Refused
	// Undecided means that a lease must be requested first.
	Undecided
)

// Count records a call of the tenant, whether or not it will pass.
func (a *Account) Count() { a.calls.Add(1) }

// Take spends a token for a call if there is one. wait is the time after which a refused call may
// be sent again.
func (a *Account) Take(now time.Duration) (decision Decision, wait time.Duration) {
	if int64(now) < a.validUntil.Load() {
		if a.tokens.Add(-1) >= 0 {
			return Passed, 0
		}
		a.tokens.Add(1)
	}
	if int64(now) < a.refusedUntil.Load() {
		return Refused, max(time.Duration(a.retryAt.Load())-now, minRetryAfter)
	}
	return Undecided, 0
}

// Return gives back the token of a call that did not run.
func (a *Account) Return() { a.tokens.Add(1) }

// Wanted returns the number of tokens to request.
func (a *Account) Wanted(now time.Duration) int {
	if passed := now - a.periodStart; passed >= demandPeriod {
		a.rate = float64(a.calls.Swap(0)) / min(passed, 2*demandPeriod).Seconds()
		a.periodStart = now
	}
	return max(1, int(math.Round(a.rate*leaseAhead.Seconds())))
}

// Apply records the answer of the counter to a request that was made for a call, and reports whether
// that call passes. It spends the call's token at once, so that no other call can take it.
func (a *Account) Apply(now time.Duration, lease Lease) (passed bool) {
	if lease.Tokens > 0 {
		if int64(now) >= a.validUntil.Load() {
			a.tokens.Store(0)
		}
		a.tokens.Add(int64(lease.Tokens) - 1)
		a.validUntil.Store(int64(now + leaseValidity))
		a.refusedUntil.Store(0)
		return true
	}
	refusal := min(lease.RetryAfter, maxRefusal)
	if a.rate*leaseAhead.Seconds() >= 1 {
		refusal = maxRefusal
	}
	a.retryAt.Store(int64(now + max(lease.RetryAfter, refusal)))
	a.refusedUntil.Store(int64(now + refusal))
	return false
}

// TakeAlone spends a part of the daemon's own share of the quota, because the counter does not
// answer. daemons is the number of daemons of the mesh.
func (a *Account) TakeAlone(now time.Duration, quota tenancy.Quota, daemons int) (passed bool, wait time.Duration) {
	return a.alone.take(now, quota, daemons)
}

// Rejoin ends a time without contact to the counter.
func (a *Account) Rejoin() { a.alone.active = false }

// aloneBucket is the share that a daemon spends without contact to the counter. It fills only in
// such times. Its first level differs among daemons, so that those that lose contact at the same time
// do not each spend a token at once.
type aloneBucket struct {
	level     float64
	updatedAt time.Duration
	active    bool
}

func (b *aloneBucket) take(now time.Duration, quota tenancy.Quota, daemons int) (bool, time.Duration) {
	share := aloneShare / float64(max(daemons, 1))
	rate := quota.PerSecond * share
	if b.active {
		b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), max(quota.Burst*share, 1))
	}
	b.active, b.updatedAt = true, now
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	wait := time.Duration((1 - b.level) / max(rate, 1e-3) * float64(time.Second))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}
