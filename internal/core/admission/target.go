package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// retryParts divides the service time of a call that is refused for its target:
// the least wait that is told for another attempt.
const retryParts = 2

// shortShare is the share of the mean service time below which a call is short.
const shortShare = 0.75

// brief divides the service time of a call: a wait that is no longer than that part
// of it is not why its answer is late.
const brief = 4

// startBy is when a call must start: in time for its target, or at once when none
// is stated.
func (g *Gate) startBy(now time.Duration, ticket *Ticket) time.Duration {
	if ticket.Target <= 0 {
		return now
	}
	return ticket.Target - g.serviceOf(&ticket.Call)
}

// targetVerdict refuses a call that is expected to wait for a time and then to miss its
// target. One that would miss it though it hardly waits is not refused: elsewhere it may
// do no better.
func (g *Gate) targetVerdict(now time.Duration, ticket *Ticket, wait time.Duration) Decision {
	service := g.serviceOf(&ticket.Call)
	wait = time.Duration(float64(wait) * g.delayOf(&ticket.Call))
	late := g.lateness(ticket, now+wait)
	if late <= 0 || wait <= service/brief {
		return Decision{State: StateQueued}
	}
	return refused(result.QueueFull, max(late, service/retryParts))
}

// shedLate refuses the waiting calls of a lane that can't make their targets any
// more, since others have come that go first. The lock is held.
func (g *Gate) shedLate(now time.Duration, of *lane) {
	if g.config.NoEstimate {
		return
	}
	ahead := of.ahead(0)
	for class := range classCount {
		for ticket := of.classes[class].tail; ticket != nil; {
			next := ticket.previous
			ahead -= ticket.expected
			wait := g.expectedWait(of, ahead)
			if verdict := g.targetVerdict(now, ticket, wait); verdict.State == StateRefused {
				g.observeDelay(ticket, now-ticket.queuedAt+wait)
				g.evict(ticket, verdict)
			}
			ticket = next
		}
	}
}

// lateness is by how much the answer of a call that starts at a time is expected to
// miss its target. It is 0 for patient calls, and for calls that are shorter than
// most: to run them costs little, and whoever makes a short call usually needs it to
// go on.
func (g *Gate) lateness(ticket *Ticket, start time.Duration) time.Duration {
	service := g.serviceOf(&ticket.Call)
	if ticket.Target <= 0 || ticket.Patient || float64(service) < shortShare*float64(g.MeanServiceTime()) {
		return 0
	}
	return max(start+g.LongServiceTime(&ticket.Call)-ticket.Target, 0)
}
