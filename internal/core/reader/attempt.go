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

// phase is how far an attempt is.
type phase int

const (
	// phaseContents: the contents that the new head names are being written.
	phaseContents phase = iota + 1
	// phaseWrite: the head update is due to be sent.
	phaseWrite
	// phaseWriting: the head update was sent and not answered.
	phaseWriting
	// phaseResolve: a read of the head, sent from now on, has to tell whether
	// the update has landed.
	phaseResolve
	// phaseResolving: that read is under way.
	phaseResolving
	// phaseConfirm: nothing is to be written; a read, sent from now on, has to
	// show that the refusals were decided on the newest head.
	phaseConfirm
	// phaseConfirming: that read is under way.
	phaseConfirming
)

// attempt is one head update on its way, or one round of refusals.
//
// What must hold: an attempt ends only when its update has landed, or when the
// head has another object version than base, so that the update, wherever it
// still is, can't land any more. Until then its changes are neither tried in
// another update nor called not accepted.
type attempt struct {
	number uint64
	items  []*submission
	// base is the object version that the update expects; 0 creates the head.
	base object.Version
	// data is the new head, encoded once: each sending is identical.
	data []byte
	// replies answer the items when nothing is to be written.
	replies []*protocol.SubmitReply
	phase   phase
	// unwritten are the contents to be written before the head; writing are
	// those under way.
	unwritten map[resource.Digest][]byte
	writing   map[resource.Digest]bool
	// files are the parsed contents that the new head names.
	files ledger.Contents
	// lost is set once a sending of the update got no conclusive answer.
	lost bool
}

// mayLand reports whether the update may take effect from now on, or already
// has without this reader knowing.
func (a *attempt) mayLand() bool { return a.lost || a.phase == phaseWriting }

// advanceAttempt does what is due and reports whether to go on.
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

// startAttempt forms the next attempt if there is anything to do and the head
// with all its contents is at hand.
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

// startKeepers forms an attempt that changes keeper sets only.
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

// answerKnown answers the first change in the queue if the head already has
// its operation id. That needs no further read: what the head has, it has.
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

// fill takes a run of changes from the queue: either changes that all alter
// the head, each counted as a version of its own, or refusals.
//
// A change joins a batch only if it would alter the head by itself as well.
// Otherwise another reader that got a resend of it could refuse it on the same
// head, "did not run", while this update is still on its way and then lands.
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

// take moves the first change of the queue into the attempt.
func (r *Reader) take(next *attempt, reply *protocol.SubmitReply) {
	next.items = append(next.items, r.changes.queue[0])
	next.replies = append(next.replies, reply)
	r.changes.queue = r.changes.queue[1:]
}

// collectContents lists what the platform may not have yet: contents that the
// current head names are there.
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

// headAdvanced settles the attempt when a newer head is known, however it
// became known. The update expected an older object version: either its
// operation ids are in the head, or it can't land any more.
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

// settle answers a change that the head has. Its content is on the platform,
// since whoever wrote the head wrote that before.
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

// readSent notes that a read of the head leaves now.
func (c *changeState) readSent() {
	c.move(phaseResolve, phaseResolving)
	c.move(phaseConfirm, phaseConfirming)
}

// readFailed notes that the read under way proved nothing.
func (c *changeState) readFailed() {
	c.move(phaseResolving, phaseResolve)
	c.move(phaseConfirming, phaseConfirm)
}

func (c *changeState) move(from, to phase) {
	if c.attempt != nil && c.attempt.phase == from {
		c.attempt.phase = to
	}
}

// headConfirmed takes a read that was sent after the attempt asked for it and
// showed the head still at the attempt's base; otherwise headAdvanced has
// ended the attempt.
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

// resend sends an update again whose answer was lost and that has not landed
// so far. Both sendings expect the same object version: only one can win.
func (r *Reader) resend(current *attempt) {
	if current.lost {
		current.phase = phaseWrite
		return
	}
	current.phase = phaseResolve
	r.changes.retry.fail(r.now, r.random)
}
