package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// mayWait decides whether a call may be queued. It refuses a call that would wait too
// long. If the queue is full, it makes room by evicting a queued call of a lower priority,
// or of a partner above its share, or else refuses the call.
func (g *Gate) mayWait(now time.Duration, ticket *Ticket, into *lane) Decision {
	if g.config.NoEstimate {
		return Decision{State: StateQueued}
	}
	wait := g.expectedWait(into, into.aheadOf(ticket))
	left := ticket.Deadline - now
	service := g.serviceOf(&ticket.Call)
	if verdict := g.targetVerdict(now, ticket, wait); verdict.State == StateRefused {
		return verdict
	}
	ticket.queuedAt = now
	ticket.expectedWait = wait
	if wait+service > left || wait > time.Duration(float64(left)*waitShare) {
		return refused(result.DeadlineBeforeStart, wait)
	}
	if wait > g.config.QueueWait {
		return refused(result.QueueFull, wait)
	}
	if g.queue.length < g.config.QueueLength {
		return Decision{State: StateQueued}
	}
	if lower := into.last(ticket.class()); lower != nil {
		g.evict(lower, refused(result.Shed, wait))
		return Decision{State: StateQueued}
	}
	if over := g.queue.overShare(into, g.config.QueueLength); over != nil {
		g.evict(over.last(classCount), refused(result.ShareExceeded, wait))
		return Decision{State: StateQueued}
	}
	return refused(result.QueueFull, wait)
}

// shedBehind refuses the queued calls of the same partner and lower priority whose
// expected wait now exceeds their deadline or Config.QueueWait, because of a new call.
// They are answered now instead of at their deadlines.
func (g *Gate) shedBehind(now time.Duration, ticket *Ticket) {
	for class := 0; class < ticket.class(); class++ {
		for {
			tail := ticket.lane.classes[class].tail
			if tail == nil {
				break
			}
			wait := g.expectedWait(ticket.lane, ticket.lane.ahead(class)-tail.expected)
			if wait <= g.config.QueueWait && now+wait <= tail.Deadline {
				break
			}
			g.evict(tail, refused(result.Shed, wait))
		}
	}
}

// shedHopeless refuses the queued calls that are not expected to end by their
// deadlines. They are answered at once and may still be sent elsewhere. The caller
// holds the lock.
func (g *Gate) shedHopeless(now time.Duration) {
	if g.config.NoEstimate {
		return
	}
	for _, one := range g.queue.lanes {
		for class := range classCount {
			for head := one.classes[class].head; head != nil; head = one.classes[class].head {
				higher := one.ahead(class + 1)
				wait := g.expectedWait(one, higher)
				if now+wait+g.serviceOf(&head.Call) <= head.Deadline {
					break
				}
				code := result.Shed
				if higher == 0 {
					code = result.DeadlineBeforeStart
				}
				g.evict(head, refused(code, wait))
			}
		}
	}
}

// The states of Ticket.hung; 0 is that of a call not marked as hung. A call that has ended can't
// be marked any more, because it would never be subtracted from Gate.hung.
const (
	hungNow    = 1
	hungNoMore = 2
)

// MarkHung marks a started call as hung. Its slot is not expected to become free soon, so the
// expected waits rise, and queued calls that can't end by their deadlines are refused at once.
func (g *Gate) MarkHung(now time.Duration, ticket *Ticket) {
	if !ticket.hung.CompareAndSwap(0, hungNow) {
		return
	}
	g.hung.Add(1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shedHopeless(now)
}

// evict removes a call from the queue and refuses it.
func (g *Gate) evict(ticket *Ticket, verdict Decision) {
	g.queue.remove(ticket)
	g.unqueue()
	ticket.settle(verdict)
}

// unqueue decrements the queued count. The caller holds the lock.
func (g *Gate) unqueue() {
	g.word.Add(^uint64(queuedUnit - 1))
}

// leastRate is the number of usable slots that expectedWait assumes when all running calls
// hang, since even then one ends now and then.
const leastRate = 0.1

// expectedWait estimates the time until a call of a partner gets a slot, given the partner's
// queued work ahead of it: the mean service time of a running call plus this work, divided
// by the partner's share of the slots that are not hung. It is 0 until a service time is
// known.
func (g *Gate) expectedWait(of *lane, ahead time.Duration) time.Duration {
	rate := max(float64(g.limit()-g.hung.Load()), leastRate) * g.queue.share(of)
	return time.Duration(float64(g.meanRunning()+ahead) / rate)
}

// meanRunning returns the mean of the expected service times of the running calls.
func (g *Gate) meanRunning() time.Duration {
	running := int64(g.word.Load() & runningMask)
	if running == 0 {
		return g.MeanServiceTime()
	}
	return time.Duration(max(g.runningWork.Load(), 0) / running)
}
