package admission

import (
	"time"
)

// Drain refuses all queued calls at once and every new call until Resume.
// Running calls are not interrupted.
func (g *Gate) Drain() { g.refuseAll(drainingBit) }

// Close refuses calls like Drain, but permanently: Resume does not undo it.
func (g *Gate) Close() { g.refuseAll(closedBit) }

// Evacuate refuses calls like Drain, but with the code for an evacuated zone. It
// replaces an earlier Drain, whose code would otherwise take precedence.
func (g *Gate) Evacuate() {
	g.refuseAll(evacuatedBit)
	g.word.And(^uint64(drainingBit))
}

// refuseAll sets one of the refusal bits and refuses all queued calls.
func (g *Gate) refuseAll(bit uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.word.Or(bit)
	for ticket := g.queue.pop(); ticket != nil; ticket = g.queue.pop() {
		g.decrementQueued()
		ticket.settle(refused(refusalCode(bit), 0))
	}
}

// Resume accepts calls again after Drain or Evacuate, but not after Close.
func (g *Gate) Resume() {
	g.word.And(^uint64(drainingBit | evacuatedBit))
}

// SetSlots changes the maximum number of calls that run at once. Lowering it
// interrupts no running call; raising it starts queued calls at once.
func (g *Gate) SetSlots(now time.Duration, slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots.Store(int64(max(slots, 1)))
	g.fillFreeSlots(now)
}

// fillFreeSlots starts queued calls while slots are free. The caller holds the lock.
func (g *Gate) fillFreeSlots(now time.Duration) {
	for g.queue.length > 0 && g.hasRoom(g.word.Load()) {
		g.word.Add(1)
		g.handOverSlot(now)
	}
}
