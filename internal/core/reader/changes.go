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
	// abandoned is set once OutcomeUnknown was returned for the change. It is not
	// put into another update, but a resend can join it as long as its update
	// may still be applied.
	abandoned bool
}

// changeState holds the queue of changes and the current attempt, if any.
type changeState struct {
	queue   []*submission
	attempt *attempt
	// lastAttemptNumber is the number of the newest attempt. Numbers identify
	// late replies to calls of an earlier attempt.
	lastAttemptNumber uint64
	retry             backoff
	// unbatched limits the next attempts to one change each, after a batch
	// exceeded the platform's size limit.
	unbatched bool
	// keeperSets are the keeper sets passed to Reader.SetKeepers that are not
	// in an attempt yet.
	keeperSets []protocol.KeeperSet
	// keeperSetsAt is the wall clock passed with keeperSets.
	keeperSetsAt time.Time
}

// enqueue queues a change, or adds a resend to the pending change with the
// same operation id.
func (r *Reader) enqueue(wallClock time.Time, ticket Ticket, request *protocol.SubmitRequest) {
	if !r.lease.isHeld {
		r.answer(ticket, newRefusal(result.NoReader, "this daemon does not hold a reader lease"))
		return
	}
	if pending := r.changes.findSubmission(request.Operation); pending != nil {
		r.joinSubmission(pending, ticket, request)
		return
	}
	if len(r.changes.queue) >= maxQueued {
		r.answer(ticket, newRefusal(result.Overloaded, "too many changes are waiting"))
		return
	}
	change, refusal := ledger.Prepare(request, wallClock, r.lease.record.Term)
	if refusal != nil {
		r.answer(ticket, refusal)
		return
	}
	r.changes.queue = append(r.changes.queue, &submission{
		request:  request,
		change:   change,
		tickets:  []Ticket{ticket},
		deadline: r.now + r.config.SubmitTimeout,
	})
}

// findSubmission returns the submission with an operation id from the attempt
// or the queue, or nil.
func (c *changeState) findSubmission(operation string) *submission {
	candidates := c.queue
	if c.attempt != nil {
		candidates = append(slices.Clone(c.attempt.submissions), candidates...)
	}
	for _, candidate := range candidates {
		if candidate.request.Operation == operation {
			return candidate
		}
	}
	return nil
}

// joinSubmission adds a resend to the pending submission with the same
// operation id. A request that differs from it is refused, as an id identifies
// one change.
func (r *Reader) joinSubmission(pending *submission, ticket Ticket, request *protocol.SubmitRequest) {
	if !sameRequest(pending.request, request) {
		r.answer(ticket, newRefusal(result.OperationReused, "the operation id is in use for another change"))
		return
	}
	pending.tickets = append(pending.tickets, ticket)
	pending.deadline = r.now + r.config.SubmitTimeout
	pending.abandoned = false
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

// newRefusal returns a reply with one error. The table of result codes defines
// whether a change with that code ran.
func newRefusal(code result.Code, detail string) *protocol.SubmitReply {
	problem := result.New(code, "%s", detail)
	entry, _ := result.Lookup(code)
	problem.Mend = entry.Mend
	return &protocol.SubmitReply{Code: code, Errors: []result.Error{*problem}}
}

func newNotAccepted() *protocol.SubmitReply {
	return newRefusal(result.NotAccepted, "the platform did not show the present head in time; no update was sent")
}

func newOutcomeUnknown() *protocol.SubmitReply {
	return newRefusal(result.OutcomeUnknown, "an update with the change was sent and its answer was lost")
}

// advanceChanges answers changes past their deadline and advances the attempt. It
// starts the next attempt if there is none.
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
		r.answerAll(item, newNotAccepted())
		return true
	})
	current := r.changes.attempt
	if current == nil {
		return
	}
	expired := slices.ContainsFunc(current.submissions, func(item *submission) bool { return r.now >= item.deadline })
	if !expired {
		return
	}
	if !current.mayBeApplied() {
		r.requeue(current)
		r.expireChanges()
		return
	}
	for _, item := range current.submissions {
		if r.now >= item.deadline && !item.abandoned {
			item.abandoned = true
			r.answerAll(item, newOutcomeUnknown())
		}
	}
}

// requeue ends an attempt whose update was not and can no longer be applied,
// and puts its changes back at the front of the queue, in order.
func (r *Reader) requeue(ended *attempt) {
	r.changes.attempt = nil
	remaining := slices.DeleteFunc(slices.Clone(ended.submissions), func(item *submission) bool { return item.abandoned })
	r.changes.queue = append(remaining, r.changes.queue...)
}

// abandonChanges answers all pending changes when the lease is lost.
func (r *Reader) abandonChanges() {
	if current := r.changes.attempt; current != nil && current.mayBeApplied() {
		for _, item := range current.submissions {
			r.answerAll(item, newOutcomeUnknown())
		}
	} else if current != nil {
		r.requeue(current)
	}
	for _, item := range r.changes.queue {
		r.answerAll(item, newNotAccepted())
	}
	r.changes = changeState{lastAttemptNumber: r.changes.lastAttemptNumber}
}
