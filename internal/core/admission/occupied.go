package admission

import (
	"sync/atomic"
	"time"
)

// leftBehind counts orphaned calls: calls that an earlier run of the daemon sent and that the
// back end may still be running. A daemon that is killed cancels none of them, and not all back
// ends abort a call when its connection closes.
type leftBehind struct {
	count atomic.Int64
	// until is the time in nanoseconds of the gate's clock by which all of them have ended.
	until atomic.Int64
}

// leastPart is the divisor of the slots that gives those in use while the number of orphaned
// calls is unknown. Using a quarter of them is safe enough: back ends can queue a few calls, and
// most have aborted the calls whose connections closed.
const leastPart = 4

// limit returns the number of calls that may run now: the slots that are not occupied otherwise,
// but at least 1, because its answer shows how many calls the back end holds.
func (g *Gate) limit() int64 {
	return max(g.slots.Load()-g.occupied(), 1)
}

// leastOf returns the number of slots that are used while the number of orphaned calls is unknown.
func leastOf(slots int64) int64 { return (slots + leastPart - 1) / leastPart }

// occupied returns the number of slots in use by probes and orphaned calls.
func (g *Gate) occupied() int64 { return g.leftBehind.count.Load() + g.probes.Load() }

// ExpectOrphanedCalls reserves slots for calls of an earlier run of the daemon that the back end
// may still be running. They end by the given time. The count is the one that the back end has
// reported; a negative count means that it has reported none.
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

// RecordAnswer records that the back end has answered a call, and releases one slot reserved for
// orphaned calls: the answer proves that the back end had capacity for that call. The number of
// calls that may run thus doubles within one service time.
func (g *Gate) RecordAnswer(now time.Duration) {
	if count := g.leftBehind.count.Load(); count > 0 {
		g.leaveAtMost(now, min(count, g.slots.Load()-1)-1)
	}
}

// CapOrphanedCalls lowers the number of expected orphaned calls to the number of calls that the
// back end reports to hold beyond those of the gate. It never raises it.
func (g *Gate) CapOrphanedCalls(now time.Duration, more int) { g.leaveAtMost(now, int64(max(more, 0))) }

// Tick releases the slots reserved for orphaned calls once the time for these has passed. It also
// starts calls that were queued at the same moment in which slots became free.
func (g *Gate) Tick(now time.Duration) {
	if int64(now) >= g.leftBehind.until.Load() {
		g.leaveAtMost(now, 0)
	}
	g.startWaitingCalls(now)
}

// ClearOrphanedCalls releases all slots reserved for orphaned calls, after a restart of the back
// end has ended them.
func (g *Gate) ClearOrphanedCalls(now time.Duration) { g.leaveAtMost(now, 0) }

// leaveAtMost lowers the number of orphaned calls to an upper bound and starts queued calls in
// the slots that this frees.
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

// AcquireProbeSlot occupies a slot for a probe of the back end, which needs a slot there like any
// call. The returned function releases the slot; its argument is the time.
func (g *Gate) AcquireProbeSlot() (ended func(now time.Duration)) {
	g.probes.Add(1)
	return func(now time.Duration) {
		g.probes.Add(-1)
		g.startWaitingCalls(now)
	}
}

// startWaitingCalls starts queued calls while slots are free. It takes the lock only if calls
// are queued.
func (g *Gate) startWaitingCalls(now time.Duration) {
	if g.word.Load()&queuedMask == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.startFree(now)
}
