package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// mayWait refuses a call that would wait too long, or makes room for it.
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

// shedBehind refuses the waiting calls of lower priority that the new one has
// pushed past their deadlines or the longest wait. They get their answer now
// instead of at their deadlines.
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

// shedHopeless refuses the waiting calls that higher ones keep from starting
// until it is too late, as soon as that is to be expected: a call that is given
// up gets its answer at once and may still go elsewhere. The lock is held.
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

// The states of Ticket.hung; 0 for a call that was not found to hang. One that has ended is not
// found to hang any more, so that it is never counted for good.
const (
	hungNow    = 1
	hungNoMore = 2
)

// Hangs says that a started call was found to hang: its slot changes hands late, so what waits
// waits longer, and what can't start in time is refused at once.
func (g *Gate) MarkHung(now time.Duration, ticket *Ticket) {
	if !ticket.hung.CompareAndSwap(0, hungNow) {
		return
	}
	g.hung.Add(1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shedHopeless(now)
}

// evict refuses a waiting call.
func (g *Gate) evict(ticket *Ticket, verdict Decision) {
	g.queue.remove(ticket)
	g.unqueue()
	ticket.settle(verdict)
}

// unqueue takes one from the queued count; the lock is held.
func (g *Gate) unqueue() {
	g.word.Add(^uint64(queuedUnit - 1))
}

// leastRate stands for the slots that change hands where all calls that run hang: one of them
// ends now and then.
const leastRate = 0.1

// expectedWait estimates when a slot is free for a call that has the work of others of
// its lane ahead of it: the first slot is free when one of the running calls ends, and
// what is ahead fills the slots. It is 0 until a service time is known.
func (g *Gate) expectedWait(of *lane, ahead time.Duration) time.Duration {
	rate := max(float64(g.limit()-g.hung.Load()), leastRate) * g.queue.share(of)
	return time.Duration(float64(g.meanRunning()+ahead) / rate)
}

// meanRunning is how long the running calls are expected to run in the mean.
func (g *Gate) meanRunning() time.Duration {
	running := int64(g.word.Load() & runningMask)
	if running == 0 {
		return g.MeanServiceTime()
	}
	return time.Duration(max(g.runningWork.Load(), 0) / running)
}
