package admission

import (
	"sync/atomic"
	"time"
)

// orphanedCalls is the number of calls that an earlier run of the daemon sent and that the back
// end may still be running. A daemon that is killed cancels none of them, and not all back ends
// abort a call when its connection closes.
type orphanedCalls struct {
	count atomic.Int64
	// until is the time in nanoseconds of the gate's clock by which all of them have ended.
	until atomic.Int64
}

// unknownOrphansDivisor divides the slots: only the resulting number of them is used while the
// number of orphaned calls is unknown. Using a quarter is safe because back ends can queue a few
// calls, and most have aborted the calls whose connections closed.
const unknownOrphansDivisor = 4

// callLimit returns the number of calls that may run now: the slots that probes and orphaned calls
// do not occupy, but at least 1, because answered calls release the reserved slots early; see
// RecordAnswer and CapOrphanedCalls.
func (g *Gate) callLimit() int64 {
	return max(g.slots.Load()-g.occupiedSlots(), 1)
}

// slotsWithUnknownOrphans returns the number of slots to use while the number of orphaned calls
// is unknown.
func slotsWithUnknownOrphans(slots int64) int64 {
	return (slots + unknownOrphansDivisor - 1) / unknownOrphansDivisor
}

// occupiedSlots returns the number of slots in use by probes and orphaned calls.
func (g *Gate) occupiedSlots() int64 { return g.orphans.count.Load() + g.probeCount.Load() }

// ExpectOrphanedCalls reserves slots for calls of an earlier run of the daemon that the back end
// may still be running but that end by the given time. reported is the number of such calls that
// the back end has reported; it is negative if the back end has not reported any number.
func (g *Gate) ExpectOrphanedCalls(now, until time.Duration, reported int) {
	if until <= now {
		return
	}
	slots := g.slots.Load()
	count := min(int64(reported), slots)
	if reported < 0 {
		count = slots - slotsWithUnknownOrphans(slots)
	}
	g.orphans.until.Store(int64(until))
	g.orphans.count.Store(count)
}

// RecordAnswer records that the back end has answered a call, and releases one slot reserved for
// orphaned calls: the answer proves that the back end had capacity for that call. If all
// running calls are answered, the number of calls that may run thus doubles within one service
// time. Since callLimit is at least 1, a count above slots - 1 is first lowered to slots - 1, so that
// each answer raises the limit.
func (g *Gate) RecordAnswer(now time.Duration) {
	if count := g.orphans.count.Load(); count > 0 {
		g.capOrphans(now, min(count, g.slots.Load()-1)-1)
	}
}

// CapOrphanedCalls lowers the number of expected orphaned calls to the number of calls that the
// back end reports to hold beyond those of the gate. It never raises the number.
func (g *Gate) CapOrphanedCalls(now time.Duration, extra int) {
	g.capOrphans(now, int64(max(extra, 0)))
}

// Tick releases the slots reserved for orphaned calls once all of these have ended; see
// ExpectOrphanedCalls. It also starts calls that were queued while a slot of a probe or an orphaned
// call was released: Gate.word does not contain these slots, so enqueue can miss the release.
func (g *Gate) Tick(now time.Duration) {
	if int64(now) >= g.orphans.until.Load() {
		g.capOrphans(now, 0)
	}
	g.fillFreeSlotsIfQueued(now)
}

// ClearOrphanedCalls releases all slots reserved for orphaned calls, after a restart of the back
// end has ended them.
func (g *Gate) ClearOrphanedCalls(now time.Duration) { g.capOrphans(now, 0) }

// capOrphans lowers the number of orphaned calls to an upper bound and starts queued calls in
// the slots that this frees.
func (g *Gate) capOrphans(now time.Duration, maximum int64) {
	for {
		count := g.orphans.count.Load()
		if count <= maximum {
			return
		}
		if g.orphans.count.CompareAndSwap(count, max(maximum, 0)) {
			break
		}
	}
	g.fillFreeSlotsIfQueued(now)
}

// AcquireProbeSlot occupies a slot for a probe of the back end, which needs a slot there like any
// call. The returned function releases the slot; its argument is the time.
func (g *Gate) AcquireProbeSlot() (release func(now time.Duration)) {
	g.probeCount.Add(1)
	return func(now time.Duration) {
		g.probeCount.Add(-1)
		g.fillFreeSlotsIfQueued(now)
	}
}

// fillFreeSlotsIfQueued starts queued calls while slots are free. It takes the lock only if calls
// are queued.
func (g *Gate) fillFreeSlotsIfQueued(now time.Duration) {
	if g.word.Load()&queuedMask == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.fillFreeSlots(now)
}
