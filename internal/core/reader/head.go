package reader

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// headState is what the reader knows of the head. It only moves forward in
// object versions, whatever order events, reads and own writes come in.
type headState struct {
	// known is set after the first read, also when there is no head.
	known bool
	// version is the object version of head; 0 while there is none.
	version object.Version
	head    *ledger.Head

	// since is an object version at or after which version was still the head's;
	// sending is the same for the read under way.
	since   object.Version
	sending object.Version

	// reading is set while a read is under way; wanted asks for one that is
	// sent from now on.
	reading  bool
	wanted   bool
	attempt  backoff
	resyncAt time.Duration
	// missing counts the reads in a row that showed no head, or one below what
	// the mesh holds.
	missing int

	// waiting are questions that need a read sent after them; asked are those
	// that the read under way will answer.
	waiting []headWaiter
	asked   []headWaiter

	watch        Token
	watchAttempt backoff
}

// headWaiter is a FreshHead question.
type headWaiter struct {
	ticket   Ticket
	deadline time.Duration
}

// awaitHead queues a question. Questions that come before the next read is
// sent share it.
func (r *Reader) awaitHead(ticket Ticket) {
	if !r.lease.held {
		r.emit(FreshHeadResult{Ticket: ticket})
		return
	}
	waiter := headWaiter{ticket: ticket, deadline: r.now + r.config.CallTimeout}
	r.head.waiting = append(r.head.waiting, waiter)
}

// advanceHead sends a read and starts the watch when they are due.
func (r *Reader) advanceHead() {
	r.head.waiting = r.expireWaiters(r.head.waiting)
	due := !r.head.known || r.head.wanted || len(r.head.waiting) > 0 || r.now >= r.head.resyncAt
	if due && !r.head.reading && r.head.attempt.due(r.now) {
		r.readHead()
	}
	verified := r.head.known && !r.head.reading && !r.head.wanted
	if verified && r.head.watch == 0 && r.head.watchAttempt.due(r.now) {
		r.startWatch()
	}
}

// expireWaiters answers the questions that can wait no longer.
func (r *Reader) expireWaiters(waiters []headWaiter) []headWaiter {
	var left []headWaiter
	for _, waiter := range waiters {
		if r.now < waiter.deadline {
			left = append(left, waiter)
			continue
		}
		r.emit(FreshHeadResult{Ticket: waiter.ticket})
	}
	return left
}

func (r *Reader) readHead() {
	r.head.reading = true
	r.head.wanted = false
	r.head.sending = r.lease.version
	r.head.asked = r.head.waiting
	r.head.waiting = nil
	r.changes.readSent()
	r.call(pendingCall{purpose: purposeHeadRead}, object.Call{Kind: object.CallGet, Name: ledger.HeadObject})
}

// headWasRead takes a read of the head. A read that lags behind what was seen
// before proves nothing and is repeated.
func (r *Reader) headWasRead(call pendingCall, reply object.Reply) {
	r.head.reading = false
	defer r.countMissing(reply)
	current := false
	switch reply.Code {
	case result.OK:
		current = r.adopt(reply.Object)
	case result.PlatformNotFound:
		current = r.head.version == 0
	}
	if !current {
		r.head.attempt.fail(r.now, r.random)
		r.head.wanted = true
		r.head.waiting = append(r.head.asked, r.head.waiting...)
		r.head.asked = nil
		r.changes.readFailed()
		return
	}
	r.head.known = true
	r.head.since = max(r.head.version, r.head.sending)
	r.head.attempt.succeed()
	r.head.resyncAt = call.sent + r.config.ResyncInterval
	r.answerAsked()
	r.headConfirmed()
}

// headUsable reports that the head is known and not below what the mesh holds.
func (r *Reader) headUsable() bool {
	return r.head.known && r.head.head.Version >= r.floor
}

// missingReads is how many reads in a row must show an older head or none
// before that is told; fewer may only lag.
const missingReads = 5

// countMissing tells, once, that the platform goes on showing no head or an
// older one than the mesh holds.
func (r *Reader) countMissing(reply object.Reply) {
	gone := reply.Code == result.PlatformNotFound
	if reply.Code != result.OK && !gone {
		return
	}
	older := reply.Object.Version < r.head.version || r.head.head.Version < r.floor
	if !older {
		r.head.missing = 0
		return
	}
	r.head.missing++
	if r.head.missing != missingReads {
		return
	}
	name := "head_moved_back"
	if gone {
		name = "head_deleted"
	}
	r.event(name, LogField{"object_version", fmt.Sprint(reply.Object.Version)}, LogField{"known", fmt.Sprint(max(r.floor, r.head.head.Version))})
}

func (r *Reader) answerAsked() {
	for _, waiter := range r.head.asked {
		r.emit(FreshHeadResult{
			Ticket:  waiter.ticket,
			OK:      r.headUsable(),
			Version: r.head.head.Version,
			Keepers: r.head.head.Keepers,
		})
	}
	r.head.asked = nil
}

// adopt takes a head if it is newer than the one known. It reports whether the
// head known is at least as new as the given one, and readable.
func (r *Reader) adopt(found object.Object) bool {
	if found.Version <= r.head.version {
		return found.Version == r.head.version
	}
	head, err := ledger.Decode(found.Data)
	if err != nil {
		r.event("head_unreadable", LogField{"object_version", fmt.Sprint(found.Version)}, LogField{"error", err.Error()})
		return false
	}
	if head.Version < r.head.head.Version {
		r.event("head_moved_back", LogField{"object_version", fmt.Sprint(found.Version)}, LogField{"version", fmt.Sprint(head.Version)})
		return false
	}
	r.head.known = true
	r.head.version = found.Version
	r.head.head = head
	r.headAdvanced()
	return true
}

// startWatch follows the head from the last read on. It does not start from
// the head's own version: an idle head would be compacted away, again and
// again. Object versions are one sequence, and the lease's version before the
// read was sent is a recent one that the read certainly covers.
func (r *Reader) startWatch() {
	r.head.watch = r.newToken()
	r.emit(StartWatch{Token: r.head.watch, Prefix: ledger.HeadObject, From: max(r.head.version, r.head.since)})
}

func (r *Reader) watchEvent(token Token, event object.Event) {
	if token != r.head.watch || token == 0 || event.Object.Name != ledger.HeadObject {
		return
	}
	r.head.watchAttempt.succeed()
	if event.Kind == object.EventDelete {
		r.event("head_deleted", LogField{"object_version", fmt.Sprint(event.Object.Version)})
		return
	}
	r.adopt(event.Object)
}

// watchEnded reads the head again, which also covers what a compacted watch
// has missed, and then starts another watch.
func (r *Reader) watchEnded(token Token, code result.Code) {
	if token != r.head.watch || token == 0 {
		return
	}
	r.head.watch = 0
	r.head.wanted = true
	r.head.watchAttempt.fail(r.now, r.random)
	r.event("watch_ended", LogField{"code", code.Name()})
}

// abandonHead forgets the head with the lease. Object versions grow for ever,
// so the version is kept and nothing older is taken after the next lease.
func (r *Reader) abandonHead() {
	if r.head.watch != 0 {
		r.emit(StopWatch{Token: r.head.watch})
	}
	for _, waiter := range append(r.head.asked, r.head.waiting...) {
		r.emit(FreshHeadResult{Ticket: waiter.ticket})
	}
	r.head = headState{version: r.head.version, head: r.head.head, missing: r.head.missing}
}
