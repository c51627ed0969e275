package proxy

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
)

// errHedged is how an attempt ends for its call whose gate fell silent and that
// another attempt follows while it may still be answered.
const errHedged = errors.ConstError("the gate is silent, and the call is sent elsewhere")

// hedgedExchange stands for the exchange of an attempt whose own goes on without it.
func newPlaceholderExchange() *exchange { return &exchange{err: errHedged, cancel: func() {}} }

// pendingExchange is an exchange that runs on a goroutine of its own.
type pendingExchange struct {
	// done is closed when the exchange has ended.
	done chan struct{}

	mutex    sync.Mutex
	exchange *exchange
	dropped  bool
}

// startExchange starts an exchange and reads its answer as far as that may be held, so that whoever
// waits for done never waits for an answer that stops midway.
func startExchange(send func() *exchange, collectBytes int) *pendingExchange {
	made := &pendingExchange{done: make(chan struct{})}
	go func() {
		sent := send()
		sent.collect(collectBytes)
		made.finish(sent)
		close(made.done)
	}()
	return made
}

// finish keeps what came of the exchange, unless nobody wants it any more.
func (e *pendingExchange) finish(made *exchange) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dropped {
		made.close()
		return
	}
	e.exchange = made
}

// take returns the exchange, whose owner is then the caller; done must be closed.
func (e *pendingExchange) take() *exchange {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.exchange
}

// drop closes the exchange, at its end if it still runs.
func (e *pendingExchange) drop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dropped = true
	if e.exchange != nil {
		e.exchange.close()
	}
}

// hedged is an attempt that another one has followed since its gate fell silent, or told that
// the back end seems never to answer it.
//
// Either is only suspected: both may be slow, and the back end at work. So the
// attempt is not broken off; like any other it ends by its answer, its connection, its
// caller, the call's time or the drain's hard bound. Nothing here asks whether this
// daemon drains: a process learns of a stop later than it is sent, up to some tenths of
// a second where its processor share is spent, and a call broken off by then is cut by
// the stop all the same. A call has one at most.
type hedgedAttempt struct {
	chosen *endpoint.Endpoint
	sentAt time.Duration
	// set is that of the endpoint when it was chosen.
	set     *endpoint.Set
	pending *pendingExchange
}

// answered is closed when the hedged attempt has ended; nil, which never is, without one.
func (c *callerCall) hedgedDone() <-chan struct{} {
	if c.hedgedAttempt == nil {
		return nil
	}
	return c.hedgedAttempt.pending.done
}

// takeHedged returns the hedged attempt, which has ended, if its back end has answered it,
// and else nil. The call then has no hedged attempt any more, and no doubt about one that
// is proved not to have run.
func (c *callerCall) takeHedgedAnswer() *attempt {
	earlier := c.hedgedAttempt
	c.hedgedAttempt = nil
	received := earlier.pending.take()
	if received.answer == nil && !received.unsent {
		received.close()
		return nil
	}
	late := &attempt{endpoint: earlier.chosen, sentAt: earlier.sentAt, exchange: received}
	late.endpoint.Begin()
	c.classifyAttempt(late, earlier.set)
	if late.outcome.Kind == retry.Answered {
		return late
	}
	c.retries.ResolveUncertainAttempt(late.outcome)
	late.end(c.proxy) // refused, not sent, or its answer broke off
	return nil
}

// awaitHedged waits for the hedged attempt before a call is refused, and returns its
// answer, or nil when it ended without one or the call ended before.
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
	case <-c.hedgedDone(): // at the same moment: what is ready is delivered
		return c.takeHedgedAnswer()
	default:
		return nil
	}
}

// keep keeps a back end's answer of failure, to be delivered if nothing better comes. An
// answer that was not read whole is not kept: it would hold its connection.
func (c *callerCall) keepFailureAnswer(failed *attempt) {
	if c.failureAnswer == nil && failed.outcome.Kind == retry.Answered && failed.exchange.complete {
		c.failureAnswer = failed
	}
}

// betterAnswer returns the answer of the hedged attempt in place of one by which a back
// end failed the call, if there is one.
func (c *callerCall) preferHedgedAnswer(failed *attempt) *attempt {
	late := c.awaitHedgedAnswer()
	if late == nil {
		return failed
	}
	failed.end(c.proxy)
	return late
}

// lastAnswer returns what a call can be answered with before it is refused: what the
// hedged attempt is answered with or, failing that, a back end's failure; nil for
// neither.
func (c *callerCall) fallbackAnswer() *attempt {
	if late := c.awaitHedgedAnswer(); late != nil {
		return late
	}
	return c.failureAnswer
}

// runsAt tells whether the hedged attempt is at an endpoint.
func (c *callerCall) isHedgedAt(chosen *endpoint.Endpoint) bool {
	return c.hedgedAttempt != nil && chosen != nil && c.hedgedAttempt.chosen.Address == chosen.Address
}

// dropHedged gives up what is still under way when a call has ended.
func (c *callerCall) abandonHedged() {
	if c.hedgedAttempt == nil {
		return
	}
	dropped := c.hedgedAttempt
	c.hedgedAttempt = nil
	dropped.pending.drop()
	reason, ended := c.endReason()
	switch {
	case ended:
	case c.answerStarted:
		reason = AbandonedForOtherAnswer
	default:
		reason = AbandonedForCallRefusal
	}
	c.recordAbandoned(&attempt{endpoint: dropped.chosen, sentAt: dropped.sentAt}, reason)
}
