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

// attempt is one sending of a call to one endpoint.
type attempt struct {
	endpoint        *endpoint.Endpoint
	exchange        *exchange
	outcome         retry.Outcome
	endpointOutcome endpoint.Outcome
	ended           bool
	// sentAt is when it was sent, on the clock.
	sentAt time.Duration
	// suspected says that the call may end the back end that runs it.
	suspected bool
	// cancel frees the context of the attempt; nil for none.
	cancel context.CancelFunc
}

// end closes the exchange and gives the endpoint its evidence, once.
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

// withdraw ends an attempt whose exchange has another owner; it says nothing of its
// endpoint.
func (a *attempt) endAsCancelled(p *Proxy) {
	a.exchange = newPlaceholderExchange()
	a.endpointOutcome = endpoint.Cancelled
	a.end(p)
}

// attempt sends the call to the endpoint chosen now.
func (c *callerCall) makeAttempt(mark bool) *attempt {
	p := c.proxy
	now := p.config.Clock()
	belief, outcome, barred := c.checkBlocked(now)
	if barred {
		return c.unsentAttempt(outcome)
	}
	current := p.view.Load()
	shared := current.services[c.service]
	if shared == nil {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	c.applyRegions(current)
	among := shared.poolFor(c.regions)
	chosen := c.chooseEndpoint(among, belief, now)
	if chosen == nil {
		return c.unsentAttempt(c.noEndpointOutcome(among.set, now))
	}
	if c.isHedgedAt(chosen) {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	path := current.upstreams[chosen.Address]
	if path == nil {
		return c.unsentAttempt(retry.Outcome{Kind: retry.NoEndpoint})
	}
	p.counters.attempts.Add(1)
	chosen.Begin()
	made := &attempt{endpoint: chosen, sentAt: now, suspected: belief == quarantine.Suspected}
	c.triedEndpoints = append(c.triedEndpoints, chosen)
	ended := c.sendAttempt(made, path, among.set, mark, now)
	if ended == made {
		c.classifyAttempt(made, among.set)
	}
	return ended
}

// barred tells whether the call may not be sent at all now, and the outcome of its attempt
// then; else what is believed of its request.
func (c *callerCall) checkBlocked(now time.Duration) (quarantine.State, retry.Outcome, bool) {
	if !c.proxy.mayServe() {
		// The lease has run out since the call came. What was sent before stands;
		// nothing more is sent.
		return 0, retry.Outcome{Kind: retry.Refused, Code: result.NotServing, Ran: result.RanNo}, true
	}
	if now >= c.deadline || c.context.Err() != nil {
		return 0, retry.Outcome{Kind: retry.NotSent}, true
	}
	belief, held := c.quarantineState()
	if belief == quarantine.Held {
		return belief, retry.Outcome{Kind: retry.Refused, Code: held.Code, Ran: result.RanNo, RetryAfter: held.RetryAfter}, true
	}
	return belief, retry.Outcome{}, false
}

// send sends an attempt and waits for the head of its answer. The attempt is hedged, which
// ends it here, when its gate's daemon is found to be unreachable or its gate tells that it
// hangs, and another one is paid for. An answer of an attempt that was hedged before is taken
// when it comes first; if it is one of failure, this attempt goes on. It returns the attempt
// that has ended, which is judged already unless it is made.
func (c *callerCall) sendAttempt(made *attempt, path *upstream, set *endpoint.Set, mark bool, now time.Duration) *attempt {
	relay := &interimRelay{writer: c.writer}
	defer c.proxy.watchSilence(path, made.endpoint, silenceLimit(c.route.Resource.Target))()
	ctx, cancel := context.WithCancel(c.context)
	made.cancel = cancel
	outgoing := c.newGateRequest(made.endpoint, mark, c.deadline-now)
	silent := c.hedgeTrigger(made, path, set)
	if silent != nil {
		outgoing.Header[headerMayHedge] = trueHeaderValue
		relay.onHang = func() { path.silence.hedge(made) }
	}
	defer path.silence.removeHedgeable(made)
	if silent == nil && c.hedgedAttempt == nil {
		made.exchange = path.send(ctx, outgoing, relay, nil)
		c.recordIfAnswered(made, path)
		return made
	}
	send := func() *exchange { return path.send(ctx, outgoing, relay, nil) }
	under := startExchange(send, c.proxy.limits.CollectBytes)
	for {
		select {
		case <-under.done:
			made.exchange = under.take()
			c.recordIfAnswered(made, path)
			return made
		case <-silent:
			relay.stop()
			c.detachAsHedged(made, set, under)
			return made
		case <-c.hedgedDone():
			late := c.takeDeliverableAnswer()
			if late == nil {
				continue
			}
			relay.stop()
			under.drop()
			c.recordAbandoned(made, AbandonedForOtherAnswer)
			made.endAsCancelled(c.proxy)
			return late
		}
	}
}

// hedge ends an attempt here while its exchange runs on, at most until the call's context ends.
func (c *callerCall) detachAsHedged(made *attempt, set *endpoint.Set, under *pendingExchange) {
	c.hedgedAttempt = &hedgedAttempt{chosen: made.endpoint, sentAt: made.sentAt, set: set, pending: under}
	made.cancel = nil
	made.exchange = newPlaceholderExchange()
}

// takeAnswered returns the hedged attempt, which has ended, if its answer is to be delivered,
// and else nil. An answer of failure is kept in case no better one comes.
func (c *callerCall) takeDeliverableAnswer() *attempt {
	late := c.takeHedgedAnswer()
	if late == nil || !late.outcome.Failed {
		return late
	}
	late.end(c.proxy)
	c.keepFailureAnswer(late)
	return nil
}

// noteHeard notes that a gate has answered an attempt, if it has.
func (c *callerCall) recordIfAnswered(made *attempt, path *upstream) {
	if made.exchange.answer != nil {
		c.proxy.recordGateAnswer(path)
	}
}

// holdSilent returns what is closed when the daemon of the attempt's gate is unreachable, or
// the gate tells that the attempt hangs, and another attempt is paid for. It returns nil for a
// call that waits for its gate: one that may not be repeated, may end its back ends, or has a
// hedged attempt already.
func (c *callerCall) hedgeTrigger(made *attempt, path *upstream, set *endpoint.Set) <-chan struct{} {
	if !c.policy.Repeatable || made.suspected || c.proxy.config.OnSilent == nil || c.hedgedAttempt != nil {
		return nil
	}
	silent := make(chan struct{})
	var once sync.Once
	replayable := c.body.isReplayable()
	path.silence.addHedgeable(made, func() {
		now := c.proxy.config.Clock()
		lost := retry.Outcome{Kind: retry.Broken, Replayable: replayable, Others: set.HasUntried(now, c.triedEndpoints)}
		if c.retries.ReserveRetry(now, lost) {
			once.Do(func() { close(silent) })
		}
	})
	return silent
}

// without is an attempt that went to no endpoint.
func (c *callerCall) unsentAttempt(outcome retry.Outcome) *attempt {
	return &attempt{outcome: outcome}
}
