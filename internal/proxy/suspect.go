package proxy

import (
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// endsOfCall is how many instances may end under the attempts of one call before it is given
// up: what ran beside a harmful request is saved by its second attempt, and a third one
// would mostly save what ends a third back end.
const maxEndsPerCall = 2

const (
	// isolationWait bounds how long a back end takes no other calls before one that is to run
	// alone, and isolationPart is the part of the call's time that it may wait so.
	maxIsolationWait     = 500 * time.Millisecond
	isolationWaitDivisor = 2
)

// awaitTurn keeps a call that is suspected to end its back end apart from others that are:
// one runs at a time, so that the next end is of that one alone, and the others do not end
// further back ends before that is known. A call that is held is refused.
func (c *gateCall) awaitSuspectTurn() (Refusal, bool) {
	belief, refusal := c.quarantineState()
	if belief == quarantine.Suspected {
		select {
		case c.proxy.suspectTurn <- struct{}{}:
			c.holdsSuspectTurn = true
		case <-c.context.Done():
			return Refusal{Code: c.cancellationCode()}, false
		}
		belief, refusal = c.quarantineState() // the one before may have settled it
	}
	return refusal, belief != quarantine.Held
}

// isolate has a call that holds a slot run alone where one end more may hold its request, so
// that the end is of no other request and costs no other call. It refuses a call that was found
// harmful while it waited, and one that may run alone only where others keep the back end busy.
func (c *gateCall) isolate() (Refusal, bool) {
	view := c.proxy.harmful.view.Load()
	if view.Empty() || !view.HasHead(c.headHash()) {
		c.trial = 1
		return Refusal{}, true
	}
	signature, signed := c.signature()
	if !signed {
		return Refusal{}, true
	}
	belief, refusal := c.proxy.quarantineState(view, signature)
	if belief == quarantine.Held {
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

// awaitAlone keeps other calls from starting and waits until those that run have ended; false
// when they take too long.
func (c *gateCall) awaitAlone() bool {
	alone := c.proxy.gate.Isolate(c.ticket)
	if alone == nil {
		return false
	}
	left := c.deadline - c.proxy.config.Clock()
	patience := time.NewTimer(min(maxIsolationWait, left/isolationWaitDivisor))
	defer patience.Stop()
	select {
	case <-alone:
		c.proxy.counters.isolatedCalls.Add(1)
		c.runsAlone = true
		return true
	case <-patience.C:
	case <-c.context.Done():
	}
	return false
}

// endIsolation lets other calls start once a call that ran alone has its answer or none comes any
// more. The back end may still be at work on it, for as long as it hangs.
func (c *gateCall) endIsolation() {
	if c.runsAlone {
		c.proxy.gate.EndIsolation(c.proxy.config.Clock(), c.ticket)
	}
}

// endTurn lets the next suspected call run.
func (c *gateCall) releaseSuspectTurn() {
	if c.holdsSuspectTurn {
		<-c.proxy.suspectTurn
	}
}

// belief is what to believe of the call, and the refusal if it is held. A call under whose
// earlier attempt an instance has ended is suspected before the news of that has come.
func (c *gateCall) quarantineState() (quarantine.State, Refusal) {
	least := quarantine.Trusted
	if c.request.Header.Get(headerEnded) != "" {
		least = quarantine.Suspected
	}
	view := c.proxy.harmful.view.Load()
	if view.Empty() || !view.HasHead(c.headHash()) {
		return least, Refusal{}
	}
	c.body.awaitSignatureBytes(c.context)
	signature, signed := c.signature()
	if !signed {
		return least, Refusal{}
	}
	belief, refusal := c.proxy.quarantineState(view, signature)
	return max(least, belief), refusal
}

func (p *Proxy) quarantineState(view *quarantine.View, signature quarantine.Signature) (quarantine.State, Refusal) {
	belief, held := view.State(p.config.Clock(), signature)
	return belief, Refusal{Code: result.Quarantined, RetryAfter: held}
}

// noteAnswered notes that the back end has answered the call well. An answer of failure
// clears no request: its run may have ended before it did harm.
func (c *gateCall) recordSuccess(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if signature, signed := c.signature(); signed {
		c.proxy.harmful.recordAnswered(signature)
	}
}

// suspicion is what the callers' side knows of a call that may be harmful.
type suspicion struct {
	// signature is known once signed is set.
	signature quarantine.Signature
	signed    bool
	// ends counts the instances that have ended under the call's attempts.
	instanceEnds int
}

// belief is what to believe of the call, and the refusal if it is held. What its own attempts
// have met counts before the news of that has come.
func (c *callerCall) quarantineState() (quarantine.State, Refusal) {
	if c.suspicion.instanceEnds >= maxEndsPerCall {
		return quarantine.Held, Refusal{Code: result.Quarantined}
	}
	belief, refusal := c.sharedQuarantineState()
	if belief == quarantine.Trusted && c.suspicion.instanceEnds > 0 {
		belief = quarantine.Suspected
	}
	return belief, refusal
}

// beliefOfAll is what the daemon believes of the call's request. Its body is looked at only
// where something is known of its head.
func (c *callerCall) sharedQuarantineState() (quarantine.State, Refusal) {
	view := c.proxy.harmful.view.Load()
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

// head is that of the call as its gate sees it.
func (c *callerCall) headHash() quarantine.Hash {
	sent := c.proxy.targetURL("", c.request, c.hostPath.path)
	target := sent.Opaque
	if target == "" {
		target = sent.RequestURI()
	}
	caller := ""
	if edge := c.proxy.config.Edge; edge != nil {
		caller = edge.Service
	}
	return hashRequestHead(c.request, target, caller)
}

// sign makes the signature of the call, for which the first bytes of its body must come.
func (c *callerCall) ensureSignature() bool {
	if c.suspicion.signed {
		return true
	}
	c.body.awaitSignatureBytes(c.context)
	body, signed := c.body.signatureHash()
	c.suspicion.signature = quarantine.Signature{Head: c.headHash(), Body: body}
	c.suspicion.signed = signed
	return signed
}

// noteEnded takes a gate's word that an instance has ended and that the call is suspected
// of it.
func (c *callerCall) recordInstanceEnd(instance string) {
	if instance != "" && c.ensureSignature() {
		c.suspicion.instanceEnds++
	}
}
