package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
)

// classCount is the number of priorities.
const classCount = int(resource.PriorityHigh) + 1

// laneLimit is the number of partners' queues from which on empty ones are dropped.
const laneLimit = 64

// list is a doubly linked list of tickets, ordered by Ticket.startBy.
type list struct {
	head   *Ticket
	tail   *Ticket
	length int
	// work is the sum of the tickets' expected service times.
	work time.Duration
}

// push inserts a ticket behind all tickets with the same or an earlier startBy.
func (l *list) push(ticket *Ticket) {
	before := l.tail
	for before != nil && before.startBy > ticket.startBy {
		before = before.previous
	}
	ticket.previous = before
	if before == nil {
		ticket.next = l.head
		l.head = ticket
	} else {
		ticket.next = before.next
		before.next = ticket
	}
	if ticket.next == nil {
		l.tail = ticket
	} else {
		ticket.next.previous = ticket
	}
	l.length++
	l.work += ticket.expected
}

// until returns the work of the tickets whose startBy is not after the given time.
func (l *list) until(startBy time.Duration) (work time.Duration) {
	for ticket := l.head; ticket != nil && ticket.startBy <= startBy; ticket = ticket.next {
		work += ticket.expected
	}
	return work
}

func (l *list) remove(ticket *Ticket) {
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
	l.work -= ticket.expected
}

// lane is the queue of one partner.
type lane struct {
	partner resource.Partner
	weight  float64
	// used is the partner's virtual time as defined by fair queueing: the slot time
	// it has received, in seconds, divided by its weight.
	used float64
	// classes holds one list for each priority.
	classes [classCount]list
	length  int
}

// ahead returns the work of the queued calls of at least the given priority.
func (l *lane) ahead(class int) (work time.Duration) {
	for above := class; above < classCount; above++ {
		work += l.classes[above].work
	}
	return work
}

// aheadOf returns the work of the queued calls that go before a new call.
func (l *lane) aheadOf(ticket *Ticket) time.Duration {
	class := ticket.class()
	return l.ahead(class+1) + l.classes[class].until(ticket.startBy)
}

// first returns the call that starts next, or nil.
func (l *lane) first() *Ticket {
	for class := classCount - 1; class >= 0; class-- {
		if head := l.classes[class].head; head != nil {
			return head
		}
	}
	return nil
}

// last returns the last call of the lowest non-empty priority below the given one,
// or nil.
func (l *lane) last(below int) *Ticket {
	for class := 0; class < below; class++ {
		if tail := l.classes[class].tail; tail != nil {
			return tail
		}
	}
	return nil
}

// queue shares slots between partners by weighted fair queueing of slot time.
// Within a partner, higher priorities go first, and equal ones by Ticket.startBy.
type queue struct {
	weights []PartnerWeight
	// lanes is sorted by partner, so that every gate breaks ties in the same way.
	lanes []*lane
	// virtual is the largest virtual time at which a call has been started.
	virtual float64
	length  int
}

// lane returns the queue of a partner and creates it if needed. Empty queues are
// dropped when there are many, so beyond laneLimit the number of queues is bounded by
// the number of queued calls.
func (q *queue) lane(partner resource.Partner) *lane {
	index, found := q.position(partner)
	if found {
		return q.lanes[index]
	}
	if len(q.lanes) >= laneLimit {
		q.lanes = slices.DeleteFunc(q.lanes, func(held *lane) bool { return held.length == 0 })
		index, _ = q.position(partner)
	}
	made := &lane{partner: partner, weight: q.weight(partner), used: q.virtual}
	q.lanes = slices.Insert(q.lanes, index, made)
	return made
}

func (q *queue) position(partner resource.Partner) (int, bool) {
	return slices.BinarySearchFunc(q.lanes, partner, func(held *lane, wanted resource.Partner) int {
		return strings.Compare(string(held.partner), string(wanted))
	})
}

func (q *queue) weight(partner resource.Partner) float64 {
	for _, given := range q.weights {
		if given.Partner == partner && given.Weight > 0 {
			return given.Weight
		}
	}
	return 1
}

func (q *queue) push(ticket *Ticket, into *lane) {
	if into.length == 0 {
		// A partner earns no credit for time in which it had no queued calls.
		into.used = max(into.used, q.virtual)
	}
	ticket.lane = into
	into.classes[ticket.class()].push(ticket)
	into.length++
	q.length++
}

func (q *queue) remove(ticket *Ticket) {
	ticket.lane.classes[ticket.class()].remove(ticket)
	ticket.lane.length--
	q.length--
}

// pop removes and returns the call that starts next, or nil.
func (q *queue) pop() *Ticket {
	var chosen *lane
	for _, candidate := range q.lanes {
		if candidate.length == 0 {
			continue
		}
		if chosen == nil || candidate.used < chosen.used {
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
	q.virtual = max(q.virtual, ticket.lane.used)
	ticket.charged = seconds
	ticket.lane.used += seconds / ticket.lane.weight
}

// settleCharge replaces the expected slot time of a call by the actual one.
func (q *queue) settleCharge(ticket *Ticket, seconds float64) {
	owner := ticket.lane
	if owner == nil {
		owner = q.lane(ticket.Partner)
	}
	owner.used += (seconds - ticket.charged) / owner.weight
}

// share returns the fraction of the slots that a partner gets in competition with
// the other partners that have queued calls.
func (q *queue) share(of *lane) float64 {
	total := of.weight
	for _, other := range q.lanes {
		if other != of && other.length > 0 {
			total += other.weight
		}
	}
	return of.weight / total
}

// overShare returns the other partner's queue that exceeds its share of the queue
// length most, or nil if there is none or if the given queue has reached its own share.
func (q *queue) overShare(than *lane, limit int) *lane {
	if float64(than.length) >= q.share(than)*float64(limit) {
		return nil
	}
	var worst *lane
	excess := 0.0
	for _, other := range q.lanes {
		over := float64(other.length) - q.shareWith(other, than)*float64(limit)
		if other != than && other.length > 0 && over > excess {
			worst = other
			excess = over
		}
	}
	return worst
}

// shareWith returns the share of a partner as if newcomer had queued calls too.
func (q *queue) shareWith(of, newcomer *lane) float64 {
	if newcomer.length > 0 {
		return q.share(of)
	}
	total := newcomer.weight
	for _, other := range q.lanes {
		if other != newcomer && other.length > 0 {
			total += other.weight
		}
	}
	return of.weight / total
}
