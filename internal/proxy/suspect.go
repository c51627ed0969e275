package proxy

import (
	"net/http"
	"strings"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// endedLimit bounds the instances that an attempt may name as ended under its call: a call
// has as many attempts at most.
const endedLimit = 8

// awaitTurn keeps a call that is suspected to end its back end apart from others that are:
// one runs at a time, so that the next end is of that one alone, and the others do not end
// further back ends before that is known. A call that is held is refused.
func (c *gateCall) awaitTurn() (Refusal, bool) {
	c.learnEnded()
	belief, refusal := c.belief()
	if belief == quarantine.Suspected {
		select {
		case c.proxy.suspectTurn <- struct{}{}:
			c.hasTurn = true
		case <-c.context.Done():
			return Refusal{Code: c.endCode()}, false
		}
		belief, refusal = c.belief() // the one before may have settled it
	}
	return refusal, belief != quarantine.Held
}

// endTurn lets the next suspected call run.
func (c *gateCall) endTurn() {
	if c.hasTurn {
		<-c.proxy.suspectTurn
	}
}

// learnEnded takes the word of the callers' side on which instances have ended under the
// call: its attempts may come faster than the news of their ends.
func (c *gateCall) learnEnded() {
	text := c.request.Header.Get(headerEnded)
	if text == "" {
		return
	}
	c.body.awaitSigned(c.context)
	signature, signed := c.signature()
	if !signed {
		return
	}
	for _, instance := range strings.SplitN(text, ",", endedLimit) {
		c.proxy.harmful.noteEnded(signature, instance, false)
	}
}

// belief is what to believe of the call, and the refusal if it is held.
func (c *gateCall) belief() (quarantine.Belief, Refusal) {
	view := c.proxy.harmful.view.Load()
	if view.Empty() || !view.HasHead(c.head()) {
		return quarantine.Trusted, Refusal{}
	}
	c.body.awaitSigned(c.context)
	signature, signed := c.signature()
	if !signed {
		return quarantine.Trusted, Refusal{}
	}
	return c.proxy.beliefOf(view, signature)
}

func (p *Proxy) beliefOf(view *quarantine.View, signature quarantine.Signature) (quarantine.Belief, Refusal) {
	belief, held := view.Belief(p.config.Clock(), signature)
	return belief, Refusal{Code: result.Quarantined, RetryAfter: held}
}

// noteAnswered notes that the back end has answered the call well. An answer of failure
// clears no request: its run may have ended before it did harm.
func (c *gateCall) noteAnswered(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if signature, signed := c.signature(); signed {
		c.proxy.harmful.noteAnswered(signature)
	}
}

// suspicion is what the callers' side knows of a call that may be harmful.
type suspicion struct {
	// signature is known once signed is set.
	signature quarantine.Signature
	signed    bool
	// ended are the instances that have ended under the call, divided by commas.
	ended string
}

// belief is what to believe of the call, and the refusal if it is held. Its body is looked
// at only where something is known of its head.
func (c *callerCall) belief() (quarantine.Belief, Refusal) {
	view := c.proxy.harmful.view.Load()
	if view.Empty() {
		return quarantine.Trusted, Refusal{}
	}
	if !c.suspicion.signed && !view.HasHead(c.head()) {
		return quarantine.Trusted, Refusal{}
	}
	if !c.sign() {
		return quarantine.Trusted, Refusal{}
	}
	return c.proxy.beliefOf(view, c.suspicion.signature)
}

// head is that of the call as its gate sees it.
func (c *callerCall) head() quarantine.Hash {
	sent := c.proxy.target("", c.request, c.place.path)
	target := sent.Opaque
	if target == "" {
		target = sent.RequestURI()
	}
	caller := ""
	if edge := c.proxy.config.Edge; edge != nil {
		caller = edge.Service
	}
	return headOf(c.request, target, caller)
}

// sign makes the signature of the call, for which the first bytes of its body must come.
func (c *callerCall) sign() bool {
	if c.suspicion.signed {
		return true
	}
	c.body.awaitSigned(c.context)
	body, signed := c.body.signed()
	c.suspicion.signature = quarantine.Signature{Head: c.head(), Body: body}
	c.suspicion.signed = signed
	return signed
}

// noteEnded takes a gate's word that an instance has ended and that the call is suspected
// of it.
func (c *callerCall) noteEnded(instance string) {
	if instance == "" || !c.sign() {
		return
	}
	if c.suspicion.ended != "" {
		c.suspicion.ended += ","
	}
	c.suspicion.ended += instance
	c.proxy.harmful.noteEnded(c.suspicion.signature, instance, false)
}
