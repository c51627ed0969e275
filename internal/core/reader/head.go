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
	// isKnown is set after the first read under the lease, even if no head exists.
	isKnown bool
	// version is the object version of head; 0 if no head exists.
	version object.Version
	head    *ledger.Head

	// watchFrom is an object version up to which the last successful read covers all
	// changes of the head, so that a watch that starts there misses no change.
	// pendingWatchFrom replaces watchFrom when the read in flight succeeds, unless
	// the object version of the head is newer.
	watchFrom        object.Version
	pendingWatchFrom object.Version

	// reading is set while a read is in flight; readRequested causes another read
	// once none is in flight.
	reading       bool
	readRequested bool
	readRetry     backoff
	// resyncAt is when the head is read even if the watch reports no change.
	resyncAt time.Duration
	// outdatedReads counts consecutive reads that found no head or an outdated
	// head; see countOutdatedRead.
	outdatedReads int

	// waitersForNextRead are the requests for a fresh head that need a read sent
	// after the request; waitersForCurrentRead are the requests that the read in
	// flight will answer.
	waitersForNextRead    []headWaiter
	waitersForCurrentRead []headWaiter

	// watchToken is the token of the running watch; 0 for none.
	watchToken Token
	watchRetry backoff
}

// headWaiter is a pending request for a fresh head.
type headWaiter struct {
	ticket   Ticket
	deadline time.Duration
}

// enqueueFreshHead queues a request for a fresh head. All requests queued
// before the next read is sent share that read.
func (r *Reader) enqueueFreshHead(ticket Ticket) {
	if !r.lease.isHeld {
		r.emit(FreshHeadResult{Ticket: ticket})
		return
	}
	waiter := headWaiter{ticket: ticket, deadline: r.now + r.config.CallTimeout}
	r.head.waitersForNextRead = append(r.head.waitersForNextRead, waiter)
}

// advanceHead reads the head and starts the watch when they are due.
func (r *Reader) advanceHead() {
	r.head.waitersForNextRead = r.expireWaiters(r.head.waitersForNextRead)
	due := !r.head.isKnown || r.head.readRequested || len(r.head.waitersForNextRead) > 0 || r.now >= r.head.resyncAt
	if due && !r.head.reading && r.head.readRetry.isDue(r.now) {
		r.readHead()
	}
	verified := r.head.isKnown && !r.head.reading && !r.head.readRequested
	if verified && r.head.watchToken == 0 && r.head.watchRetry.isDue(r.now) {
		r.startWatch()
	}
}

// expireWaiters answers the requests past their deadline and returns the others.
func (r *Reader) expireWaiters(waiters []headWaiter) []headWaiter {
	var remaining []headWaiter
	for _, waiter := range waiters {
		if r.now < waiter.deadline {
			remaining = append(remaining, waiter)
			continue
		}
		r.emit(FreshHeadResult{Ticket: waiter.ticket})
	}
	return remaining
}

func (r *Reader) readHead() {
	r.head.reading = true
	r.head.readRequested = false
	r.head.pendingWatchFrom = r.lease.version
	r.head.waitersForCurrentRead = r.head.waitersForNextRead
	r.head.waitersForNextRead = nil
	r.changes.markReadSent()
	r.call(pendingCall{purpose: purposeHeadRead}, object.Call{Kind: object.CallGet, Name: ledger.HeadObject})
}

// handleHeadRead handles the reply to a read of the head. A read that returns an
// older head than the known one is stale and is repeated.
func (r *Reader) handleHeadRead(call pendingCall, reply object.Reply) {
	r.head.reading = false
	defer r.countOutdatedRead(reply)
	isCurrent := false
	switch reply.Code {
	case result.OK:
		isCurrent = r.adoptHead(reply.Object)
	case result.PlatformNotFound:
		isCurrent = r.head.version == 0
	}
	if !isCurrent {
		r.head.readRetry.recordFailure(r.now, r.random)
		r.head.readRequested = true
		r.head.waitersForNextRead = append(r.head.waitersForCurrentRead, r.head.waitersForNextRead...)
		r.head.waitersForCurrentRead = nil
		r.changes.markReadFailed()
		return
	}
	r.head.isKnown = true
	r.head.watchFrom = max(r.head.version, r.head.pendingWatchFrom)
	r.head.readRetry.reset()
	r.head.resyncAt = call.sentAt + r.config.ResyncInterval
	r.answerWaitersForCurrentRead()
	r.handleUnchangedHead()
}

// isHeadUsable reports whether the head is known and not older than the version
// known to the mesh.
func (r *Reader) isHeadUsable() bool {
	return r.head.isKnown && r.head.head.Version >= r.floor
}

// outdatedReadsBeforeEvent is the number of consecutive reads without a current
// head (see countOutdatedRead) after which an event is logged. Fewer such reads
// can be due to replication lag.
const outdatedReadsBeforeEvent = 5

// countOutdatedRead logs an event when outdatedReadsBeforeEvent consecutive
// reads have found no head although one is known, or a head older than the one
// known to this reader or than the version known to the mesh.
func (r *Reader) countOutdatedRead(reply object.Reply) {
	isMissing := reply.Code == result.PlatformNotFound
	if reply.Code != result.OK && !isMissing {
		return
	}
	isOutdated := reply.Object.Version < r.head.version || r.head.head.Version < r.floor
	if !isOutdated {
		r.head.outdatedReads = 0
		return
	}
	r.head.outdatedReads++
	if r.head.outdatedReads != outdatedReadsBeforeEvent {
		return
	}
	name := "head_moved_back"
	if isMissing {
		name = "head_deleted"
	}
	r.logEvent(name, LogField{"object_version", fmt.Sprint(reply.Object.Version)}, LogField{"known", fmt.Sprint(max(r.floor, r.head.head.Version))})
}

func (r *Reader) answerWaitersForCurrentRead() {
	for _, waiter := range r.head.waitersForCurrentRead {
		r.emit(FreshHeadResult{
			Ticket:  waiter.ticket,
			OK:      r.isHeadUsable(),
			Version: r.head.head.Version,
			Keepers: r.head.head.Keepers,
		})
	}
	r.head.waitersForCurrentRead = nil
}

// adoptHead replaces the known head by a newer one. It reports whether the known
// head is now the given one; an older or unreadable head is not adopted.
func (r *Reader) adoptHead(found object.Object) bool {
	if found.Version <= r.head.version {
		return found.Version == r.head.version
	}
	head, err := ledger.Decode(found.Data)
	if err != nil {
		r.logEvent("head_unreadable", LogField{"object_version", fmt.Sprint(found.Version)}, LogField{"error", err.Error()})
		return false
	}
	if head.Version < r.head.head.Version {
		r.logEvent("head_moved_back", LogField{"object_version", fmt.Sprint(found.Version)}, LogField{"version", fmt.Sprint(head.Version)})
		return false
	}
	r.head.isKnown = true
	r.head.version = found.Version
	r.head.head = head
	r.handleNewerHead()
	return true
}

// startWatch watches the head from the last read on. The watch does not start
// at the head's own object version: while the head does not change, that
// version is compacted and the watch would fail each time. All objects share
// one sequence of versions, so the version of the lease when the read was sent
// is a recent one that the read covers.
func (r *Reader) startWatch() {
	r.head.watchToken = r.newToken()
	r.emit(StartWatch{Token: r.head.watchToken, Prefix: ledger.HeadObject, From: max(r.head.version, r.head.watchFrom)})
}

func (r *Reader) handleWatchEvent(token Token, event object.Event) {
	if token != r.head.watchToken || token == 0 || event.Object.Name != ledger.HeadObject {
		return
	}
	r.head.watchRetry.reset()
	if event.Kind == object.EventDelete {
		r.logEvent("head_deleted", LogField{"object_version", fmt.Sprint(event.Object.Version)})
		return
	}
	r.adoptHead(event.Object)
}

// handleWatchEnd schedules a read of the head, which also covers changes that a
// compacted watch has missed; another watch starts after it.
func (r *Reader) handleWatchEnd(token Token, code result.Code) {
	if token != r.head.watchToken || token == 0 {
		return
	}
	r.head.watchToken = 0
	r.head.readRequested = true
	r.head.watchRetry.recordFailure(r.now, r.random)
	r.logEvent("watch_ended", LogField{"code", code.Name()})
}

// resetHead resets the head's state when the lease is lost. The head and its
// object version are kept, so that no older head is adopted under a later lease.
func (r *Reader) resetHead() {
	if r.head.watchToken != 0 {
		r.emit(StopWatch{Token: r.head.watchToken})
	}
	for _, waiter := range append(r.head.waitersForCurrentRead, r.head.waitersForNextRead...) {
		r.emit(FreshHeadResult{Ticket: waiter.ticket})
	}
	r.head = headState{version: r.head.version, head: r.head.head, outdatedReads: r.head.outdatedReads}
}
