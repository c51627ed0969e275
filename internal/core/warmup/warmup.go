// Package warmup bounds the calls that start at a cold back end. The gate beside the back
// end asks it, which sees each call, so that nothing need be agreed between daemons. It does
// no input or output and reads no clock.
package warmup

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// arrivalSpread is how much closer than their starts two calls may arrive at the back
	// end: the time in which a busy machine writes a call that was let through.
	arrivalSpread = 100 * time.Millisecond
	// window is the span in which starts are counted.
	window = time.Second + arrivalSpread
	// paceParts paces the starts: in one of so many parts of a window only so much of them,
	// rounded up. Without it all starts of a window would come together, and two such
	// bursts meet where a machine writes the first one late.
	paceParts = 4
	// slackPart is how much of the slack is used. The rest is for calls that are written later
	// than arrivalSpread: up to a quarter of a window, by what the pace leaves over.
	slackPart = 0.5
	// startLimit bounds the starts remembered. A higher rate is bounded by it.
	startLimit = 4096
	// keptParts is the most of a window that is kept for the calls of each higher class: one
	// in so many starts, and no more than lately came.
	keptParts = 4
	// Classes is how many classes of calls are told apart; a higher one is more urgent.
	ClassCount = 3
)

// Terms say how far the calls to a cold back end may exceed the stated rate.
type Tolerance struct {
	// Overage is how many times the rate may arrive in one second; below 1 it counts as 1.
	Overage float64
	// Slack is how many calls more may arrive in one second.
	Slack float64
}

// Limit is how many calls may start in a window at a back end that bears a number of calls a
// second; 0 means any number.
func (t Tolerance) Limit(perSecond float64) int {
	if !(perSecond > 0) {
		return 0
	}
	allowed := perSecond*max(t.Overage, 1) + max(t.Slack, 0)*slackPart
	if !(allowed < startLimit) {
		return startLimit
	}
	return max(int(math.Floor(allowed)), 1)
}

// Limiter counts the starts at one back end while it is cold. It may be used from several
// goroutines; while the back end is warm, or nothing is bounded, it takes no lock.
type Limiter struct {
	// boundUntil is until when starts are bounded, 0 while no rate is stated.
	boundUntil atomic.Int64

	mutex     sync.Mutex
	limit     int
	coldUntil time.Duration
	// unseenAt is when starts that were not counted may have been made last.
	unseenAt time.Duration
	// starts are the newest starts, oldest first.
	starts []time.Duration
	came   [ClassCount]demand
}

// New returns a limiter that knows nothing: the back end counts as cold until SetCold, and
// an earlier start of the daemon may just have used the whole window.
func New(now time.Duration) *Limiter {
	return &Limiter{coldUntil: math.MaxInt64, unseenAt: now}
}

// SetLimit bounds the starts in a window; 0 bounds nothing. Opened says that calls may have
// started before, which were not counted while nothing was bounded.
func (l *Limiter) SetLimit(now time.Duration, limit int, opened bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit = min(max(limit, 0), startLimit)
	if opened && l.limit == 0 && limit > 0 {
		l.unseenAt = max(l.unseenAt, now)
	}
	l.limit = limit
	l.bind()
}

// SetCold says until when the back end is cold.
func (l *Limiter) SetColdUntil(now, until time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now >= l.coldUntil {
		l.unseenAt = max(l.unseenAt, now) // starts at a warm back end are not counted
	}
	l.coldUntil = until
	l.bind()
}

// bind puts in force until when starts are bounded; the lock is held.
func (l *Limiter) bind() {
	bound := l.coldUntil
	if l.limit == 0 {
		bound = 0
	}
	l.boundUntil.Store(int64(bound))
}

// Bounds tells whether starts are bounded now.
func (l *Limiter) IsLimiting(now time.Duration) bool { return int64(now) < l.boundUntil.Load() }

// Wait is how long a call of a class must wait for a start; 0 means that one is free.
func (l *Limiter) Wait(now time.Duration, class int) time.Duration {
	if !l.IsLimiting(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := l.wait(now, class)
	if wait > 0 {
		l.came[ClampClass(class)].note(now)
	}
	return wait
}

// Start counts a start where one is free, and else tells how long there is none.
func (l *Limiter) TryStart(now time.Duration, class int) (wait time.Duration) {
	if !l.IsLimiting(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.came[ClampClass(class)].note(now)
	if wait = l.wait(now, class); wait == 0 {
		l.record(now)
	}
	return wait
}

// record remembers a start; the lock is held. Callers read the clock before they take the
// lock, so a start may come a little out of order.
func (l *Limiter) record(now time.Duration) {
	if held := len(l.starts); held > 0 {
		now = max(now, l.starts[held-1])
	}
	if excess := len(l.starts) + 1 - l.limit; excess > 0 {
		l.starts = slices.Delete(l.starts, 0, excess)
	}
	l.starts = append(l.starts, now)
}

// wait is Wait; the lock is held.
func (l *Limiter) wait(now time.Duration, class int) time.Duration {
	if l.limit == 0 {
		return 0
	}
	free := max(l.unseenAt+window, l.freeAt(now, l.share(now, class), window))
	free = max(free, l.freeAt(now, l.pace(class), window/paceParts))
	return max(free-now, 0)
}

// freeAt is when fewer than a number of starts were made within a span.
func (l *Limiter) freeAt(now time.Duration, number int, span time.Duration) time.Duration {
	if len(l.starts) < number {
		return now
	}
	return l.starts[len(l.starts)-number] + span
}

// share is how many starts of a window the calls of a class and those below it may use up.
func (l *Limiter) share(now time.Duration, class int) int {
	most := (l.limit + keptParts - 1) / keptParts
	share := l.limit
	for above := ClampClass(class) + 1; above < ClassCount; above++ {
		share -= min(most, l.came[above].lately(now))
	}
	return max(share, 1)
}

// pace is how many starts a part of a window may hold before a call of a class: one more
// where there is a class below it, whose calls might have used up the others.
func (l *Limiter) pace(class int) int {
	return (l.limit+paceParts-1)/paceParts + min(ClampClass(class), 1)
}

// ClassOf is the class of a number: the nearest one where it is none.
func ClampClass(class int) int { return min(max(class, 0), ClassCount-1) }

// demand counts the calls of a class that come, in spans of a window.
type demand struct {
	began    time.Duration
	now      int
	previous int
}

// note counts a call.
func (d *demand) note(now time.Duration) {
	if age := now - d.began; age >= window {
		d.previous = d.now
		if age >= 2*window {
			d.previous = 0
		}
		d.now = 0
		d.began = now
	}
	d.now++
}

// lately is how many calls came in one of the last two spans.
func (d *demand) lately(now time.Duration) int {
	switch age := now - d.began; {
	case age < window:
		return max(d.now, d.previous)
	case age < 2*window:
		return d.now
	}
	return 0
}
