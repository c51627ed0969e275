package reader

import (
	"bytes"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Bounds of the queue of changes.
const (
	// maxQueued is how many changes may be queued; more get Overloaded.
	maxQueued = 256
	// maxBatch is how many changes one head update may contain.
	maxBatch = 32
)

// submission is an operator's change that is queued or part of the attempt.
type submission struct {
	request  *protocol.SubmitRequest
	change   *ledger.Change
	tickets  []Ticket
	deadline time.Duration
	// givenUp is set once OutcomeUnknown was returned for the change. It is not
	// put into another update, but a resend can join it as long as its update
	// may still be applied.
	givenUp bool
}

// changeState holds the queue of changes and the current attempt, if any.
type changeState struct {
	queue   []*submission
	attempt *attempt
	// attempts numbers the attempts, so that late replies to calls of an earlier
	// attempt are recognised.
	attempts uint64
	retry    backoff
	// alone limits the next attempts to one change each, after a batch exceeded
	// the platform's size limit.
	alone bool
	// keepers are the keeper sets passed to Reader.SetKeepers that are not in an
	// attempt yet.
	keepers []protocol.KeeperSet
	// keepersAt is the wall clock passed with them.
	keepersAt time.Time
}

// enqueue queues a change, or adds a resend to the pending change with the
// same operation id.
func (r *Reader) enqueue(wallClock time.Time, ticket Ticket, request *protocol.SubmitRequest) {
	if !r.lease.held {
		r.answer(ticket, refusal(result.NoReader, "this daemon does not hold a reader lease"))
		return
	}
	if joined := r.changes.find(request.Operation); joined != nil {
		r.join(joined, ticket, request)
		return
	}
	if len(r.changes.queue) >= maxQueued {
		r.answer(ticket, refusal(result.Overloaded, "too many changes are waiting"))
		return
	}
	change, refused := ledger.Prepare(request, wallClock, r.lease.record.Term)
	if refused != nil {
		r.answer(ticket, refused)
		return
	}
	r.changes.queue = append(r.changes.queue, &submission{
		request:  request,
		change:   change,
		tickets:  []Ticket{ticket},
		deadline: r.now + r.config.SubmitTimeout,
	})
}

// find returns the submission with an operation id from the attempt or the
// queue, or nil.
func (c *changeState) find(operation string) *submission {
	candidates := c.queue
	if c.attempt != nil {
		candidates = append(slices.Clone(c.attempt.items), candidates...)
	}
	for _, candidate := range candidates {
		if candidate.request.Operation == operation {
			return candidate
		}
	}
	return nil
}

// join adds a resend to the pending submission with the same operation id. A
// request that differs from it is refused, as an id identifies one change.
func (r *Reader) join(first *submission, ticket Ticket, request *protocol.SubmitRequest) {
	if !sameRequest(first.request, request) {
		r.answer(ticket, refusal(result.OperationReused, "the operation id is in use for another change"))
		return
	}
	first.tickets = append(first.tickets, ticket)
	first.deadline = r.now + r.config.SubmitTimeout
	first.givenUp = false
}

func sameRequest(a, b *protocol.SubmitRequest) bool {
	return a.Expect == b.Expect && a.Partner == b.Partner && a.Action == b.Action && a.File == b.File &&
		bytes.Equal(a.Content, b.Content)
}

func (r *Reader) answer(ticket Ticket, reply *protocol.SubmitReply) {
	r.emit(SubmitResult{Ticket: ticket, Reply: reply})
}

func (r *Reader) answerAll(item *submission, reply *protocol.SubmitReply) {
	for _, ticket := range item.tickets {
		r.answer(ticket, reply)
	}
	item.tickets = nil
}

// refusal returns a reply with one error. The table of result codes defines
// whether a change with that code ran.
func refusal(code result.Code, detail string) *protocol.SubmitReply {
	problem := result.New(code, "%s", detail)
	entry, _ := result.Lookup(code)
	problem.Mend = entry.Mend
	return &protocol.SubmitReply{Code: code, Errors: []result.Error{*problem}}
}

func notAccepted() *protocol.SubmitReply {
	return refusal(result.NotAccepted, "the platform did not show the present head in time; no update was sent")
}

func outcomeUnknown() *protocol.SubmitReply {
	return refusal(result.OutcomeUnknown, "an update with the change was sent and its answer was lost")
}

// advanceChanges expires overdue changes and advances the attempt, starting the
// next one when there is none.
func (r *Reader) advanceChanges() {
	r.expireChanges()
	for r.advanceAttempt() {
	}
}

// expireChanges answers changes that are past their deadline. A queued change
// is not accepted for certain: an attempt that contained it has ended, and an
// attempt ends only when its update can no longer be applied.
func (r *Reader) expireChanges() {
	r.changes.queue = slices.DeleteFunc(r.changes.queue, func(item *submission) bool {
		if r.now < item.deadline {
			return false
		}
		r.answerAll(item, notAccepted())
		return true
	})
	current := r.changes.attempt
	if current == nil {
		return
	}
	expired := slices.ContainsFunc(current.items, func(item *submission) bool { return r.now >= item.deadline })
	if !expired {
		return
	}
	if !current.mayLand() {
		r.requeue(current)
		r.expireChanges()
		return
	}
	for _, item := range current.items {
		if r.now >= item.deadline && !item.givenUp {
			item.givenUp = true
			r.answerAll(item, outcomeUnknown())
		}
	}
}

// requeue ends an attempt whose update was not and can no longer be applied,
// and puts its changes back at the front of the queue, in order.
func (r *Reader) requeue(ended *attempt) {
	r.changes.attempt = nil
	again := slices.DeleteFunc(slices.Clone(ended.items), func(item *submission) bool { return item.givenUp })
	r.changes.queue = append(again, r.changes.queue...)
}

// abandonChanges answers all pending changes when the lease is lost.
func (r *Reader) abandonChanges() {
	if current := r.changes.attempt; current != nil && current.mayLand() {
		for _, item := range current.items {
			r.answerAll(item, outcomeUnknown())
		}
	} else if current != nil {
		r.requeue(current)
	}
	for _, item := range r.changes.queue {
		r.answerAll(item, notAccepted())
	}
	r.changes = changeState{attempts: r.changes.attempts}
}
