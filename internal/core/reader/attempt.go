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
	// phaseContents: the contents that the new head refers to are being written.
	phaseContents phase = iota + 1
	// phaseWrite: the head update is ready to be sent.
	phaseWrite
	// phaseWriting: the head update was sent and has no reply yet.
	phaseWriting
	// phaseResolve: the outcome of the update is unknown; a read of the head has
	// to be sent to find out whether the update was applied.
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
// object version of the head differs from baseVersion, so that an update still
// in flight can only fail. Until then its changes are neither put into another
// update nor reported as not accepted.
type attempt struct {
	number      uint64
	submissions []*submission
	// baseVersion is the object version that the update expects; 0 creates the
	// head.
	baseVersion object.Version
	// headData is the encoded new head; retries send the same bytes.
	headData []byte
	// replies are the answers to submissions by index, used if all are refusals.
	replies []*protocol.SubmitReply
	phase   phase
	// unwrittenContents are the contents that must be written before the head;
	// writesInFlight marks those of them with a write in flight.
	unwrittenContents map[resource.Digest][]byte
	writesInFlight    map[resource.Digest]bool
	// files are the parsed contents that the new head refers to.
	files ledger.Contents
	// replyLost is set once the update was sent and got no conclusive reply.
	replyLost bool
}

// mayBeApplied reports whether the update may still be applied by the platform,
// or may have been applied without this reader having seen it.
func (a *attempt) mayBeApplied() bool { return a.replyLost || a.phase == phaseWriting }

// advanceAttempt runs the next step of the attempt, or starts an attempt. It
// returns true after it started an attempt or completed queued input that needs
// no attempt; the caller then calls it again, to run the next step.
func (r *Reader) advanceAttempt() bool {
	if r.changes.attempt == nil {
		return r.startAttempt()
	}
	if !r.changes.retry.isDue(r.now) {
		return false
	}
	switch current := r.changes.attempt; current.phase {
	case phaseContents:
		r.writeContents(current)
	case phaseWrite:
		r.writeHead(current)
	case phaseResolve, phaseConfirm:
		r.head.readRequested = true
	}
	return false
}

// startAttempt creates the next attempt if changes are queued and the head and
// all contents that it refers to are loaded.
func (r *Reader) startAttempt() bool {
	idle := len(r.changes.queue) == 0 && len(r.changes.keeperSets) == 0
	if idle || !r.isHeadUsable() || len(ledger.MissingContents(r.head.head, r.contents.files)) > 0 {
		return false
	}
	r.changes.lastAttemptNumber++
	next := &attempt{number: r.changes.lastAttemptNumber, baseVersion: r.head.version}
	if len(r.changes.keeperSets) > 0 {
		return r.startKeeperAttempt(next)
	}
	if r.answerIfRecorded() {
		return true
	}
	r.fillFromQueue(next)
	r.changes.attempt = next
	return true
}

// startKeeperAttempt creates an attempt that changes only keeper sets.
func (r *Reader) startKeeperAttempt(next *attempt) bool {
	sets := slices.DeleteFunc(slices.Clone(r.changes.keeperSets), func(set protocol.KeeperSet) bool {
		current, _ := r.head.head.KeeperSet(set.Region)
		return current.Revision != set.Revision
	})
	r.changes.keeperSets = nil
	head := ledger.SetKeepers(r.head.head, sets, r.changes.keeperSetsAt, r.lease.record.Term)
	if head == r.head.head {
		return true
	}
	next.headData = ledger.Encode(head)
	next.phase = phaseWrite
	r.changes.attempt = next
	return true
}

// answerIfRecorded answers the first change in the queue if its operation id is
// already in the head. No further read is needed, as a recorded operation
// keeps its answer in every later head.
func (r *Reader) answerIfRecorded() bool {
	first := r.changes.queue[0]
	reply := ledger.FindOperation(r.head.head, first.request)
	if reply == nil {
		return false
	}
	r.changes.queue = r.changes.queue[1:]
	r.answerAll(first, reply)
	return true
}

// fillFromQueue moves changes from the front of the queue into the attempt:
// either only changes that alter the head, each as a version of its own, or
// only refusals.
//
// A change joins a batch only if it would also alter the current head by
// itself. Otherwise another reader that received a resend of it could refuse
// it against the same head as not run, while this update is still in flight
// and is then applied.
func (r *Reader) fillFromQueue(next *attempt) {
	head, files := r.head.head, r.contents.files
	maxSubmissions := maxBatch
	if r.changes.unbatched {
		maxSubmissions = 1
	}
	for len(r.changes.queue) > 0 && len(next.submissions) < maxSubmissions {
		item := r.changes.queue[0]
		appliedAlone, _, reply := ledger.Apply(r.head.head, r.contents.files, item.change)
		if appliedAlone == r.head.head {
			if len(next.submissions) == 0 || next.phase == phaseConfirm {
				next.phase = phaseConfirm
				r.takeFromQueue(next, reply)
				continue
			}
			break
		}
		if next.phase == phaseConfirm {
			break
		}
		nextHead, nextFiles, reply := ledger.Apply(head, files, item.change)
		if nextHead == head {
			break
		}
		head, files = nextHead, nextFiles
		next.phase = phaseContents
		r.takeFromQueue(next, reply)
	}
	if next.phase != phaseContents {
		return
	}
	next.headData = ledger.Encode(head)
	next.files = files
	next.collectUnwrittenContents(r.contents.files)
}

// takeFromQueue moves the first change of the queue into the attempt, with its
// reply.
func (r *Reader) takeFromQueue(next *attempt, reply *protocol.SubmitReply) {
	next.submissions = append(next.submissions, r.changes.queue[0])
	next.replies = append(next.replies, reply)
	r.changes.queue = r.changes.queue[1:]
}

// collectUnwrittenContents lists the contents that the platform may not have yet.
// Those in present are referred to by the current head and so were written before.
func (a *attempt) collectUnwrittenContents(present ledger.Contents) {
	a.unwrittenContents = map[resource.Digest][]byte{}
	a.writesInFlight = map[resource.Digest]bool{}
	for _, item := range a.submissions {
		digest := item.change.Digest
		if digest != "" && present[digest] == nil {
			a.unwrittenContents[digest] = item.change.Text
		}
	}
}

// handleNewerHead ends the attempt after a newer head was adopted from a read, a
// watch event or a write. The update expected an older object version: either
// its operation ids are in the new head, or it can no longer be applied.
func (r *Reader) handleNewerHead() {
	current := r.changes.attempt
	if current == nil || current.baseVersion == r.head.version {
		return
	}
	r.changes.unbatched = false
	r.changes.retry.reset()
	current.submissions = slices.DeleteFunc(current.submissions, func(item *submission) bool {
		reply := ledger.FindOperation(r.head.head, item.request)
		if reply == nil {
			return false
		}
		r.answerFromHead(item, reply)
		return true
	})
	r.requeue(current)
}

// answerFromHead answers a change whose operation is in the head. Its content
// is on the platform, because a reader writes contents before the head.
func (r *Reader) answerFromHead(item *submission, reply *protocol.SubmitReply) {
	if item.change.File != nil && reply.Code != result.OperationReused {
		r.cacheContents(ledger.Contents{item.change.Digest: item.change.File})
	}
	r.answerAll(item, reply)
	r.logEvent("change_settled",
		LogField{"operation", item.request.Operation},
		LogField{"code", reply.Code.Name()},
		LogField{"version", fmt.Sprint(reply.Version)})
}

// markReadSent advances the attempt when a read of the head is sent.
func (c *changeState) markReadSent() {
	c.changePhase(phaseResolve, phaseResolving)
	c.changePhase(phaseConfirm, phaseConfirming)
}

// markReadFailed makes the attempt wait for another read after one that failed
// or returned an outdated head.
func (c *changeState) markReadFailed() {
	c.changePhase(phaseResolving, phaseResolve)
	c.changePhase(phaseConfirming, phaseConfirm)
}

func (c *changeState) changePhase(from, to phase) {
	if c.attempt != nil && c.attempt.phase == from {
		c.attempt.phase = to
	}
}

// handleUnchangedHead handles a read that was sent after the attempt requested
// it and found the head unchanged at the attempt's baseVersion. If the head had
// changed, handleNewerHead would have ended the attempt before.
func (r *Reader) handleUnchangedHead() {
	current := r.changes.attempt
	if current == nil {
		return
	}
	switch current.phase {
	case phaseConfirming:
		r.changes.attempt = nil
		for i, item := range current.submissions {
			r.answerAll(item, current.replies[i])
		}
	case phaseResolving:
		r.retryUpdate(current)
	}
}

// retryUpdate schedules the update again after its reply was lost and the head
// was found unchanged. All copies of the update expect the same object version,
// so at most one of them is applied. If no reply was lost, the read
// contradicts the conflict that the platform reported, and another read is
// scheduled.
func (r *Reader) retryUpdate(current *attempt) {
	if current.replyLost {
		current.phase = phaseWrite
		return
	}
	current.phase = phaseResolve
	r.changes.retry.recordFailure(r.now, r.random)
}
