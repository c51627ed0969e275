package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// attempt is one sending of a call to an endpoint, with its outcome.
type attempt struct {
	endpoint        *endpoint.Endpoint
	exchange        *exchange
	outcome         retry.Outcome
	endpointOutcome endpoint.Outcome
	ended           bool
	// sentAt is the time of sending, on the proxy's clock.
	sentAt time.Duration
	// suspected is set if the call's request was suspected of ending back ends.
	suspected bool
	// cancel cancels the attempt's context; nil if the attempt has none of its own.
	cancel context.CancelFunc
}

// end closes the exchange and records endpointOutcome at the endpoint. Further calls do
// nothing.
func (a *attempt) end(p *Proxy) {
	if a.ended || a.endpoint == nil {
		return
	}
	a.ended = true
	a.exchange.close()
	if a.cancel != nil {
		a.cancel()
	}
	a.endpoint.End(p.config.Clock(), a.endpointOutcome)
}

// endAsCancelled ends an attempt whose exchange has another owner. The endpoint's statistics
// don't count it as a success or failure.
func (a *attempt) endAsCancelled(p *Proxy) {
	a.exchange = newPlaceholderExchange()
	a.endpointOutcome = endpoint.Cancelled
	a.end(p)
}

// makeAttempt chooses an endpoint and sends the call there, with the no-retry mark if mark is set.
// The returned attempt has its outcome; it is the hedged attempt if that was answered first.
func (c *callerCall) makeAttempt(mark bool) *attempt {
	p := c.proxy
	now := p.config.Clock()
	state, outcome, blocked := c.checkBlocked(now)
	if blocked {
		return c.unsentAttempt(outcome)
	}
	current := p.view.Load()
	calledService := current.services[c.service]
	if calledService == nil {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	c.applyRegions(current)
	candidates := calledService.poolFor(c.regions)
	chosen := c.chooseEndpoint(candidates, state, now)
	if chosen == nil {
		return c.unsentAttempt(c.noEndpointOutcome(candidates.set, now))
	}
	if c.isHedgedAt(chosen) {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	gateUpstream := current.upstreams[chosen.Address]
	if gateUpstream == nil {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	p.counters.attempts.Add(1)
	chosen.Begin()
	thisAttempt := &attempt{endpoint: chosen, sentAt: now, suspected: state == quarantine.Suspected}
	c.triedEndpoints = append(c.triedEndpoints, chosen)
	ended := c.sendAttempt(thisAttempt, gateUpstream, candidates.set, mark, now)
	if ended == thisAttempt {
		c.classifyAttempt(thisAttempt, candidates.set)
	}
	return ended
}

// checkBlocked reports whether the call must not be sent at all now, with the outcome of the
// attempt in that case. Otherwise it returns the quarantine state of the call's request.
func (c *callerCall) checkBlocked(now time.Duration) (quarantine.State, retry.Outcome, bool) {
	if !c.proxy.mayServe() {
		// The serving lease has expired since the call arrived. Attempts already sent
		// continue, but no further one is sent.
		return 0, retry.Outcome{Kind: retry.Refused, Code: result.NotServing, Ran: result.RanNo}, true
	}
	if now >= c.deadline || c.context.Err() != nil {
		return 0, retry.Outcome{Kind: retry.NotSent}, true
	}
	state, refusal := c.quarantineState()
	if state == quarantine.Held {
		return state, retry.Outcome{Kind: retry.Refused, Code: refusal.Code, Ran: result.RanNo, RetryAfter: refusal.RetryAfter}, true
	}
	return state, retry.Outcome{}, false
}

// sendAttempt sends the call and waits for the head of the answer. If the gate's daemon is
// unreachable, or the gate reports that the call hangs, and another attempt is charged to the
// retry budget, then the attempt ends here and its exchange continues as the call's hedged
// attempt. If an earlier hedged attempt is answered first, its answer is returned instead and
// this attempt is dropped; if that answer is a server error, this attempt continues. The
// returned attempt has ended; it is already classified unless it is thisAttempt.
func (c *callerCall) sendAttempt(thisAttempt *attempt, gateUpstream *upstream, candidates *endpoint.Set, mark bool, now time.Duration) *attempt {
	relay := &interimRelay{writer: c.writer}
	defer c.proxy.watchSilence(gateUpstream, thisAttempt.endpoint, silenceLimit(c.route.Resource.Target))()
	ctx, cancel := context.WithCancel(c.context)
	thisAttempt.cancel = cancel
	outgoing := c.newGateRequest(thisAttempt.endpoint, mark, c.deadline-now)
	trigger := c.hedgeTrigger(thisAttempt, gateUpstream, candidates)
	if trigger != nil {
		outgoing.Header[headerMayHedge] = trueHeaderValue
		relay.onHang = func() { gateUpstream.silence.hedge(thisAttempt) }
	}
	defer gateUpstream.silence.removeHedgeable(thisAttempt)
	if trigger == nil && c.hedgedAttempt == nil {
		thisAttempt.exchange = gateUpstream.send(ctx, outgoing, relay, nil)
		c.recordIfAnswered(thisAttempt, gateUpstream)
		return thisAttempt
	}
	sendRequest := func() *exchange { return gateUpstream.send(ctx, outgoing, relay, nil) }
	pending := startExchange(sendRequest, c.proxy.limits.CollectBytes)
	for {
		select {
		case <-pending.done:
			thisAttempt.exchange = pending.take()
			c.recordIfAnswered(thisAttempt, gateUpstream)
			return thisAttempt
		case <-trigger:
			relay.stop()
			c.detachAsHedged(thisAttempt, candidates, pending)
			return thisAttempt
		case <-c.hedgedDone():
			hedged := c.takeDeliverableAnswer()
			if hedged == nil {
				continue
			}
			relay.stop()
			pending.drop()
			c.recordAbandoned(thisAttempt, AbandonedForOtherAnswer)
			thisAttempt.endAsCancelled(c.proxy)
			return hedged
		}
	}
}

// detachAsHedged makes an attempt the call's hedged attempt: its exchange continues in the
// background, at most until the call's context ends.
func (c *callerCall) detachAsHedged(thisAttempt *attempt, candidates *endpoint.Set, pending *pendingExchange) {
	c.hedgedAttempt = &hedgedAttempt{chosen: thisAttempt.endpoint, sentAt: thisAttempt.sentAt, set: candidates, pendingExchange: pending}
	thisAttempt.cancel = nil
	thisAttempt.exchange = newPlaceholderExchange()
}

// takeDeliverableAnswer returns the hedged attempt, which must have ended, if its answer is to
// be delivered, else nil. A server error is kept for the case that no better answer arrives.
func (c *callerCall) takeDeliverableAnswer() *attempt {
	hedged := c.takeHedgedAnswer()
	if hedged == nil || !hedged.outcome.Failed {
		return hedged
	}
	hedged.end(c.proxy)
	c.keepFailureAnswer(hedged)
	return nil
}

// recordIfAnswered records that the gate has just answered, if it answered the attempt.
func (c *callerCall) recordIfAnswered(thisAttempt *attempt, gateUpstream *upstream) {
	if thisAttempt.exchange.answer != nil {
		c.proxy.recordGateAnswer(gateUpstream)
	}
}

// hedgeTrigger returns a channel that is closed when the attempt is to be hedged: the daemon of
// its gate is unreachable, or the gate reports that the attempt hangs, and another attempt has
// been charged to the retry budget. It returns nil if the attempt must not be hedged: the call
// is not repeatable, is suspected of ending back ends, or has a hedged attempt already, or silent
// gates are not detected (Config.OnSilent is nil).
func (c *callerCall) hedgeTrigger(thisAttempt *attempt, gateUpstream *upstream, candidates *endpoint.Set) <-chan struct{} {
	if !c.policy.Repeatable || thisAttempt.suspected || c.proxy.config.OnSilent == nil || c.hedgedAttempt != nil {
		return nil
	}
	trigger := make(chan struct{})
	var once sync.Once
	replayable := c.body.isReplayable()
	gateUpstream.silence.addHedgeable(thisAttempt, func() {
		now := c.proxy.config.Clock()
		expectedOutcome := retry.Outcome{Kind: retry.Broken, Replayable: replayable, Others: candidates.HasUntried(now, c.triedEndpoints)}
		if c.retries.ReserveRetry(now, expectedOutcome) {
			once.Do(func() { close(trigger) })
		}
	})
	return trigger
}

// unsentAttempt returns an attempt that was sent to no endpoint.
func (c *callerCall) unsentAttempt(outcome retry.Outcome) *attempt {
	return &attempt{outcome: outcome}
}
