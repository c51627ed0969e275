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

// change is an operator's change. Its operation id makes it idempotent, so an
// attempt that received no answer is repeated under the same id.
type change struct {
	token Token
	// request is nil once the operator has been answered.
	request  *protocol.SubmitRequest
	deadline time.Duration
	// outcomeUnknown is set once an attempt may have taken effect without a
	// conclusive answer.
	outcomeUnknown bool
	// lastRefusal is the reply of the last attempt that was refused.
	lastRefusal *protocol.SubmitReply
	inFlight    bool
	// retryAt is the earliest time of the next attempt.
	retryAt  time.Duration
	attempts int
}

// The time limits of a change. Only the answer of a reader shows that a change
// certainly did not run, and a reader answers within its SubmitTimeout of 10 seconds.
// An attempt therefore waits longer than that, and the operators' API longer still.
const (
	changeTimeout    = 10 * time.Second
	attemptTimeout   = 12 * time.Second
	changeRetryDelay = 300 * time.Millisecond
)

func newOperators() operators { return operators{} }

func (n *Node) handleOperatorRequest(request OperatorRequest) {
	n.setWallClock(request.WallClock)
	switch body := request.Body.(type) {
	case *protocol.SubmitRequest:
		n.handleOperatorSubmit(request.Token, body, request.WallClock)
	case *protocol.StatusRequest:
		n.handleOperatorStatus(request.Token, body)
	}
}

func (n *Node) handleOperatorSubmit(token Token, request *protocol.SubmitRequest, wallClock time.Time) {
	request.Format = protocol.Format
	request.SentAt = wallClock
	submitted := &change{token: token, request: request, deadline: n.now + changeTimeout}
	n.operators.changes = append(n.operators.changes, submitted)
	n.attemptChange(submitted)
}

// tickOperators retries pending changes and ends those past their deadline.
func (n *Node) tickOperators() {
	for _, pending := range n.operators.changes {
		switch {
		case pending.inFlight || pending.request == nil:
		case n.now >= pending.deadline:
			n.abandonChange(pending)
		case n.now >= pending.retryAt:
			n.attemptChange(pending)
		}
	}
	n.operators.changes = lo.Reject(n.operators.changes, func(pending *change, _ int) bool { return pending.request == nil })
}

// attemptChange submits a change to this daemon's own reader, if it holds a reader
// lease, or else to the next known reader.
func (n *Node) attemptChange(pending *change) {
	if n.readerSide.reader.IsReader() {
		pending.inFlight = true
		n.submit(pending.request.SentAt, pending.request, func(reply *protocol.SubmitReply) { n.handleChangeReply(pending, reply) })
		return
	}
	readers := n.roster.Where(func(member protocol.Member) bool {
		return member.Reader && membership.Live(member) && member.ID != n.self.ID
	})
	if len(readers) == 0 {
		pending.retryAt = n.now + changeRetryDelay
		return
	}
	readers = n.nearestFirst(readers)
	target := readers[pending.attempts%len(readers)]
	pending.attempts++
	pending.inFlight = true
	n.callPeer(target.ControlAddress, pending.request, attemptTimeout, func(body any) {
		reply, _ := body.(*protocol.SubmitReply)
		n.handleChangeReply(pending, reply)
	})
}

// nearestFirst returns the readers with those of this daemon's region first.
func (n *Node) nearestFirst(readers []protocol.Member) []protocol.Member {
	near, others := lo.FilterReject(readers, func(member protocol.Member, _ int) bool { return member.Region == n.config.Region })
	return append(near, others...)
}

// handleChangeReply handles the answer to one attempt; nil when none arrived.
//
// Invariant: an operator is answered "did not run" only when no attempt can have
// taken effect. After a lost answer, a refusal proves nothing about the lost
// attempt, except where the file itself is invalid; the change is then sent again
// under the same operation id until a reader determines the outcome.
func (n *Node) handleChangeReply(pending *change, reply *protocol.SubmitReply) {
	pending.inFlight = false
	pending.retryAt = n.now + changeRetryDelay
	switch {
	case pending.request == nil:
	case reply == nil:
		pending.outcomeUnknown = true
	case reply.Code == result.OutcomeUnknown:
		pending.outcomeUnknown = true
	case reply.Code == result.NoReader || reply.Code == result.NotAccepted || reply.Code == result.UnknownFormat:
		pending.lastRefusal = reply
	case pending.outcomeUnknown && !isConclusive(reply.Code):
		pending.lastRefusal = reply
		n.abandonChange(pending)
	default:
		n.finishChange(pending, reply)
	}
}

// isConclusive reports whether an answer is final even if an earlier attempt may
// have taken effect: the change is accepted or held, or its file is invalid and can
// never be accepted.
func isConclusive(code result.Code) bool {
	return code == result.OK || code == result.Held || (code >= result.FileSyntax && code < result.RevisionMismatch)
}

// abandonChange answers an operator whose change has no conclusive answer in time.
func (n *Node) abandonChange(pending *change) {
	reply := &protocol.SubmitReply{Code: result.NoReader}
	switch {
	case pending.outcomeUnknown:
		reply.Code = result.OutcomeUnknown
	case pending.lastRefusal != nil:
		reply = pending.lastRefusal
	}
	n.finishChange(pending, reply)
}

func (n *Node) finishChange(pending *change, reply *protocol.SubmitReply) {
	n.emit(OperatorAnswer{Token: pending.token, Body: reply})
	pending.request = nil
}

// handlePeerSubmit submits a change that another daemon forwards.
func (n *Node) handlePeerSubmit(token Token, request *protocol.SubmitRequest) {
	if !isKnownFormat(request.Format) {
		n.answerPeer(token, &protocol.SubmitReply{Code: result.UnknownFormat})
		return
	}
	if !n.readerSide.reader.IsReader() {
		n.answerPeer(token, &protocol.SubmitReply{Code: result.NoReader})
		return
	}
	n.setWallClock(request.SentAt)
	n.submit(request.SentAt, request, func(reply *protocol.SubmitReply) { n.answerPeer(token, reply) })
}
