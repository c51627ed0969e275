package reader

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// headState is the reader's view of the head. Its object version only grows, in
// whatever order events, reads and the reader's own writes arrive.
type headState struct {
	// known is set after the first read under the lease, even if no head exists.
	known bool
	// version is the object version of head; 0 if no head exists.
	version object.Version
	head    *ledger.Head

	// since is an object version at which the head was still at version: a watch
	// that starts there misses no change. sending becomes since when the read in
	// flight succeeds.
	since   object.Version
	sending object.Version

	// reading is set while a read is in flight; wanted requests another one, sent
	// after that.
	reading  bool
	wanted   bool
	attempt  backoff
	resyncAt time.Duration
	// missing counts consecutive reads that found no head, or one older than the
	// version known to the mesh.
	missing int

	// waiting are the requests for a fresh head that need a read sent after them;
	// asked are those that the read in flight will answer.
	waiting []headWaiter
	asked   []headWaiter

	watch        Token
	watchAttempt backoff
}

// headWaiter is a pending FreshHead request.
type headWaiter struct {
	ticket   Ticket
	deadline time.Duration
}

// awaitHead queues a request for a fresh head. All requests queued before the
// next read is sent share that read.
func (r *Reader) awaitHead(ticket Ticket) {
	if !r.lease.held {
		r.emit(FreshHeadResult{Ticket: ticket})
		return
	}
	waiter := headWaiter{ticket: ticket, deadline: r.now + r.config.CallTimeout}
	r.head.waiting = append(r.head.waiting, waiter)
}

// advanceHead reads the head and starts the watch when they are due.
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

// expireWaiters answers the requests past their deadline and returns the others.
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

// headWasRead handles the reply to a read of the head. A read that returns an
// older head than the known one is stale and is repeated.
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

// headUsable reports whether the head is known and not older than the version
// known to the mesh.
func (r *Reader) headUsable() bool {
	return r.head.known && r.head.head.Version >= r.floor
}

// missingReads is how many consecutive reads must find an older head or none
// before an event is logged; fewer can be due to replication lag.
const missingReads = 5

// countMissing logs an event once when missingReads consecutive reads have found
// no head, or one older than the version known to the mesh.
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

// adopt replaces the known head by a newer one. It reports whether the known
// head is now the given one; an older or unreadable head is not adopted.
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

// startWatch watches the head from the last read on. The watch does not start
// at the head's own object version: while the head does not change, that
// version is compacted and the watch would fail each time. All objects share
// one sequence of versions, so the version of the lease when the read was sent
// is a recent one that the read covers.
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

// watchEnded schedules a read of the head, which also covers changes that a
// compacted watch has missed; another watch starts after it.
func (r *Reader) watchEnded(token Token, code result.Code) {
	if token != r.head.watch || token == 0 {
		return
	}
	r.head.watch = 0
	r.head.wanted = true
	r.head.watchAttempt.fail(r.now, r.random)
	r.event("watch_ended", LogField{"code", code.Name()})
}

// abandonHead resets the head's state when the lease is lost. The head and its
// object version are kept, so that no older head is adopted under a later lease.
func (r *Reader) abandonHead() {
	if r.head.watch != 0 {
		r.emit(StopWatch{Token: r.head.watch})
	}
	for _, waiter := range append(r.head.asked, r.head.waiting...) {
		r.emit(FreshHeadResult{Ticket: waiter.ticket})
	}
	r.head = headState{version: r.head.version, head: r.head.head, missing: r.head.missing}
}
