package admission

import (
	"sync/atomic"
	"time"
)

// leftBehind are calls that an earlier start of the daemon sent and that may still run at the
// back end: a daemon that is killed ends none of them, and only most back ends drop a call
// whose connection closes.
type leftBehind struct {
	count atomic.Int64
	// until is when the last one is over, in nanoseconds of the gate's clock.
	until atomic.Int64
}

// leastPart is the part of the slots that is used while nothing but time tells how much was left
// behind: back ends queue a few calls, and most have dropped what came on closed connections.
const leastPart = 4

// limit is how many calls may run now: the slots that nothing else takes. One may always run,
// for its answer tells most of what the back end holds.
func (g *Gate) limit() int64 {
	return max(g.slots.Load()-g.occupied(), 1)
}

// leastOf is how many of some slots are used whatever was left behind.
func leastOf(slots int64) int64 { return (slots + leastPart - 1) / leastPart }

// occupied is how many slots are taken by what the gate has not started.
func (g *Gate) occupied() int64 { return g.leftBehind.count.Load() + g.probes.Load() }

// LeaveBehind says that an earlier start of the daemon may have left calls at the back end,
// which are over by a time: by its own word it holds so many; a negative number is not told.
func (g *Gate) ExpectOrphanedCalls(now, until time.Duration, told int) {
	if until <= now {
		return
	}
	slots := g.slots.Load()
	count := min(int64(told), slots)
	if told < 0 {
		count = slots - leastOf(slots)
	}
	g.leftBehind.until.Store(int64(until))
	g.leftBehind.count.Store(count)
}

// Answered takes an answer of the back end. Each one lets one call more run than before: what
// the back end has answered, it had room for. So the calls double in a service time.
func (g *Gate) RecordAnswer(now time.Duration) {
	if count := g.leftBehind.count.Load(); count > 0 {
		g.leaveAtMost(now, min(count, g.slots.Load()-1)-1)
	}
}

// Holds takes a back end's word that it holds so many calls more than the gate's.
func (g *Gate) CapOrphanedCalls(now time.Duration, more int) { g.leaveAtMost(now, int64(max(more, 0))) }

// Tick looks whether what was left behind is over, and starts a call that came to wait in the
// very moment in which slots were freed.
func (g *Gate) Tick(now time.Duration) {
	if int64(now) >= g.leftBehind.until.Load() {
		g.leaveAtMost(now, 0)
	}
	g.startWaitingCalls(now)
}

// Forget says that nothing runs beside the gate's calls: the back end has started anew.
func (g *Gate) ClearOrphanedCalls(now time.Duration) { g.leaveAtMost(now, 0) }

// leaveAtMost lowers the count of what was left behind and starts what waited for it.
func (g *Gate) leaveAtMost(now time.Duration, most int64) {
	for {
		count := g.leftBehind.count.Load()
		if count <= most {
			return
		}
		if g.leftBehind.count.CompareAndSwap(count, max(most, 0)) {
			break
		}
	}
	g.startWaitingCalls(now)
}

// Probe takes a slot for a question to the back end itself, until what it returns is called
// with the time: like a call, it waits for a slot there.
func (g *Gate) AcquireProbeSlot() (ended func(now time.Duration)) {
	g.probes.Add(1)
	return func(now time.Duration) {
		g.probes.Add(-1)
		g.startWaitingCalls(now)
	}
}

func (g *Gate) startWaitingCalls(now time.Duration) {
	if g.word.Load()&queuedMask == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.startFree(now)
}
