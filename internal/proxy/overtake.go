package proxy

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/endpoint"
)

// errOvertaken is how an attempt ends for its call whose gate fell silent and that
// another attempt follows while it may still be answered.
const errOvertaken = errors.ConstError("the gate is silent, and the call is sent elsewhere")

// flight is an exchange that runs on a goroutine of its own.
type flight struct {
	// done is closed when the exchange has ended.
	done chan struct{}

	mutex    sync.Mutex
	exchange *exchange
	dropped  bool
}

// fly starts an exchange.
func fly(send func() *exchange) *flight {
	made := &flight{done: make(chan struct{})}
	go func() {
		made.land(send())
		close(made.done)
	}()
	return made
}

// land keeps what came of the exchange, unless nobody wants it any more.
func (f *flight) land(made *exchange) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.dropped {
		made.close()
		return
	}
	f.exchange = made
}

// take returns the exchange, whose owner is then the caller; done must be closed.
func (f *flight) take() *exchange {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.exchange
}

// drop closes the exchange, at its end if it still runs.
func (f *flight) drop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.dropped = true
	if f.exchange != nil {
		f.exchange.close()
	}
}

// overtaken is an attempt that another one has followed since its gate fell silent. It
// is not broken off: the gate may only have been slow, and its answer is then as good
// as any. A call has one at most.
type overtaken struct {
	chosen *endpoint.Endpoint
	sentAt time.Duration
	flight *flight
}

// answered is closed when the overtaken attempt has ended; nil, which never is, without one.
func (c *callerCall) answered() <-chan struct{} {
	if c.overtaken == nil {
		return nil
	}
	return c.overtaken.flight.done
}

// resume makes an attempt that of the overtaken one, if that was answered by its back
// end. Otherwise the call has no overtaken attempt any more. What the attempt has done
// so far is withdrawn.
func (c *callerCall) resume(made *attempt) bool {
	earlier := c.overtaken
	c.overtaken = nil
	received := earlier.flight.take()
	if received.answer == nil || received.answer.Header.Get(headerCode) != "" {
		received.close()
		return false
	}
	if made.chosen != nil {
		made.chosen.End(c.proxy.config.Clock(), endpoint.Withdrawn)
	}
	made.chosen = earlier.chosen
	made.chosen.Begin()
	made.exchange = received
	return true
}

// awaitOvertaken waits for an overtaken attempt before a call is refused, and returns its
// answer, or nil. It waits as long as its daemon is reachable again, so that the answer
// is to be expected, or while this daemon drains, when nothing is broken off that runs.
func (c *callerCall) awaitOvertaken() *attempt {
	if c.overtaken == nil {
		return nil
	}
	expected := !c.overtaken.chosen.Ejected(c.proxy.config.Clock()) || c.proxy.drain.started.Load()
	if !expected {
		return nil
	}
	select {
	case <-c.answered():
	case <-c.context.Done():
		return nil
	}
	late := &attempt{}
	if !c.resume(late) {
		return nil
	}
	if shared := c.proxy.view.Load().services[c.service]; shared != nil {
		c.judge(late, shared.set)
	}
	return late
}

// betterAnswer returns the answer of an overtaken attempt in place of one by which a back
// end failed the call, if there is one.
func (c *callerCall) betterAnswer(failed *attempt) *attempt {
	late := c.awaitOvertaken()
	if late == nil {
		return failed
	}
	failed.end(c.proxy)
	return late
}

// dropOvertaken gives up what is still under way when a call has ended.
func (c *callerCall) dropOvertaken() {
	if c.overtaken == nil {
		return
	}
	dropped := c.overtaken
	c.overtaken = nil
	dropped.flight.drop()
	reason, ended := c.endReason()
	switch {
	case ended:
	case c.answering:
		reason = AbandonedForAnswer
	default:
		reason = AbandonedForRefusal
	}
	c.noteAbandoned(&attempt{chosen: dropped.chosen, sentAt: dropped.sentAt}, reason)
}
