// Package warmup limits the calls that start at a cold back end. The gate next to the back end
// applies the limit. It sees all calls to the back end, so daemons need not coordinate. The package
// performs no input or output and reads no clock.
package warmup

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// arrivalSpread is the time that a busy machine may take to send a call that was allowed to
	// start. Two calls may arrive at the back end closer together than their starts by this time.
	arrivalSpread = 100 * time.Millisecond
	// window is the period in which starts are counted.
	window = time.Second + arrivalSpread
	// paceParts is the number of parts of a window over which its starts are spread (see
	// partLimit). Without pacing all starts of a window could come at once, and two such bursts
	// would coincide if a machine sent the first one late.
	paceParts = 4
	// usedSlackFraction is the fraction of the slack that is used. The rest covers calls that
	// are sent more than arrivalSpread, but at most a quarter of a window, after their start; pacing
	// bounds their number.
	usedSlackFraction = 0.5
	// startLimit bounds the number of starts that are kept, and so the highest limit.
	startLimit = 4096
	// reserveDivisor defines how many starts of a window are reserved for each more urgent class:
	// the limit divided by reserveDivisor, or the number of recent calls of that class if it is
	// lower.
	reserveDivisor = 4
	// ClassCount is the number of priority classes of calls. A higher class is more urgent.
	ClassCount = 3
)

// Tolerance defines by how much the calls to a cold back end may exceed the configured rate.
type Tolerance struct {
	// Overage is the maximum number of calls in one second, as a multiple of the configured rate,
	// before Slack is added. A value below 1 counts as 1.
	Overage float64
	// Slack is the number of additional calls that may arrive in one second.
	Slack float64
}

// Limit returns how many calls may start in a window at a back end with the given configured rate
// in calls per second; 0 means no limit.
func (t Tolerance) Limit(perSecond float64) int {
	if !(perSecond > 0) {
		return 0
	}
	allowedStarts := perSecond*max(t.Overage, 1) + max(t.Slack, 0)*usedSlackFraction
	if !(allowedStarts < startLimit) {
		return startLimit
	}
	return max(int(math.Floor(allowedStarts)), 1)
}

// Limiter limits the starts at one back end while it is cold. It is safe for concurrent use.
// IsLimiting, Wait and TryStart take no lock while the back end is warm or no limit is set.
type Limiter struct {
	// limitedUntil is the time until which starts are limited; 0 if no limit is set.
	limitedUntil atomic.Int64

	mutex sync.Mutex
	// limit is the number of starts allowed in a window; 0 means no limit.
	limit     int
	coldUntil time.Duration
	// lastUncountedStartAt is the latest time at which uncounted starts may have happened.
	lastUncountedStartAt time.Duration
	// starts holds the times of the latest starts, oldest first.
	starts   []time.Duration
	arrivals [ClassCount]arrivalCounter
}

// New returns a limiter without recorded starts. The back end counts as cold until SetColdUntil is
// called. While starts are limited, none is allowed in the first window, because an earlier process
// of the daemon may have allowed some just before.
func New(now time.Duration) *Limiter {
	return &Limiter{coldUntil: math.MaxInt64, lastUncountedStartAt: now}
}

// SetLimit sets the number of starts allowed in a window; 0 means no limit. hasUncountedStarts is
// true if calls may have started while there was no limit, since these were not counted.
func (l *Limiter) SetLimit(now time.Duration, limit int, hasUncountedStarts bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit = min(max(limit, 0), startLimit)
	if hasUncountedStarts && l.limit == 0 && limit > 0 {
		l.lastUncountedStartAt = max(l.lastUncountedStartAt, now)
	}
	l.limit = limit
	l.updateLimitedUntil()
}

// SetColdUntil makes the back end count as cold until the given time. If it was warm, starts up to
// now may have happened without being counted.
func (l *Limiter) SetColdUntil(now, until time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now >= l.coldUntil {
		l.lastUncountedStartAt = max(l.lastUncountedStartAt, now) // starts at a warm back end are not counted
	}
	l.coldUntil = until
	l.updateLimitedUntil()
}

// updateLimitedUntil sets limitedUntil to coldUntil, or to 0 if there is no limit. The lock must be
// held.
func (l *Limiter) updateLimitedUntil() {
	until := l.coldUntil
	if l.limit == 0 {
		until = 0
	}
	l.limitedUntil.Store(int64(until))
}

// IsLimiting reports whether starts are limited now.
func (l *Limiter) IsLimiting(now time.Duration) bool { return int64(now) < l.limitedUntil.Load() }

// Wait returns how long a call of a class must wait until it may start; 0 if it may start now.
func (l *Limiter) Wait(now time.Duration, class int) time.Duration {
	if !l.IsLimiting(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := l.requiredWait(now, class)
	if wait > 0 {
		l.arrivals[ClampClass(class)].record(now)
	}
	return wait
}

// TryStart returns 0 if a call of a class may start now, and counts the start if starts are
// limited. Otherwise it returns how long the call must wait.
func (l *Limiter) TryStart(now time.Duration, class int) (wait time.Duration) {
	if !l.IsLimiting(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals[ClampClass(class)].record(now)
	if wait = l.requiredWait(now, class); wait == 0 {
		l.record(now)
	}
	return wait
}

// record adds a start. The lock must be held. Callers read the clock before they take the lock, so
// starts may arrive slightly out of order.
func (l *Limiter) record(now time.Duration) {
	if count := len(l.starts); count > 0 {
		now = max(now, l.starts[count-1])
	}
	if excess := len(l.starts) + 1 - l.limit; excess > 0 {
		l.starts = slices.Delete(l.starts, 0, excess)
	}
	l.starts = append(l.starts, now)
}

// requiredWait returns how long a call of a class must wait until it may start. The lock must be
// held.
func (l *Limiter) requiredWait(now time.Duration, class int) time.Duration {
	if l.limit == 0 {
		return 0
	}
	startAt := max(l.lastUncountedStartAt+window, l.earliestStart(now, l.windowShare(now, class), window))
	startAt = max(startAt, l.earliestStart(now, l.partLimit(class), window/paceParts))
	return max(startAt-now, 0)
}

// earliestStart returns the earliest time at which fewer starts than the given number lie within
// the preceding span.
func (l *Limiter) earliestStart(now time.Duration, number int, span time.Duration) time.Duration {
	if len(l.starts) < number {
		return now
	}
	return l.starts[len(l.starts)-number] + span
}

// windowShare returns how many starts of a window the calls of a class and the classes below it may
// use.
func (l *Limiter) windowShare(now time.Duration, class int) int {
	maxReserve := (l.limit + reserveDivisor - 1) / reserveDivisor
	share := l.limit
	for higher := ClampClass(class) + 1; higher < ClassCount; higher++ {
		share -= min(maxReserve, l.arrivals[higher].recent(now))
	}
	return max(share, 1)
}

// partLimit returns how many starts may precede a call of a class within one part of a window.
// For classes above the lowest, the limit is one higher, because calls of lower classes may have
// used up the other starts of the part.
func (l *Limiter) partLimit(class int) int {
	return (l.limit+paceParts-1)/paceParts + min(ClampClass(class), 1)
}

// ClampClass limits a number to the range of the classes.
func ClampClass(class int) int { return min(max(class, 0), ClassCount-1) }

// arrivalCounter counts the calls of a class that arrive in the present and the previous window. A
// window begins with the first call after the end of the previous one.
type arrivalCounter struct {
	windowStart   time.Duration
	currentCount  int
	previousCount int
}

// record counts a call.
func (c *arrivalCounter) record(now time.Duration) {
	if age := now - c.windowStart; age >= window {
		c.previousCount = c.currentCount
		if age >= 2*window {
			c.previousCount = 0
		}
		c.currentCount = 0
		c.windowStart = now
	}
	c.currentCount++
}

// recent returns the higher of the call counts of the latest two windows.
func (c *arrivalCounter) recent(now time.Duration) int {
	switch age := now - c.windowStart; {
	case age < window:
		return max(c.currentCount, c.previousCount)
	case age < 2*window:
		return c.currentCount
	}
	return 0
}
