package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
)

// priorityCount is the number of priorities.
const priorityCount = int(resource.CallPriorityCount)

// partnerQueueLimit is the number of partners' queues above which empty ones are dropped.
const partnerQueueLimit = 64

// ticketList is a doubly linked list of tickets, ordered by Ticket.startBy.
type ticketList struct {
	head   *Ticket
	tail   *Ticket
	length int
	// work is the sum of the tickets' expected service times.
	work time.Duration
}

// push inserts a ticket behind all tickets with the same or an earlier startBy.
func (l *ticketList) push(ticket *Ticket) {
	predecessor := l.tail
	for predecessor != nil && predecessor.startBy > ticket.startBy {
		predecessor = predecessor.previous
	}
	ticket.previous = predecessor
	if predecessor == nil {
		ticket.next = l.head
		l.head = ticket
	} else {
		ticket.next = predecessor.next
		predecessor.next = ticket
	}
	if ticket.next == nil {
		l.tail = ticket
	} else {
		ticket.next.previous = ticket
	}
	l.length++
	l.work += ticket.expectedServiceTime
}

// workUntil returns the work of the tickets whose startBy is not after the given time.
func (l *ticketList) workUntil(startBy time.Duration) (work time.Duration) {
	for ticket := l.head; ticket != nil && ticket.startBy <= startBy; ticket = ticket.next {
		work += ticket.expectedServiceTime
	}
	return work
}

func (l *ticketList) remove(ticket *Ticket) {
	if ticket.previous == nil {
		l.head = ticket.next
	} else {
		ticket.previous.next = ticket.next
	}
	if ticket.next == nil {
		l.tail = ticket.previous
	} else {
		ticket.next.previous = ticket.previous
	}
	ticket.next = nil
	ticket.previous = nil
	l.length--
	l.work -= ticket.expectedServiceTime
}

// partnerQueue holds the queued calls of one partner and the slot time that it has received.
type partnerQueue struct {
	partner resource.Partner
	weight  float64
	// virtualTime is the partner's virtual time as defined by fair queueing: the slot time
	// it has received, in seconds, divided by its weight.
	virtualTime float64
	// byPriority[p] lists the queued calls with priority index p; see Ticket.priorityIndex.
	byPriority [priorityCount]ticketList
	length     int
}

// workFromPriority returns the work of the queued calls of at least the given priority.
func (p *partnerQueue) workFromPriority(priority int) (work time.Duration) {
	for higher := priority; higher < priorityCount; higher++ {
		work += p.byPriority[higher].work
	}
	return work
}

// workAhead returns the work of the queued calls that go before a new call.
func (p *partnerQueue) workAhead(ticket *Ticket) time.Duration {
	priority := ticket.priorityIndex()
	return p.workFromPriority(priority+1) + p.byPriority[priority].workUntil(ticket.startBy)
}

// first returns the call that starts next, or nil.
func (p *partnerQueue) first() *Ticket {
	for priority := priorityCount - 1; priority >= 0; priority-- {
		if head := p.byPriority[priority].head; head != nil {
			return head
		}
	}
	return nil
}

// lastBelow returns the last call of the lowest non-empty priority below the given one,
// or nil.
func (p *partnerQueue) lastBelow(below int) *Ticket {
	for priority := 0; priority < below; priority++ {
		if tail := p.byPriority[priority].tail; tail != nil {
			return tail
		}
	}
	return nil
}

// queue holds the queued calls of all partners and shares slots between the partners
// by weighted fair queueing of slot time. Within a partner, higher priorities go first,
// and calls of equal priority in the order of Ticket.startBy.
type queue struct {
	weights []PartnerWeight
	// partnerQueues is sorted by partner, so that every gate breaks ties in the same way.
	partnerQueues []*partnerQueue
	// virtualTime is the largest virtual time at which a call has been started.
	virtualTime float64
	length      int
}

// partnerQueueOf returns the queue of a partner and creates it if needed. Empty queues are
// dropped when there are many, so beyond partnerQueueLimit the number of queues is
// bounded by the number of queued calls.
func (q *queue) partnerQueueOf(partner resource.Partner) *partnerQueue {
	index, found := q.position(partner)
	if found {
		return q.partnerQueues[index]
	}
	if len(q.partnerQueues) >= partnerQueueLimit {
		q.partnerQueues = slices.DeleteFunc(q.partnerQueues, func(candidate *partnerQueue) bool { return candidate.length == 0 })
		index, _ = q.position(partner)
	}
	created := &partnerQueue{partner: partner, weight: q.weight(partner), virtualTime: q.virtualTime}
	q.partnerQueues = slices.Insert(q.partnerQueues, index, created)
	return created
}

func (q *queue) position(partner resource.Partner) (int, bool) {
	return slices.BinarySearchFunc(q.partnerQueues, partner, func(candidate *partnerQueue, wanted resource.Partner) int {
		return strings.Compare(string(candidate.partner), string(wanted))
	})
}

func (q *queue) weight(partner resource.Partner) float64 {
	for _, configured := range q.weights {
		if configured.Partner == partner && configured.Weight > 0 {
			return configured.Weight
		}
	}
	return 1
}

func (q *queue) push(ticket *Ticket, partner *partnerQueue) {
	if partner.length == 0 {
		// A partner earns no credit for time in which it had no queued calls.
		partner.virtualTime = max(partner.virtualTime, q.virtualTime)
	}
	ticket.partnerQueue = partner
	partner.byPriority[ticket.priorityIndex()].push(ticket)
	partner.length++
	q.length++
}

func (q *queue) remove(ticket *Ticket) {
	ticket.partnerQueue.byPriority[ticket.priorityIndex()].remove(ticket)
	ticket.partnerQueue.length--
	q.length--
}

// pop removes and returns the call that starts next, or nil.
func (q *queue) pop() *Ticket {
	var chosen *partnerQueue
	for _, candidate := range q.partnerQueues {
		if candidate.length == 0 {
			continue
		}
		if chosen == nil || candidate.virtualTime < chosen.virtualTime {
			chosen = candidate
		}
	}
	if chosen == nil {
		return nil
	}
	ticket := chosen.first()
	q.remove(ticket)
	return ticket
}

// charge adds the slot time that a started call is expected to use to its partner's
// virtual time.
func (q *queue) charge(ticket *Ticket, seconds float64) {
	q.virtualTime = max(q.virtualTime, ticket.partnerQueue.virtualTime)
	ticket.chargedSeconds = seconds
	ticket.partnerQueue.virtualTime += seconds / ticket.partnerQueue.weight
}

// correctCharge replaces the expected slot time of a call by the actual one.
func (q *queue) correctCharge(ticket *Ticket, seconds float64) {
	owner := ticket.partnerQueue
	if owner == nil {
		owner = q.partnerQueueOf(ticket.Partner)
	}
	owner.virtualTime += (seconds - ticket.chargedSeconds) / owner.weight
}

// share returns the fraction of the slots that a partner gets in competition with
// the other partners that have queued calls.
func (q *queue) share(partner *partnerQueue) float64 {
	total := partner.weight
	for _, other := range q.partnerQueues {
		if other != partner && other.length > 0 {
			total += other.weight
		}
	}
	return partner.weight / total
}

// mostOverShare returns the queue of the partner, other than the given one, that exceeds its
// share of the queue length most. It returns nil if no other partner exceeds its share, or if
// the given partner has reached its own.
func (q *queue) mostOverShare(partner *partnerQueue, limit int) *partnerQueue {
	if float64(partner.length) >= q.share(partner)*float64(limit) {
		return nil
	}
	var mostOver *partnerQueue
	largestExcess := 0.0
	for _, other := range q.partnerQueues {
		excess := float64(other.length) - q.shareIfQueued(other, partner)*float64(limit)
		if other != partner && other.length > 0 && excess > largestExcess {
			mostOver = other
			largestExcess = excess
		}
	}
	return mostOver
}

// shareIfQueued returns the share of a partner as if newcomer had queued calls too.
func (q *queue) shareIfQueued(partner, newcomer *partnerQueue) float64 {
	if newcomer.length > 0 {
		return q.share(partner)
	}
	total := newcomer.weight
	for _, other := range q.partnerQueues {
		if other != newcomer && other.length > 0 {
			total += other.weight
		}
	}
	return partner.weight / total
}
