package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
)

// classCount is the number of priorities.
const classCount = int(resource.PriorityHigh) + 1

// laneLimit bounds the partners remembered while none of their calls wait.
const laneLimit = 64

// list is a doubly linked list of tickets, in the order in which they must start.
type list struct {
	head   *Ticket
	tail   *Ticket
	length int
	// work is how long its tickets are expected to run, in all.
	work time.Duration
}

// push inserts a ticket behind those that must start no later than it.
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

// until is the work of the tickets that must start no later than a time.
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

// lane holds the waiting calls of one partner.
type lane struct {
	partner resource.Partner
	weight  float64
	// used is the weighted slot time given to the partner, in seconds: the
	// virtual time of fair queuing.
	used    float64
	classes [classCount]list
	length  int
}

// ahead is the work of the waiting calls that go before a new one of the class.
func (l *lane) ahead(class int) (work time.Duration) {
	for above := class; above < classCount; above++ {
		work += l.classes[above].work
	}
	return work
}

// aheadOf is the work of the waiting calls that go before a new one.
func (l *lane) aheadOf(ticket *Ticket) time.Duration {
	class := ticket.class()
	return l.ahead(class+1) + l.classes[class].until(ticket.startBy)
}

// first is the call of the lane that goes next.
func (l *lane) first() *Ticket {
	for class := classCount - 1; class >= 0; class-- {
		if head := l.classes[class].head; head != nil {
			return head
		}
	}
	return nil
}

// last is the call of the lane that goes last, below a class.
func (l *lane) last(below int) *Ticket {
	for class := 0; class < below; class++ {
		if tail := l.classes[class].tail; tail != nil {
			return tail
		}
	}
	return nil
}

// queue shares slots between partners by weighted fair queuing of slot time;
// within a partner, higher priorities go first and equal ones in order.
type queue struct {
	weights []PartnerWeight
	// lanes are sorted by partner, so that ties are settled alike everywhere.
	lanes []*lane
	// virtual is the largest virtual time at which a call was taken.
	virtual float64
	length  int
}

// lane finds or makes the lane of a partner. Lanes without calls are dropped
// when there are many, so their number is bounded by what waits.
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
		// A partner that did not wait gains no credit for the past.
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

// pop takes the call that goes next, or nil.
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

// charge books the slot time that a started call is expected to use.
func (q *queue) charge(ticket *Ticket, seconds float64) {
	q.virtual = max(q.virtual, ticket.lane.used)
	ticket.charged = seconds
	ticket.lane.used += seconds / ticket.lane.weight
}

// settleCharge corrects the booking once the true slot time is known.
func (q *queue) settleCharge(ticket *Ticket, seconds float64) {
	owner := ticket.lane
	if owner == nil {
		owner = q.lane(ticket.Partner)
	}
	owner.used += (seconds - ticket.charged) / owner.weight
}

// share is the part of the slots that a lane gets while it and the others
// that have calls waiting compete.
func (q *queue) share(of *lane) float64 {
	total := of.weight
	for _, other := range q.lanes {
		if other != of && other.length > 0 {
			total += other.weight
		}
	}
	return of.weight / total
}

// overShare finds the lane that is furthest above its share of the queue,
// apart from the one given, which must itself be below its share.
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

// shareWith is the share of a lane when another one competes as well.
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
