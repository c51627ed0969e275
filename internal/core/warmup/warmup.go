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
	// paceParts paces the starts: in one of so many parts of a window only as many of them,
	// rounded up. Without it all starts of a window would come together, and two such
	// bursts meet where a machine writes the first one late.
	paceParts = 4
	// slackPart is how much of the slack is used. The rest is for calls that are written later
	// than arrivalSpread: up to a quarter of a window, by what the pace leaves over.
	slackPart = 0.5
	// startLimit bounds the starts remembered. A higher rate is bounded by it.
	startLimit = 4096
	// keptParts is the part of a window kept for the calls of each higher class while such
	// calls come: one in so many starts.
	keptParts = 4
	// Classes is how many classes of calls are told apart; a higher one is more urgent.
	Classes = 3
)

// Terms say how far the calls to a cold back end may exceed the stated rate.
type Terms struct {
	// Overage is how many times the rate may arrive in one second; below 1 it counts as 1.
	Overage float64
	// Slack is how many calls more may arrive in one second.
	Slack float64
}

// Limit is how many calls may start in a window at a back end that bears a number of calls a
// second; 0 means any number.
func (t Terms) Limit(perSecond float64) int {
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
	// cameUntil is until when calls of each class count as coming.
	cameUntil [Classes]time.Duration
}

// New returns a limiter that knows nothing: the back end counts as cold until SetCold, and
// an earlier start of the daemon may just have used the whole window.
func New(now time.Duration) *Limiter {
	return &Limiter{coldUntil: math.MaxInt64, unseenAt: now}
}

// SetLimit bounds the starts in a window; 0 bounds nothing.
func (l *Limiter) SetLimit(now time.Duration, limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit = min(max(limit, 0), startLimit)
	if l.limit == 0 && limit > 0 {
		l.unseenAt = max(l.unseenAt, now)
	}
	l.limit = limit
	l.bind()
}

// SetCold says until when the back end is cold.
func (l *Limiter) SetCold(now, until time.Duration) {
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
func (l *Limiter) Bounds(now time.Duration) bool { return int64(now) < l.boundUntil.Load() }

// Wait is how long a call of a class must wait for a start; 0 means that one is free.
func (l *Limiter) Wait(now time.Duration, class int) time.Duration {
	if !l.Bounds(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.wait(now, class)
}

// Start counts a start where one is free, and else tells how long there is none.
func (l *Limiter) Start(now time.Duration, class int) (wait time.Duration) {
	if !l.Bounds(now) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
	class = min(max(class, 0), Classes-1)
	l.cameUntil[class] = max(l.cameUntil[class], now+window)
	if l.limit == 0 {
		return 0
	}
	free := max(l.unseenAt+window, l.freeAt(now, class, l.limit, window))
	pace := (l.limit + paceParts - 1) / paceParts
	free = max(free, l.freeAt(now, class, pace, window/paceParts))
	return max(free-now, 0)
}

// freeAt is when fewer starts than a class may use of a number were made within a span.
func (l *Limiter) freeAt(now time.Duration, class, number int, span time.Duration) time.Duration {
	share := l.share(now, class, number)
	if len(l.starts) < share {
		return now
	}
	return l.starts[len(l.starts)-share] + span
}

// share is how many of a number of starts the calls of a class and those below it may use up.
func (l *Limiter) share(now time.Duration, class, number int) int {
	share := number
	for above := class + 1; above < Classes; above++ {
		if now < l.cameUntil[above] {
			share -= (number + keptParts - 1) / keptParts
		}
	}
	return max(share, 1)
}
