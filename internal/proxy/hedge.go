package proxy

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
)

// errHedged is the error of the placeholder exchange of an attempt that became a hedged attempt:
// another attempt is made while the hedged one may still be answered.
const errHedged = errors.ConstError("the gate is silent, and the call is sent elsewhere")

// newPlaceholderExchange returns the exchange of an attempt that has passed its real exchange on,
// to a hedged attempt or another owner.
func newPlaceholderExchange() *exchange { return &exchange{err: errHedged, cancel: func() {}} }

// pendingExchange is an exchange that runs in its own goroutine.
type pendingExchange struct {
	// done is closed when the exchange has ended.
	done chan struct{}

	mutex    sync.Mutex
	exchange *exchange
	dropped  bool
}

// startExchange starts an exchange in a goroutine and buffers its answer up to collectBytes, so
// that a reader of done never waits for an answer that stalls midway.
func startExchange(send func() *exchange, collectBytes int) *pendingExchange {
	pending := &pendingExchange{done: make(chan struct{})}
	go func() {
		ended := send()
		ended.collect(collectBytes)
		pending.finish(ended)
		close(pending.done)
	}()
	return pending
}

// finish stores the ended exchange, or closes it if it was dropped.
func (e *pendingExchange) finish(ended *exchange) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dropped {
		ended.close()
		return
	}
	e.exchange = ended
}

// take returns the ended exchange, which the caller then owns; done must be closed.
func (e *pendingExchange) take() *exchange {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.exchange
}

// drop closes the exchange. If the exchange still runs, finish closes it at its end.
func (e *pendingExchange) drop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dropped = true
	if e.exchange != nil {
		e.exchange.close()
	}
}

// hedgedAttempt is an attempt that was followed by another one because its gate fell silent or
// reported that the back end seems never to answer it.
//
// In both cases the gate or the back end may only be slow, so the attempt is not cancelled. Like any
// other attempt it ends by its answer, its connection, its caller, the call's deadline or the
// drain's deadline. Cancelling it unless this daemon drains would not be safe: a process that has
// used up its processor share receives its stop signal up to some tenths of a second late, and an
// attempt cancelled in that time is lost. A call has at most one hedged attempt.
type hedgedAttempt struct {
	chosen *endpoint.Endpoint
	sentAt time.Duration
	// set is the endpoint set that the endpoint was chosen from.
	set             *endpoint.Set
	pendingExchange *pendingExchange
}

// hedgedDone returns a channel that is closed when the hedged attempt has ended, or nil if there is
// none.
func (c *callerCall) hedgedDone() <-chan struct{} {
	if c.hedgedAttempt == nil {
		return nil
	}
	return c.hedgedAttempt.pendingExchange.done
}

// takeHedgedAnswer removes the hedged attempt, which must have ended, from the call. It returns the
// attempt if its back end has answered it, and else nil. If the attempt is proved not to have run,
// it no longer counts as an attempt that may have run.
func (c *callerCall) takeHedgedAnswer() *attempt {
	hedged := c.hedgedAttempt
	c.hedgedAttempt = nil
	ended := hedged.pendingExchange.take()
	if ended.answer == nil && !ended.unsent {
		ended.close()
		return nil
	}
	hedgedAnswer := &attempt{endpoint: hedged.chosen, sentAt: hedged.sentAt, exchange: ended}
	hedgedAnswer.endpoint.Begin()
	c.classifyAttempt(hedgedAnswer, hedged.set)
	if hedgedAnswer.outcome.Kind == retry.Answered {
		return hedgedAnswer
	}
	c.retries.ResolveUncertainAttempt(hedgedAnswer.outcome)
	hedgedAnswer.end(c.proxy) // It was refused or not sent, or its answer broke off.
	return nil
}

// awaitHedgedAnswer waits for the hedged attempt before a call is refused. It returns the attempt's
// answer, or nil if the attempt ended without one or the call ended first.
func (c *callerCall) awaitHedgedAnswer() *attempt {
	if c.hedgedAttempt == nil {
		return nil
	}
	select {
	case <-c.hedgedDone():
		return c.takeHedgedAnswer()
	case <-c.context.Done():
	}
	select {
	case <-c.hedgedDone(): // Both ended at the same moment: an answer that is ready is delivered.
		return c.takeHedgedAnswer()
	default:
		return nil
	}
}

// keepFailureAnswer keeps a back end's error answer, to be delivered if no better one arrives. An
// answer that was not read completely is not kept, because it would occupy its connection.
func (c *callerCall) keepFailureAnswer(failed *attempt) {
	if c.failureAnswer == nil && failed.outcome.Kind == retry.Answered && failed.exchange.complete {
		c.failureAnswer = failed
	}
}

// preferHedgedAnswer returns the answer of the hedged attempt, if there is one, in place of a back
// end's error answer.
func (c *callerCall) preferHedgedAnswer(failed *attempt) *attempt {
	hedgedAnswer := c.awaitHedgedAnswer()
	if hedgedAnswer == nil {
		return failed
	}
	failed.end(c.proxy)
	return hedgedAnswer
}

// fallbackAnswer returns the answer that a call gets instead of a refusal: that of the hedged
// attempt or else a back end's error answer; nil if there is neither.
func (c *callerCall) fallbackAnswer() *attempt {
	if hedgedAnswer := c.awaitHedgedAnswer(); hedgedAnswer != nil {
		return hedgedAnswer
	}
	return c.failureAnswer
}

// isHedgedAt reports whether the hedged attempt was sent to the endpoint.
func (c *callerCall) isHedgedAt(chosen *endpoint.Endpoint) bool {
	return c.hedgedAttempt != nil && chosen != nil && c.hedgedAttempt.chosen.Address == chosen.Address
}

// abandonHedged drops the hedged attempt of a call that has ended, if it is still under way.
func (c *callerCall) abandonHedged() {
	if c.hedgedAttempt == nil {
		return
	}
	abandoned := c.hedgedAttempt
	c.hedgedAttempt = nil
	abandoned.pendingExchange.drop()
	reason, ended := c.endReason()
	switch {
	case ended:
	case c.answerStarted:
		reason = AbandonedForOtherAnswer
	default:
		reason = AbandonedForCallRefusal
	}
	c.recordAbandoned(&attempt{endpoint: abandoned.chosen, sentAt: abandoned.sentAt}, reason)
}
