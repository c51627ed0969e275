// Package ratelimit limits the calls that start at a back end which states in its answers how many calls
// a second it accepts. The gate next to the back end applies the limit. It sees all calls to the back
// end, so daemons need not coordinate. The package performs no input or output and reads no clock.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/warmup"
)

const (
	// burstPeriod is the period whose calls may start at once after a pause.
	burstPeriod = 500 * time.Millisecond
	// minBurst is the minimum burst: one call, and one for each more urgent class for which a call
	// may be reserved.
	minBurst = warmup.ClassCount
	// reservePeriod is how long after a call of a more urgent class a start is reserved for that
	// class.
	reservePeriod = time.Second
	// maxWait bounds the wait that a refusal states. The limit may end or rise at any time.
	maxWait = 5 * time.Second
)

// Limiter limits the starts at one back end by a token bucket. It is safe for concurrent use. Wait and
// TryStart take no lock while there is no limit.
type Limiter struct {
	limiting atomic.Bool

	mutex sync.Mutex
	// rate is the number of calls a second; 0 means no limit.
	rate float64
	// tokens is the number of calls that may start, as of updatedAt.
	tokens    float64
	updatedAt time.Duration
	// reservedUntil holds, for each class, the time until which a start is reserved for it.
	reservedUntil [warmup.ClassCount]time.Duration
}

// SetRate sets the number of calls a second that may start; 0 ends the limit. When a limit begins, no
// call may start at first, because the calls before were not counted.
func (l *Limiter) SetRate(now time.Duration, rate float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.rate == 0 {
		l.tokens, l.updatedAt = 0, now
	}
	l.refill(now)
	l.rate = max(rate, 0)
	l.tokens = min(l.tokens, l.burst())
	l.limiting.Store(l.rate > 0)
}

// Rate returns the limit in calls a second; 0 means none.
func (l *Limiter) Rate() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.rate
}

// IsLimiting reports whether there is a limit.
func (l *Limiter) IsLimiting() bool { return l.limiting.Load() }

// Wait returns how long a call of a class must wait until it may start; 0 if it may start now.
func (l *Limiter) Wait(now time.Duration, class int) time.Duration {
	if !l.IsLimiting() {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.requiredWait(now, class)
}

// TryStart returns 0 if a call of a class may start now, and counts the start. Otherwise it returns how
// long the call must wait.
func (l *Limiter) TryStart(now time.Duration, class int) (wait time.Duration) {
	if !l.IsLimiting() {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if wait = l.requiredWait(now, class); wait == 0 && l.rate > 0 {
		l.tokens--
	}
	return wait
}

// requiredWait returns how long a call of a class must wait, and reserves later starts for its class.
// The lock must be held.
func (l *Limiter) requiredWait(now time.Duration, class int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	class = warmup.ClampClass(class)
	l.reservedUntil[class] = now + reservePeriod
	missing := 1 + l.reserved(now, class) - l.tokens
	if missing <= 0 {
		return 0
	}
	seconds := min(missing/l.rate, maxWait.Seconds())
	return max(time.Duration(math.Ceil(seconds*float64(time.Second))), 1)
}

// reserved returns the number of starts that are reserved for classes above the given one.
func (l *Limiter) reserved(now time.Duration, class int) (count float64) {
	for higher := class + 1; higher < warmup.ClassCount; higher++ {
		if now < l.reservedUntil[higher] {
			count++
		}
	}
	return count
}

// burst returns the maximum number of tokens.
func (l *Limiter) burst() float64 { return max(l.rate*burstPeriod.Seconds(), minBurst) }

// refill adds the tokens for the time since the last update. Callers read the clock before they take the
// lock, so times may be slightly out of order.
func (l *Limiter) refill(now time.Duration) {
	elapsed := max(now-l.updatedAt, 0)
	l.tokens = min(l.tokens+elapsed.Seconds()*l.rate, l.burst())
	l.updatedAt = max(l.updatedAt, now)
}
