package admission

import (
	"time"
)

// Drain refuses all waiting calls at once and every later one until Resume;
// those that run end by themselves.
func (g *Gate) Drain() { g.refuseAll(drainingBit) }

// Close refuses calls as Drain does, but Resume does not undo it.
func (g *Gate) Close() { g.refuseAll(closedBit) }

// Evacuate refuses calls as Drain does, but for the reason that the zone is to be empty. It
// ends a drain: the gate has one reason at a time.
func (g *Gate) Evacuate() {
	g.refuseAll(evacuatedBit)
	g.word.And(^uint64(drainingBit))
}

func (g *Gate) refuseAll(bit uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.word.Or(bit)
	for ticket := g.queue.pop(); ticket != nil; ticket = g.queue.pop() {
		g.unqueue()
		ticket.settle(refused(refusalOf(bit), 0))
	}
}

// Resume takes calls again after Drain or Evacuate, but not after Close.
func (g *Gate) Resume() {
	g.word.And(^uint64(drainingBit | evacuatedBit))
}

// SetSlots changes how many calls run at once. Fewer slots end no call; more
// of them start waiting calls at once.
func (g *Gate) SetSlots(now time.Duration, slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots.Store(int64(max(slots, 1)))
	g.startFree(now)
}

// startFree starts waiting calls while slots are free; the lock is held.
func (g *Gate) startFree(now time.Duration) {
	for g.queue.length > 0 && g.hasRoom(g.word.Load()) {
		g.word.Add(1)
		g.handOver(now)
	}
}
