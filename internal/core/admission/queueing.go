package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// reserveQueuePlace decides whether a call may be queued. It refuses a call that would wait
// too long. If the queue is full, it makes room by evicting a call of the same partner and
// lower priority, or a call of a partner above its share; otherwise it refuses the new call.
func (g *Gate) reserveQueuePlace(now time.Duration, ticket *Ticket, partner *partnerQueue) Decision {
	if g.config.NoEstimate {
		return Decision{State: StateQueued}
	}
	wait := g.expectedWait(partner, partner.workAhead(ticket))
	remaining := ticket.Deadline - now
	serviceTime := g.expectedServiceTimeOf(&ticket.Call)
	if decision := g.checkTarget(now, ticket, wait); decision.State == StateRefused {
		return decision
	}
	ticket.queuedAt = now
	ticket.expectedWait = wait
	if wait+serviceTime > remaining || wait > time.Duration(float64(remaining)*maxWaitShare) {
		return refused(result.DeadlineBeforeStart, wait)
	}
	if wait > g.config.QueueWait {
		return refused(result.QueueFull, wait)
	}
	if g.queue.length < g.config.QueueLength {
		return Decision{State: StateQueued}
	}
	if lowerPriority := partner.lastBelow(ticket.priorityIndex()); lowerPriority != nil {
		g.evict(lowerPriority, refused(result.Shed, wait))
		return Decision{State: StateQueued}
	}
	if overShare := g.queue.mostOverShare(partner, g.config.QueueLength); overShare != nil {
		g.evict(overShare.lastBelow(priorityCount), refused(result.ShareExceeded, wait))
		return Decision{State: StateQueued}
	}
	return refused(result.QueueFull, wait)
}

// shedLowerPriorities refuses the queued calls of the same partner and lower priority whose
// expected wait now exceeds their deadline or Config.QueueWait, because of a new call.
// They are answered now instead of at their deadlines.
func (g *Gate) shedLowerPriorities(now time.Duration, ticket *Ticket) {
	for priority := 0; priority < ticket.priorityIndex(); priority++ {
		for {
			tail := ticket.partnerQueue.byPriority[priority].tail
			if tail == nil {
				break
			}
			wait := g.expectedWait(ticket.partnerQueue, ticket.partnerQueue.workFromPriority(priority)-tail.expectedServiceTime)
			if wait <= g.config.QueueWait && now+wait <= tail.Deadline {
				break
			}
			g.evict(tail, refused(result.Shed, wait))
		}
	}
}

// shedMissedDeadlines refuses queued calls that are not expected to end by their deadlines,
// mostly because calls of higher priority go first. It checks the first call of each
// priority. Refused calls are answered at once and may still be sent elsewhere. The caller
// holds the lock.
func (g *Gate) shedMissedDeadlines(now time.Duration) {
	if g.config.NoEstimate {
		return
	}
	for _, partner := range g.queue.partnerQueues {
		for priority := range priorityCount {
			for head := partner.byPriority[priority].head; head != nil; head = partner.byPriority[priority].head {
				higherPriorityWork := partner.workFromPriority(priority + 1)
				wait := g.expectedWait(partner, higherPriorityWork)
				if now+wait+g.expectedServiceTimeOf(&head.Call) <= head.Deadline {
					break
				}
				code := result.Shed
				if higherPriorityWork == 0 {
					code = result.DeadlineBeforeStart
				}
				g.evict(head, refused(code, wait))
			}
		}
	}
}

// The states of Ticket.hangState other than 0, the state of a call not marked as hung. A call that
// has ended can't be marked any more, because it would never be subtracted from Gate.hungCount.
const (
	hangStateMarked = 1
	hangStateEnded  = 2
)

// MarkHung marks a started call as hung. Its slot is not expected to become free soon, so the
// expected waits rise, and queued calls that can't end by their deadlines are refused at once.
func (g *Gate) MarkHung(now time.Duration, ticket *Ticket) {
	if !ticket.hangState.CompareAndSwap(0, hangStateMarked) {
		return
	}
	g.hungCount.Add(1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shedMissedDeadlines(now)
}

// evict removes a call from the queue and refuses it.
func (g *Gate) evict(ticket *Ticket, decision Decision) {
	g.queue.remove(ticket)
	g.decrementQueued()
	ticket.settle(decision)
}

// decrementQueued decrements the queued count. The caller holds the lock.
func (g *Gate) decrementQueued() {
	g.word.Add(^uint64(queuedUnit - 1))
}

// minUsableSlots is the number of usable slots that expectedWait assumes when all running calls
// are marked as hung. It is not 0, because some of these calls still end.
const minUsableSlots = 0.1

// expectedWait estimates the time until a call of a partner gets a slot, given the partner's
// queued work ahead of it: the mean service time of a running call plus this work, divided
// by the partner's share of the slots that are not hung. It is 0 until a service time is
// known.
func (g *Gate) expectedWait(partner *partnerQueue, ahead time.Duration) time.Duration {
	rate := max(float64(g.callLimit()-g.hungCount.Load()), minUsableSlots) * g.queue.share(partner)
	return time.Duration(float64(g.meanServiceTimeOfRunning()+ahead) / rate)
}

// meanServiceTimeOfRunning returns the mean of the expected service times of the running calls.
func (g *Gate) meanServiceTimeOfRunning() time.Duration {
	running := int64(g.word.Load() & runningMask)
	if running == 0 {
		return g.MeanServiceTime()
	}
	return time.Duration(max(g.runningWork.Load(), 0) / running)
}
