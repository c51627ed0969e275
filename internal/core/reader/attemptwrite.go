package reader

import (
	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// writeContents creates the missing content objects, and sends the head update
// once none is missing. A content object that already exists counts as written,
// as its name is the digest of its data.
func (r *Reader) writeContents(current *attempt) {
	if len(current.unwrittenContents) == 0 {
		r.writeHead(current)
		return
	}
	for _, item := range current.submissions {
		digest := item.change.Digest
		if current.unwrittenContents[digest] == nil || current.writesInFlight[digest] || len(current.writesInFlight) >= maxConcurrentContents {
			continue
		}
		current.writesInFlight[digest] = true
		r.call(pendingCall{purpose: purposeContentWrite, digest: digest, attemptNumber: current.number},
			object.Call{Kind: object.CallCreate, Name: ledger.ContentObject(digest), Data: current.unwrittenContents[digest]})
	}
}

func (r *Reader) handleContentWrite(call pendingCall, reply object.Reply) {
	current := r.changes.attempt
	if current == nil || current.number != call.attemptNumber {
		return
	}
	delete(current.writesInFlight, call.digest)
	switch reply.Code {
	case result.OK, result.PlatformExists:
		r.changes.retry.reset()
		delete(current.unwrittenContents, call.digest)
	case result.PlatformTooLarge:
		r.handleTooLarge(current, result.FileTooLarge)
	default:
		r.changes.retry.recordFailure(r.now, r.random)
	}
}

// writeHead sends the head update of the attempt.
func (r *Reader) writeHead(current *attempt) {
	current.phase = phaseWriting
	write := object.Call{Kind: object.CallUpdate, Name: ledger.HeadObject, Expect: current.baseVersion, Data: current.headData}
	if current.baseVersion == 0 {
		write.Kind = object.CallCreate
	}
	r.call(pendingCall{purpose: purposeHeadWrite, attemptNumber: current.number}, write)
}

// handleHeadWrite handles the reply to a head update. Only OK or a newer head
// ends the attempt; see attempt.
func (r *Reader) handleHeadWrite(call pendingCall, reply object.Reply) {
	current := r.changes.attempt
	if current == nil || current.number != call.attemptNumber {
		return
	}
	switch reply.Code {
	case result.OK:
		r.changes.retry.reset()
		r.adoptHead(object.Object{Name: ledger.HeadObject, Version: reply.Object.Version, Data: current.headData})
	case result.PlatformUnavailable, result.PlatformTooManyReaders:
		r.changes.retry.recordFailure(r.now, r.random)
		current.phase = phaseWrite
		if current.replyLost {
			current.phase = phaseResolve
		}
	case result.PlatformTooLarge:
		r.handleTooLarge(current, result.HeadTooLarge)
	case result.PlatformConflict, result.PlatformExists, result.PlatformNotFound:
		current.phase = phaseResolve
	default:
		current.replyLost = true
		current.phase = phaseResolve
		r.changes.retry.recordFailure(r.now, r.random)
	}
}

// handleTooLarge ends an attempt whose content or head exceeds the platform's
// size limit. The changes of a batch are queued again, to be tried one by one; a
// single change is refused; keeper sets are dropped.
func (r *Reader) handleTooLarge(current *attempt, code result.Code) {
	if len(current.submissions) != 1 {
		r.changes.unbatched = true
		current.replyLost = false
		r.requeue(current)
		return
	}
	r.changes.attempt = nil
	r.answerAll(current.submissions[0], newRefusal(code, "the platform refuses an object of this size"))
}
