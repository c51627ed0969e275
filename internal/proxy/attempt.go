package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// refusalBytes bounds what is read of a refusal so that its connection can be
// used again.
const refusalBytes = 4 << 10

// attempt is one sending of a call to one endpoint.
type attempt struct {
	chosen   *endpoint.Endpoint
	exchange *exchange
	outcome  retry.Outcome
	evidence endpoint.Outcome
	ended    bool
	// sentAt is when it was sent, on the clock.
	sentAt time.Duration
	// suspected says that the call may end the back end that runs it.
	suspected bool
	// cancel frees the context of the attempt; nil for none.
	cancel context.CancelFunc
}

// end closes the exchange and gives the endpoint its evidence, once.
func (a *attempt) end(p *Proxy) {
	if a.ended || a.chosen == nil {
		return
	}
	a.ended = true
	a.exchange.close()
	if a.cancel != nil {
		a.cancel()
	}
	a.chosen.End(p.config.Clock(), a.evidence)
}

// withdraw ends an attempt whose exchange has another owner; it says nothing of its
// endpoint.
func (a *attempt) withdraw(p *Proxy) {
	a.exchange = hedgedExchange()
	a.evidence = endpoint.Withdrawn
	a.end(p)
}

// attempt sends the call to the endpoint chosen now.
func (c *callerCall) attempt(mark bool) *attempt {
	p := c.proxy
	now := p.config.Clock()
	if !p.mayServe() {
		// The lease has run out since the call came. What was sent before stands;
		// nothing more is sent.
		return c.without(retry.Outcome{Kind: retry.Refused, Code: result.NotServing, Ran: result.RanNo})
	}
	if now >= c.deadline || c.context.Err() != nil {
		return c.without(retry.Outcome{Kind: retry.NotSent})
	}
	belief, held := c.belief()
	if belief == quarantine.Held {
		return c.without(retry.Outcome{Kind: retry.Refused, Code: held.Code, Ran: result.RanNo, RetryAfter: held.RetryAfter})
	}
	current := p.view.Load()
	shared := current.services[c.service]
	if shared == nil {
		return c.without(retry.Outcome{Kind: retry.NoEndpoint})
	}
	c.bind(current)
	pool := shared.poolOf(c.regions)
	chosen := c.choose(pool, belief, now)
	if chosen == nil {
		return c.without(c.nothingChosen(pool.set, now))
	}
	if c.runsAt(chosen) {
		return c.without(retry.Outcome{Kind: retry.NoEndpoint})
	}
	path := current.upstreams[chosen.Address]
	if path == nil {
		return c.without(retry.Outcome{Kind: retry.NoEndpoint})
	}
	p.tally.attempts.Add(1)
	chosen.Begin()
	made := &attempt{chosen: chosen, sentAt: now, suspected: belief == quarantine.Suspected}
	c.tried = append(c.tried, chosen)
	ended := c.send(made, path, pool.set, mark, now)
	if ended == made {
		c.judge(made, pool.set)
	}
	return ended
}

// send sends an attempt and waits for the head of its answer. While the gate is
// silent its daemon is asked for; when the daemon is found to be unreachable and another
// attempt is sure to follow, the attempt is hedged. An answer of an attempt that was
// hedged before is taken when it comes first; if it is one of failure, this attempt
// goes on. It returns the attempt that has ended, which is judged unless it is made.
func (c *callerCall) send(made *attempt, path *upstream, set *endpoint.Set, mark bool, now time.Duration) *attempt {
	relay := &informer{writer: c.writer}
	defer c.proxy.watch(path, made.chosen, silenceOf(c.route.Resource.Target))()
	ctx, cancel := context.WithCancel(c.context)
	made.cancel = cancel
	outgoing := c.outgoing(made.chosen, mark, c.deadline-now)
	silent := c.holdSilent(made, path, set)
	if silent != nil {
		outgoing.Header[headerMayHedge] = confirmed
		relay.hangs = func() { path.silence.giveUpOn(made) }
	}
	defer path.silence.release(made)
	if silent == nil && c.hedged == nil {
		made.exchange = path.send(ctx, outgoing, relay, nil)
		c.noteHeard(made, path)
		return made
	}
	send := func() *exchange { return path.send(ctx, outgoing, relay, nil) }
	under := startExchange(send, c.proxy.limits.CollectBytes)
	for {
		select {
		case <-under.done:
			made.exchange = under.take()
			c.noteHeard(made, path)
			return made
		case <-silent:
			relay.end()
			c.hedged = &hedged{chosen: made.chosen, sentAt: made.sentAt, set: set, pending: under}
			made.cancel = nil // it runs on, at most until the call's context ends
			made.exchange = hedgedExchange()
			return made
		case <-c.answered():
			late := c.takeHedged()
			switch {
			case late == nil:
			case late.outcome.Failed:
				late.end(c.proxy)
				c.keep(late)
			default:
				relay.end()
				under.drop()
				c.noteAbandoned(made, AbandonedForAnswer)
				made.withdraw(c.proxy)
				return late
			}
		}
	}
}

// noteHeard notes that a gate has answered an attempt, if it has.
func (c *callerCall) noteHeard(made *attempt, path *upstream) {
	if made.exchange.answer != nil {
		c.proxy.heard(path)
	}
}

// holdSilent returns what is closed when the daemon of the attempt's gate is unreachable, or
// the gate tells that the back end hangs, and another attempt is paid for. A call that may not be repeated or may end its back ends, or
// of which an attempt was hedged already, waits for its gate.
func (c *callerCall) holdSilent(made *attempt, path *upstream, set *endpoint.Set) <-chan struct{} {
	if !c.policy.Repeatable || made.suspected || c.proxy.config.OnSilent == nil || c.hedged != nil {
		return nil
	}
	silent := make(chan struct{})
	var once sync.Once
	replayable := c.body.replayable()
	path.silence.hold(made, func() {
		now := c.proxy.config.Clock()
		lost := retry.Outcome{Kind: retry.Broken, Replayable: replayable, Others: set.Others(now, c.tried)}
		if c.retries.Prepay(now, lost) {
			once.Do(func() { close(silent) })
		}
	})
	return silent
}

// without is an attempt that went to no endpoint.
func (c *callerCall) without(outcome retry.Outcome) *attempt {
	return &attempt{outcome: outcome}
}

// nothingChosen is the outcome of an attempt that no endpoint of a set may take, with the
// reason of which callers and operators can make the most.
func (c *callerCall) nothingChosen(set *endpoint.Set, now time.Duration) retry.Outcome {
	refused := retry.Outcome{Kind: retry.Refused, Ran: result.RanNo}
	refused.RetryAfter = set.ColdWait(now)
	switch {
	case set.Evacuated():
		refused.Code = result.ZoneEvacuated
	case refused.RetryAfter > 0:
		refused.Code = result.WarmingUp
	case c.regions.Restricted():
		refused.Code = result.RegionNotAllowed
	default:
		return retry.Outcome{Kind: retry.NoEndpoint}
	}
	return refused
}

// choose picks the endpoint of the next attempt. First attempts may go to a canary.
func (c *callerCall) choose(pool *pool, belief quarantine.Belief, now time.Duration) *endpoint.Endpoint {
	set := pool.set
	if belief == quarantine.Suspected {
		return set.ChooseRanked(now, c.suspicion.signature.Key(), c.tried)
	}
	if len(c.tried) == 0 {
		chosen := pool.canary.choose(now, c.proxy.random(), c.proxy.random())
		if chosen != nil && c.retries.PayForTrial(now) {
			return chosen
		}
	}
	if c.key != "" {
		return set.ChooseKeyed(now, c.keyHash, c.tried)
	}
	if own := c.besideMe(set, now); own != nil {
		return own
	}
	if c.proxy.config.Baseline.RoundRobin {
		return set.ChooseInTurn(now, c.proxy.turn.Add(1), c.tried)
	}
	if chosen := set.Choose(now, c.proxy.random(), c.tried); chosen != nil {
		return chosen
	}
	return set.ChooseCold(now, c.proxy.random(), c.tried, c.class())
}

// class is the class of the call's priority at the gates of cold back ends.
func (c *callerCall) class() int { return int(c.route.Resource.Priority) }

// judge tells what became of an attempt, for the call and for the endpoint.
func (c *callerCall) judge(made *attempt, set *endpoint.Set) {
	made.exchange.collect(c.proxy.limits.CollectBytes)
	now := c.proxy.config.Clock()
	made.outcome.Replayable = c.body.replayable()
	made.outcome.Others = set.Others(now, c.tried)
	answer := made.exchange.answer
	switch {
	case answer == nil:
		c.judgeFailure(made)
		return
	case answer.Header.Get(headerCode) != "":
		c.judgeRefusal(made, answer)
		made.outcome.Others = c.othersAfter(made, set, now)
	default:
		made.outcome.Kind = retry.Answered
		made.evidence = endpoint.Fine
		if answer.StatusCode >= http.StatusInternalServerError {
			made.outcome.Failed = true
			made.evidence = endpoint.ServerError
		}
	}
	if report, found := parseLoad(answer.Header.Get(headerLoad)); found {
		made.chosen.Learn(now, report)
	}
}

// othersAfter tells whether an endpoint is left that may take the call after a gate's refusal.
func (c *callerCall) othersAfter(made *attempt, set *endpoint.Set, now time.Duration) bool {
	switch {
	case made.evidence == endpoint.Full && !made.outcome.Arrived:
		// To ask gates that have just refused others would burden them for nothing.
		return set.OthersTaking(now, c.tried)
	case made.outcome.Code == result.RegionNotAllowed:
		c.bindAsGate(made.exchange.answer)
		return set.Within(c.regions).Others(now, c.tried)
	case made.outcome.Code == result.WarmingUp:
		return set.Others(now, c.tried) || set.ChooseCold(now, 0, c.tried, c.class()) != nil
	}
	return set.Others(now, c.tried)
}

// judgeFailure weighs an attempt without an answer. Only the guard's proof
// makes it one that did not run.
func (c *callerCall) judgeFailure(made *attempt) {
	c.detail = describeFailure(made.exchange.err)
	made.evidence = endpoint.Broken
	switch {
	case made.exchange.unsent:
		made.outcome.Kind = retry.NotSent
		made.evidence = endpoint.Unreachable
	case c.body.problem() != nil:
		// The caller's own sending failed, so nothing can be sent again.
		made.outcome.Kind = retry.Broken
		made.outcome.Replayable = false
		made.evidence = endpoint.Withdrawn
		c.detail = describeBody(c.body.problem())
	case c.context.Err() == context.DeadlineExceeded:
		// Under overload healthy endpoints are late as well, so this weighs less
		// than a break.
		made.outcome.Kind = retry.Expired
		made.evidence = endpoint.ServerError
	default:
		made.outcome.Kind = retry.Broken
	}
	if reason, ended := c.endReason(); ended && !made.exchange.unsent {
		c.noteAbandoned(made, reason)
	}
	if c.context.Err() != nil && made.exchange.unsent {
		made.evidence = endpoint.Withdrawn
	}
	if c.request.Context().Err() != nil {
		made.evidence = endpoint.Withdrawn
		if context.Cause(c.context) != errDrainBound {
			made.outcome.Kind = retry.CallerGone
		}
	}
}

// describeFailure names a failure for callers, without addresses and without
// the library's request line.
func describeFailure(err error) string {
	if err == nil {
		return ""
	}
	return "The attempt failed: " + innermost(err).Error() + "."
}

// describeBody names a failure to read a request's body.
func describeBody(err error) string {
	return "The request's body: " + innermost(err).Error() + "."
}

// innermost unwraps an error to what it began with.
func innermost(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}

// judgeRefusal reads the gate's word. One that can't be read counts as unknown.
func (c *callerCall) judgeRefusal(made *attempt, answer *http.Response) {
	made.outcome.Kind = retry.Refused
	made.outcome.Ran = result.RanUnknown
	made.evidence = endpoint.Fine
	code, err := strconv.Atoi(answer.Header.Get(headerCode))
	made.outcome.Code = result.Code(code)
	if err != nil {
		made.outcome.Code = result.Internal
	}
	if answer.Header.Get(headerRan) == string(result.RanNo) {
		made.outcome.Ran = result.RanNo
	}
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		made.outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch made.outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated:
		made.evidence = endpoint.Leaving
	case result.WarmingUp:
		made.evidence = endpoint.Withdrawn
		made.chosen.Cold(c.proxy.config.Clock(), made.outcome.RetryAfter, c.class())
	case result.QueueFull, result.DeadlineBeforeStart, result.Shed, result.ShareExceeded, result.Overloaded:
		made.evidence = endpoint.Full
	case result.ConnectFailed:
		made.evidence = endpoint.Unreachable
	case result.BackendRefused:
		made.evidence = endpoint.Full
		made.outcome.Arrived = true
	case result.BrokenInFlight:
		made.evidence = endpoint.Broken
	}
	c.noteEnded(answer.Header.Get(headerEnded))
	c.detail = ""
	// Reading the rest lets the connection be used again; it is short.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, refusalBytes))
}
