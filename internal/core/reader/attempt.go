package reader

import (
	"fmt"
	"slices"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// phase is the current step of an attempt.
type phase int

const (
	// phaseContents: the contents that the new head names are being written.
	phaseContents phase = iota + 1
	// phaseWrite: the head update is ready to be sent.
	phaseWrite
	// phaseWriting: the head update was sent and has no reply yet.
	phaseWriting
	// phaseResolve: the outcome of the update is unknown; a read of the head has
	// to be sent to find out whether it was applied.
	phaseResolve
	// phaseResolving: the read for phaseResolve is in flight.
	phaseResolving
	// phaseConfirm: all changes were refused; a read of the head has to be sent
	// to confirm that they were checked against the newest head.
	phaseConfirm
	// phaseConfirming: the read for phaseConfirm is in flight.
	phaseConfirming
)

// attempt is one pending head update, or one batch of refused changes that
// await confirmation.
//
// Invariant: an attempt ends only when its update was applied, or when the
// object version of the head differs from base, so that an update still in
// flight can only fail. Until then its changes are neither put into another
// update nor reported as not accepted.
type attempt struct {
	number uint64
	items  []*submission
	// base is the object version that the update expects; 0 creates the head.
	base object.Version
	// data is the encoded new head; retries send the same bytes.
	data []byte
	// replies are the refusals of the items when there is nothing to write.
	replies []*protocol.SubmitReply
	phase   phase
	// unwritten are the contents that must be written before the head; writing
	// are those with a write in flight.
	unwritten map[resource.Digest][]byte
	writing   map[resource.Digest]bool
	// files are the parsed contents that the new head refers to.
	files ledger.Contents
	// lost is set once the update was sent and got no conclusive reply.
	lost bool
}

// mayLand reports whether the update may still be applied by the platform, or
// may have been applied without this reader having seen it.
func (a *attempt) mayLand() bool { return a.lost || a.phase == phaseWriting }

// advanceAttempt runs the next step of the attempt, or starts one, and reports
// whether it has to be called again.
func (r *Reader) advanceAttempt() bool {
	if r.changes.attempt == nil {
		return r.startAttempt()
	}
	if !r.changes.retry.due(r.now) {
		return false
	}
	switch current := r.changes.attempt; current.phase {
	case phaseContents:
		r.writeContents(current)
	case phaseWrite:
		r.writeHead(current)
	case phaseResolve, phaseConfirm:
		r.head.wanted = true
	}
	return false
}

// startAttempt creates the next attempt if changes are queued and the head and
// all contents that it refers to are loaded.
func (r *Reader) startAttempt() bool {
	idle := len(r.changes.queue) == 0 && len(r.changes.keepers) == 0
	if idle || !r.headUsable() || len(ledger.MissingContents(r.head.head, r.contents.files)) > 0 {
		return false
	}
	r.changes.attempts++
	next := &attempt{number: r.changes.attempts, base: r.head.version}
	if len(r.changes.keepers) > 0 {
		return r.startKeepers(next)
	}
	if r.answerKnown() {
		return true
	}
	r.fill(next)
	r.changes.attempt = next
	return true
}

// startKeepers creates an attempt that changes only keeper sets.
func (r *Reader) startKeepers(next *attempt) bool {
	wanted := slices.DeleteFunc(slices.Clone(r.changes.keepers), func(set protocol.KeeperSet) bool {
		current, _ := r.head.head.KeeperSet(set.Region)
		return current.Revision != set.Revision
	})
	r.changes.keepers = nil
	head := ledger.SetKeepers(r.head.head, wanted, r.changes.keepersAt, r.lease.record.Term)
	if head == r.head.head {
		return true
	}
	next.data = ledger.Encode(head)
	next.phase = phaseWrite
	r.changes.attempt = next
	return true
}

// answerKnown answers the first change in the queue if its operation id is
// already in the head. No further read is needed, as a recorded operation
// keeps its answer in every later head.
func (r *Reader) answerKnown() bool {
	first := r.changes.queue[0]
	reply := ledger.FindOperation(r.head.head, first.request)
	if reply == nil {
		return false
	}
	r.changes.queue = r.changes.queue[1:]
	r.answerAll(first, reply)
	return true
}

// fill moves changes from the front of the queue into the attempt: either only
// changes that alter the head, each as a version of its own, or only refusals.
//
// A change joins a batch only if it would also alter the current head by
// itself. Otherwise another reader that received a resend of it could refuse
// it against the same head as not run, while this update is still in flight
// and is then applied.
func (r *Reader) fill(next *attempt) {
	head, files := r.head.head, r.contents.files
	limit := maxBatch
	if r.changes.alone {
		limit = 1
	}
	for len(r.changes.queue) > 0 && len(next.items) < limit {
		item := r.changes.queue[0]
		alone, _, reply := ledger.Apply(r.head.head, r.contents.files, item.change)
		if alone == r.head.head {
			if len(next.items) == 0 || next.phase == phaseConfirm {
				next.phase = phaseConfirm
				r.take(next, reply)
				continue
			}
			break
		}
		if next.phase == phaseConfirm {
			break
		}
		altered, with, reply := ledger.Apply(head, files, item.change)
		if altered == head {
			break
		}
		head, files = altered, with
		next.phase = phaseContents
		r.take(next, reply)
	}
	if next.phase != phaseContents {
		return
	}
	next.data = ledger.Encode(head)
	next.files = files
	next.collectContents(r.contents.files)
}

// take moves the first change of the queue into the attempt, with its reply.
func (r *Reader) take(next *attempt, reply *protocol.SubmitReply) {
	next.items = append(next.items, r.changes.queue[0])
	next.replies = append(next.replies, reply)
	r.changes.queue = r.changes.queue[1:]
}

// collectContents lists the contents that the platform may not have yet. Those
// in present are referred to by the current head and so were written before.
func (a *attempt) collectContents(present ledger.Contents) {
	a.unwritten = map[resource.Digest][]byte{}
	a.writing = map[resource.Digest]bool{}
	for _, item := range a.items {
		digest := item.change.Digest
		if digest != "" && present[digest] == nil {
			a.unwritten[digest] = item.change.Text
		}
	}
}

// headAdvanced ends the attempt after a newer head was adopted from a read, a
// watch event or a write. The update expected an older object version: either
// its operation ids are in the new head, or it can no longer be applied.
func (r *Reader) headAdvanced() {
	current := r.changes.attempt
	if current == nil || current.base == r.head.version {
		return
	}
	r.changes.alone = false
	r.changes.retry.succeed()
	current.items = slices.DeleteFunc(current.items, func(item *submission) bool {
		reply := ledger.FindOperation(r.head.head, item.request)
		if reply == nil {
			return false
		}
		r.settle(item, reply)
		return true
	})
	r.requeue(current)
}

// settle answers a change whose operation is in the head. Its content is on the
// platform, because a reader writes contents before the head.
func (r *Reader) settle(item *submission, reply *protocol.SubmitReply) {
	if item.change.File != nil && reply.Code != result.OperationReused {
		r.keepContents(ledger.Contents{item.change.Digest: item.change.File})
	}
	r.answerAll(item, reply)
	r.event("change_settled",
		LogField{"operation", item.request.Operation},
		LogField{"code", reply.Code.Name()},
		LogField{"version", fmt.Sprint(reply.Version)})
}

// readSent advances the attempt when a read of the head is sent.
func (c *changeState) readSent() {
	c.move(phaseResolve, phaseResolving)
	c.move(phaseConfirm, phaseConfirming)
}

// readFailed makes the attempt wait for another read after one that failed or
// returned an outdated head.
func (c *changeState) readFailed() {
	c.move(phaseResolving, phaseResolve)
	c.move(phaseConfirming, phaseConfirm)
}

func (c *changeState) move(from, to phase) {
	if c.attempt != nil && c.attempt.phase == from {
		c.attempt.phase = to
	}
}

// headConfirmed handles a read that was sent after the attempt requested it and
// found the head unchanged at the attempt's base. If the head had changed,
// headAdvanced would have ended the attempt before.
func (r *Reader) headConfirmed() {
	current := r.changes.attempt
	if current == nil {
		return
	}
	switch current.phase {
	case phaseConfirming:
		r.changes.attempt = nil
		for i, item := range current.items {
			r.answerAll(item, current.replies[i])
		}
	case phaseResolving:
		r.resend(current)
	}
}

// resend schedules the update again after its reply was lost and the head was
// found unchanged. Both copies expect the same object version, so at most one
// of them is applied. If no reply was lost, the read contradicts the conflict
// that the platform reported, and another read is scheduled.
func (r *Reader) resend(current *attempt) {
	if current.lost {
		current.phase = phaseWrite
		return
	}
	current.phase = phaseResolve
	r.changes.retry.fail(r.now, r.random)
}
