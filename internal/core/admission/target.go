package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// retryAfterDivisor sets the minimum RetryAfter of calls that are refused because of
// their target: the service time divided by retryAfterDivisor.
const retryAfterDivisor = 2

// shortCallShare is the fraction of the mean service time below which a call counts as
// short.
const shortCallShare = 0.75

// negligibleWaitDivisor sets the longest wait that is too short to be the cause of a
// late answer: the call's service time divided by
// negligibleWaitDivisor.
const negligibleWaitDivisor = 4

// startByOf returns the latest time at which a call can start and be expected to meet
// its target, or the present time if it has no target.
func (g *Gate) startByOf(now time.Duration, ticket *Ticket) time.Duration {
	if ticket.Target <= 0 {
		return now
	}
	return ticket.Target - g.expectedServiceTimeOf(&ticket.Call)
}

// checkTarget refuses a call that is expected to miss its target after the given wait,
// corrected by delayRatioOf. A call that would miss its target after a negligible wait is
// not refused, because it would probably be as late elsewhere.
func (g *Gate) checkTarget(now time.Duration, ticket *Ticket, wait time.Duration) Decision {
	serviceTime := g.expectedServiceTimeOf(&ticket.Call)
	wait = time.Duration(float64(wait) * g.delayRatioOf(&ticket.Call))
	lateness := g.lateness(ticket, now+wait)
	if lateness <= 0 || wait <= serviceTime/negligibleWaitDivisor {
		return Decision{State: StateQueued}
	}
	return refused(result.QueueFull, max(lateness, serviceTime/retryAfterDivisor))
}

// shedMissedTargets refuses the queued calls of a partner that can't meet their targets any
// more because of later arrivals that go first. The caller holds the lock.
func (g *Gate) shedMissedTargets(now time.Duration, partner *partnerQueue) {
	if g.config.NoEstimate {
		return
	}
	workAhead := partner.workFromPriority(0)
	for priority := range priorityCount {
		for ticket := partner.byPriority[priority].tail; ticket != nil; {
			next := ticket.previous
			workAhead -= ticket.expectedServiceTime
			wait := g.expectedWait(partner, workAhead)
			if decision := g.checkTarget(now, ticket, wait); decision.State == StateRefused {
				g.observeDelay(ticket, now-ticket.queuedAt+wait)
				g.evict(ticket, decision)
			}
			ticket = next
		}
	}
}

// lateness returns the time by which a call that starts at the given time is expected
// to miss its target. It is 0 for patient calls, and for short calls: running them
// costs little, and their callers usually can't proceed without them.
func (g *Gate) lateness(ticket *Ticket, start time.Duration) time.Duration {
	serviceTime := g.expectedServiceTimeOf(&ticket.Call)
	if ticket.Target <= 0 || ticket.Patient || float64(serviceTime) < shortCallShare*float64(g.MeanServiceTime()) {
		return 0
	}
	return max(start+g.CautiousServiceTime(&ticket.Call)-ticket.Target, 0)
}
