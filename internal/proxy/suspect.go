package proxy

import (
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// maxEndsPerCall is the number of instances that may end under the attempts of one call
// before it is refused. A call that merely ran alongside a harmful request usually
// succeeds in its second attempt; a third attempt would mostly let a harmful request end a third
// back end.
const maxEndsPerCall = 2

const (
	// maxIsolationWait limits how long a back end gets no new calls while a call waits to
	// run alone. The wait is also limited to 1/isolationWaitDivisor of the call's remaining
	// time.
	maxIsolationWait     = 500 * time.Millisecond
	isolationWaitDivisor = 2
)

// awaitSuspectTurn waits until a suspected call may run: the gate runs one suspected call at a
// time. If the back end then ends, only one suspected call can have caused this, and the other
// suspected calls have not ended further back ends in the meantime. A call whose request is held is
// refused.
func (c *gateCall) awaitSuspectTurn() (Refusal, bool) {
	state, refusal := c.quarantineState()
	if state == quarantine.Suspected {
		select {
		case c.proxy.suspectTurn <- struct{}{}:
			c.holdsSuspectTurn = true
		case <-c.context.Done():
			return Refusal{Code: c.cancellationCode()}, false
		}
		state, refusal = c.quarantineState() // the previous suspected call may have changed it
	}
	return refusal, state != quarantine.Held
}

// isolate makes a call that has a slot run alone if one more end may cause its request to be
// held: no other request can then have caused that end, and no other call is broken by it.
// It refuses a call whose request has been held since awaitSuspectTurn, and a call that must
// run alone but can't because other calls keep the back end busy.
func (c *gateCall) isolate() (Refusal, bool) {
	view := c.proxy.harmfulRequests.view.Load()
	if view.Empty() || !view.HasHead(c.headHash()) {
		c.trial = 1
		return Refusal{}, true
	}
	signature, known := c.signature()
	if !known {
		return Refusal{}, true
	}
	state, refusal := c.proxy.quarantineState(view, signature)
	if state == quarantine.Held {
		return refusal, false
	}
	c.trial = view.LastTrial(signature) + 1
	isolation := view.Isolation(c.proxy.config.Clock(), signature)
	if isolation == quarantine.AlongsideTrusted || c.awaitAlone() {
		return Refusal{}, true
	}
	if isolation == quarantine.AloneRequired {
		return Refusal{Code: result.QueueFull, RetryAfter: maxIsolationWait}, false
	}
	c.proxy.gate.EndIsolation(c.proxy.config.Clock(), c.ticket)
	return Refusal{}, true
}

// awaitAlone prevents other calls from starting and waits until those that run have ended.
// It returns false if this takes too long or another call is isolated already.
func (c *gateCall) awaitAlone() bool {
	alone := c.proxy.gate.Isolate(c.ticket)
	if alone == nil {
		return false
	}
	remaining := c.deadline - c.proxy.config.Clock()
	timer := time.NewTimer(min(maxIsolationWait, remaining/isolationWaitDivisor))
	defer timer.Stop()
	select {
	case <-alone:
		c.proxy.counters.isolatedCalls.Add(1)
		c.runsAlone = true
		return true
	case <-timer.C:
	case <-c.context.Done():
	}
	return false
}

// endIsolation lets other calls start. It is called once a call that ran alone has an answer
// or will get none; the back end may still be running it if it hangs.
func (c *gateCall) endIsolation() {
	if c.runsAlone {
		c.proxy.gate.EndIsolation(c.proxy.config.Clock(), c.ticket)
	}
}

// releaseSuspectTurn lets the next suspected call run.
func (c *gateCall) releaseSuspectTurn() {
	if c.holdsSuspectTurn {
		<-c.proxy.suspectTurn
	}
}

// quarantineState returns the quarantine state of the call's request, and the refusal if it
// is held. A call is at least suspected if its sender states that an instance has ended
// under an earlier attempt, since the record of that end may not have arrived here yet.
func (c *gateCall) quarantineState() (quarantine.State, Refusal) {
	minState := quarantine.Trusted
	if c.request.Header.Get(headerEnded) != "" {
		minState = quarantine.Suspected
	}
	view := c.proxy.harmfulRequests.view.Load()
	if view.Empty() || !view.HasHead(c.headHash()) {
		return minState, Refusal{}
	}
	c.body.awaitSignatureBytes(c.context)
	signature, known := c.signature()
	if !known {
		return minState, Refusal{}
	}
	state, refusal := c.proxy.quarantineState(view, signature)
	return max(minState, state), refusal
}

func (p *Proxy) quarantineState(view *quarantine.View, signature quarantine.Signature) (quarantine.State, Refusal) {
	state, holdRemaining := view.State(p.config.Clock(), signature)
	return state, Refusal{Code: result.Quarantined, RetryAfter: holdRemaining}
}

// recordSuccess records that the back end has answered the call, unless the status is a
// server error: such a run may have ended before the request could do harm.
func (c *gateCall) recordSuccess(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if signature, known := c.signature(); known {
		c.proxy.harmfulRequests.recordAnswered(signature)
	}
}

// suspicion holds what the callers' side knows about whether a call is harmful.
type suspicion struct {
	// signature is valid if signed is set.
	signature quarantine.Signature
	signed    bool
	// instanceEnds counts the instances that have ended under the call's attempts.
	instanceEnds int
}

// quarantineState returns the quarantine state of the call's request, and the refusal if it
// is held. It counts the ends under the call's own attempts at once, since their records
// may not have arrived here yet.
func (c *callerCall) quarantineState() (quarantine.State, Refusal) {
	if c.suspicion.instanceEnds >= maxEndsPerCall {
		return quarantine.Held, Refusal{Code: result.Quarantined}
	}
	state, refusal := c.sharedQuarantineState()
	if state == quarantine.Trusted && c.suspicion.instanceEnds > 0 {
		state = quarantine.Suspected
	}
	return state, refusal
}

// sharedQuarantineState returns the quarantine state of the call's request by the records
// that daemons share. The body is not read unless there is a record with the same head.
func (c *callerCall) sharedQuarantineState() (quarantine.State, Refusal) {
	view := c.proxy.harmfulRequests.view.Load()
	if view.Empty() {
		return quarantine.Trusted, Refusal{}
	}
	if !c.suspicion.signed && !view.HasHead(c.headHash()) {
		return quarantine.Trusted, Refusal{}
	}
	if !c.ensureSignature() {
		return quarantine.Trusted, Refusal{}
	}
	return c.proxy.quarantineState(view, c.suspicion.signature)
}

// headHash returns the hash of the call's head, equal to the one that its gate computes.
func (c *callerCall) headHash() quarantine.Hash {
	url := c.proxy.targetURL("", c.request, c.hostPath.path)
	target := url.Opaque
	if target == "" {
		target = url.RequestURI()
	}
	caller := ""
	if edge := c.proxy.config.Edge; edge != nil {
		caller = edge.Service
	}
	return hashRequestHead(c.request, target, caller)
}

// ensureSignature computes the signature of the call unless it is known already. It waits
// for the first bytes of the body and returns false if they can't be read.
func (c *callerCall) ensureSignature() bool {
	if c.suspicion.signed {
		return true
	}
	c.body.awaitSignatureBytes(c.context)
	body, known := c.body.signatureHash()
	c.suspicion.signature = quarantine.Signature{Head: c.headHash(), Body: body}
	c.suspicion.signed = known
	return known
}

// recordInstanceEnd records a gate's report that an instance has ended and that the call is
// suspected of having caused this. The name of the instance is empty if none has ended.
func (c *callerCall) recordInstanceEnd(instance string) {
	if instance != "" && c.ensureSignature() {
		c.suspicion.instanceEnds++
	}
}
