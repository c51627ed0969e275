package node

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// operators holds the operators' changes that no reader has answered yet.
type operators struct {
	changes []*change
}

// change is an operator's change. Its operation id makes it idempotent, so a lost
// answer is followed by another attempt under the same id.
type change struct {
	token    Token
	request  *protocol.SubmitRequest
	deadline time.Duration
	// outcomeUnknown is set once an attempt may have taken effect without a
	// conclusive answer.
	unknown bool
	// lastRefusal is the reply of the last attempt that was refused.
	last *protocol.SubmitReply
	busy bool
	// retryAt is the earliest time of the next attempt.
	retryAt time.Duration
	tried   int
}

// The time limits of a change. A reader reports within its SubmitTimeout, 10
// seconds, that a change certainly did not run. An attempt waits longer than that,
// so that this answer arrives in time, and the operators' API waits longer still.
const (
	changeTimeout  = 10 * time.Second
	attemptTimeout = 12 * time.Second
	changeRetry    = 300 * time.Millisecond
)

func newOperators() operators { return operators{} }

func (n *Node) handleOperatorRequest(request OperatorRequest) {
	n.heardWallClock(request.WallClock)
	switch body := request.Body.(type) {
	case *protocol.SubmitRequest:
		n.operatorSubmit(request.Token, body, request.WallClock)
	case *protocol.StatusRequest:
		n.operatorStatus(request.Token, body)
	}
}

func (n *Node) operatorSubmit(token Token, request *protocol.SubmitRequest, wallClock time.Time) {
	request.Format = protocol.Format
	request.SentAt = wallClock
	one := &change{token: token, request: request, deadline: n.now + changeTimeout}
	n.operators.changes = append(n.operators.changes, one)
	n.attemptChange(one)
}

// tickOperators retries pending changes and ends those past their deadline.
func (n *Node) tickOperators() {
	for _, one := range n.operators.changes {
		switch {
		case one.busy || one.request == nil:
		case n.now >= one.deadline:
			n.giveUp(one)
		case n.now >= one.retryAt:
			n.attemptChange(one)
		}
	}
	n.operators.changes = lo.Reject(n.operators.changes, func(one *change, _ int) bool { return one.request == nil })
}

// attemptChange submits a change to this daemon's own reader, if it holds the
// lease, or else to the next known reader.
func (n *Node) attemptChange(one *change) {
	if n.readerSide.reader.IsReader() {
		one.busy = true
		n.submit(one.request.SentAt, one.request, func(reply *protocol.SubmitReply) { n.changeAnswered(one, reply) })
		return
	}
	readers := n.roster.Where(func(member protocol.Member) bool {
		return member.Reader && membership.Live(member) && member.ID != n.self.ID
	})
	if len(readers) == 0 {
		one.retryAt = n.now + changeRetry
		return
	}
	readers = n.nearestFirst(readers)
	target := readers[one.tried%len(readers)]
	one.tried++
	one.busy = true
	n.call(target.ControlAddress, one.request, attemptTimeout, func(body any) {
		reply, _ := body.(*protocol.SubmitReply)
		n.changeAnswered(one, reply)
	})
}

// nearestFirst returns the readers with those of this daemon's region first.
func (n *Node) nearestFirst(readers []protocol.Member) []protocol.Member {
	near, far := lo.FilterReject(readers, func(member protocol.Member, _ int) bool { return member.Region == n.config.Region })
	return append(near, far...)
}

// handleChangeReply handles the answer to one attempt; nil when none arrived.
//
// Invariant: an operator is answered "did not run" only when no attempt can have
// taken effect. After a lost answer, a refusal proves nothing about the lost
// attempt, except where the file itself is invalid; the change is then sent again
// under the same operation id until a reader determines the outcome.
func (n *Node) changeAnswered(one *change, reply *protocol.SubmitReply) {
	one.busy = false
	one.retryAt = n.now + changeRetry
	switch {
	case one.request == nil:
	case reply == nil:
		one.unknown = true
	case reply.Code == result.OutcomeUnknown:
		one.unknown = true
	case reply.Code == result.NoReader || reply.Code == result.NotAccepted || reply.Code == result.UnknownFormat:
		one.last = reply
	case one.unknown && !definite(reply.Code):
		one.last = reply
		n.giveUp(one)
	default:
		n.finishChange(one, reply)
	}
}

// isConclusive reports whether an answer is final even if an earlier attempt may
// have taken effect: the change is accepted or held, or its file is invalid and can
// never be accepted.
func definite(code result.Code) bool {
	return code == result.OK || code == result.Held || (code >= result.FileSyntax && code < result.RevisionMismatch)
}

// abandonChange answers an operator whose change has no conclusive answer in time.
func (n *Node) giveUp(one *change) {
	reply := &protocol.SubmitReply{Code: result.NoReader}
	switch {
	case one.unknown:
		reply.Code = result.OutcomeUnknown
	case one.last != nil:
		reply = one.last
	}
	n.finishChange(one, reply)
}

func (n *Node) finishChange(one *change, reply *protocol.SubmitReply) {
	n.emit(OperatorAnswer{Token: one.token, Body: reply})
	one.request = nil
}

// handlePeerSubmit submits a change that another daemon forwards.
func (n *Node) handlePeerSubmit(token Token, request *protocol.SubmitRequest) {
	if !knownFormat(request.Format) {
		n.answer(token, &protocol.SubmitReply{Code: result.UnknownFormat})
		return
	}
	if !n.readerSide.reader.IsReader() {
		n.answer(token, &protocol.SubmitReply{Code: result.NoReader})
		return
	}
	n.heardWallClock(request.SentAt)
	n.submit(request.SentAt, request, func(reply *protocol.SubmitReply) { n.answer(token, reply) })
}
