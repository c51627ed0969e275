package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

// A gate is told a little less than what is left of a call's time, so that its
// refusal, which may say "did not run", comes before the callers' side gives
// up and can say only "unknown".
const (
	hopMarginDivisor = 20
	maxHopMargin     = 10 * time.Millisecond

	retryMarginDivisor = 8
	maxRetryMargin     = 50 * time.Millisecond
)

// CallerHandler takes callers' requests.
func (p *Proxy) CallerHandler() http.Handler {
	return &sideHandler{proxy: p, serve: p.serveCaller, isCallerSide: true}
}

func (p *Proxy) serveCaller(writer http.ResponseWriter, request *http.Request) {
	p.counters.callerCalls.Add(1)
	p.runningCallerCalls.Add(1)
	defer p.endCall(&p.runningCallerCalls)
	began := p.config.Clock()
	defer func() { observeDuration(p.config.Timings.Caller, p.config.Clock()-began) }()
	control, body := p.prepareExchange(writer, request)
	defer body.finish()
	call, refusal, accepted := p.acceptWhenStarted(request, body)
	if !accepted {
		p.traceEarlyRefusal(request, refusal)
		p.refuse(writer, body, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), call.timeout)
	defer cancel()
	call.context = ctx
	call.writer = writer
	call.control = control
	call.body = body
	if err := body.preload(ctx, nil); err != nil {
		refusal := bodyRefusal(ctx, err)
		p.traceEarlyRefusal(request, refusal)
		p.refuse(writer, body, refusal)
		return
	}
	call.run()
}

// begin prepares what both sides need of an exchange: the control of its
// connection, which is closed after the answer while the daemon drains, and the
// body of its request.
func (p *Proxy) prepareExchange(writer http.ResponseWriter, request *http.Request) (*http.ResponseController, *upload) {
	if p.closesAfterAnswer(request) {
		writer.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(writer)
	limits := p.limits
	limits.BodyBytes = p.RequestLimits().BodyBytes
	return control, newUpload(request, control, limits)
}

// unsentRefusal is for a call whose body did not arrive, before any attempt.
func bodyRefusal(ctx context.Context, err error) Refusal {
	refusal := Refusal{Code: result.RequestMalformed, Ran: result.RanNo, Detail: describeBodyFailure(err)}
	switch {
	case isStallError(err):
		refusal.Code = result.SlowPeer
	case context.Cause(ctx) == errDrainBound:
		refusal.Code = result.Draining
	case ctx.Err() == context.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded):
		refusal.Code = result.DeadlineBeforeStart
	}
	return refusal
}

// callerCall is one call on the callers' side.
type callerCall struct {
	proxy   *Proxy
	route   *routing.Route
	service resource.ServiceRef
	// table is that of the newest version that binds the call, regions where it may run by
	// all versions and gates that it has met.
	routingTable *routing.Table
	regions      region.Set
	// serviceName is the service as text.
	serviceName string
	hostPath    hostPath
	request     *http.Request
	writer      http.ResponseWriter
	control     *http.ResponseController
	body        *upload
	context     context.Context
	// timeout is what the call may take in all, deadline when that is over, on
	// the proxy's clock.
	timeout  time.Duration
	deadline time.Duration
	// target is until when an answer is of full use; 0 when none is stated.
	targetTime time.Duration
	policy     retry.Policy
	retries    *retry.Call
	// key is the value of the route's request key header, keyHash its hash; the
	// hash is the same on all daemons.
	requestKey     string
	requestKeyHash uint64
	triedEndpoints endpoint.Tried
	// hedged is the attempt that another one has followed; nil for none.
	hedgedAttempt *hedgedAttempt
	// failure is an answer of failure to deliver if nothing better comes; nil for none.
	failureAnswer *attempt
	// answering is set once an answer is being passed on.
	answerStarted bool
	suspicion     suspicion
	// detail explains the last attempt for people.
	attemptDetail string
}

// acceptCall checks a request and finds its route, or refuses it. Nothing has
// run then.
func (p *Proxy) acceptCall(request *http.Request) (*callerCall, Refusal, bool) {
	current := p.view.Load()
	switch {
	case p.drain.refusing.Load():
		return nil, Refusal{Code: result.Draining}, false
	case current.snapshot == nil || !p.mayServe():
		return nil, Refusal{Code: result.NotServing}, false
	}
	if refusal, fine := p.checkRequest(request); !fine {
		return nil, refusal, false
	}
	located, refusal, fine := p.locate(request)
	if !fine {
		return nil, refusal, false
	}
	route := current.findRoute(request, located)
	if route == nil {
		return nil, Refusal{Code: result.NoRoute}, false
	}
	call := &callerCall{
		proxy: p, route: route, hostPath: located, request: request, service: route.Pick(p.random()),
		routingTable: current.routes, regions: route.Regions,
	}
	shared := current.services[call.service]
	if shared == nil {
		return nil, Refusal{Code: result.NoEndpoint}, false
	}
	if call.regions.Restricted() && shared.poolFor(call.regions).set.UsableCount() == 0 {
		return nil, Refusal{Code: result.RegionNotAllowed}, false
	}
	call.serviceName = shared.name
	call.prepare(shared)
	return call, Refusal{}, true
}

// prepare settles deadline, retries and key. A caller's own headers can only
// make them stricter: an application copies them from the call it serves onto
// the calls it makes, so that deadlines shrink and retries don't multiply.
func (c *callerCall) prepare(shared *service) {
	header := c.request.Header
	c.timeout = c.route.Timeout
	if stated, found := c.proxy.requestedTimeout(header); found {
		c.timeout = min(c.timeout, stated)
	}
	waited := turnWait(c.request)
	now := c.proxy.config.Clock()
	c.timeout = c.proxy.limitTimeoutByDrain(max(c.timeout-waited, 0))
	c.deadline = now + c.timeout
	c.targetTime = now - waited + c.route.Resource.Target
	c.policy = retry.Policy{
		Repeatable: c.route.Repeatable(c.request.Method),
		Attempts:   c.route.Attempts,
		Urgent:     c.route.Resource.Priority >= resource.PriorityHigh,
		NoRetry:    header.Get(headerNoRetry) != "" && !c.proxy.config.Baseline.UnbudgetedRetries,
		Deadline:   c.deadline,
		Unbudgeted: c.proxy.config.Baseline.UnbudgetedRetries,

		Class: c.route.Class,

		RetryFailures: c.proxy.config.Edge != nil,
		Margin:        c.proxy.retryMargin(c.timeout),
	}
	c.retries = retry.NewCall(c.policy, shared.retryBudget)
	if name := c.route.Resource.RequestKeyHeader; name != "" {
		c.requestKey = header.Get(name)
		c.requestKeyHash = xxhash.Sum64String(c.requestKey)
	}
}

// retryMargin is the least time in which another attempt of a call can be of
// use: a part of the call's time, at most retryMarginLimit.
func (p *Proxy) retryMargin(timeout time.Duration) time.Duration {
	if p.config.Edge == nil {
		return 0
	}
	return min(timeout/retryMarginDivisor, maxRetryMargin)
}

// run makes attempts until there is an answer or a final refusal.
func (c *callerCall) run() {
	defer c.abandonHedged()
	defer c.retries.ReleaseTrialRetry()
	step := c.retries.FirstStep()
	for {
		pause.For(c.context, step.Wait)
		tried := c.makeAttempt(step.Mark)
		step = c.retries.NextStep(c.proxy.config.Clock(), tried.outcome)
		c.traceAttempt(tried, step)
		switch step.Action {
		case retry.Send:
			c.proxy.counters.retries.Add(1)
			tried.end(c.proxy)
			c.keepFailureAnswer(tried)
		case retry.Deliver:
			if tried.outcome.Failed {
				tried = c.preferHedgedAnswer(tried)
			}
			c.deliver(tried)
			return
		default:
			tried.end(c.proxy)
			if last := c.fallbackAnswer(); last != nil {
				c.deliver(last)
				return
			}
			c.refuse(c.retries.FinalStep(step))
			return
		}
	}
}

// refuse gives the final refusal. A caller that has hung up gets none.
func (c *callerCall) refuse(step retry.Step) {
	refusal := Refusal{Code: step.Code, Ran: step.Ran, RetryAfter: step.RetryAfter, Detail: c.attemptDetail}
	switch {
	case context.Cause(c.context) == errDrainBound:
		refusal.Code = result.DrainBound
	case c.context.Err() == context.DeadlineExceeded && step.Ran == result.RanUnknown:
		refusal.Code = result.DeadlineInFlight // it was waited for until then
	}
	if isStallError(c.body.readFailure()) && step.Ran == result.RanUnknown {
		refusal.Code = result.SlowPeer
	}
	if refusal.execution() == result.RanUnknown && c.proxy.config.Trace == nil {
		c.proxy.logEvent("call_unknown", codeField(refusal.Code),
			EventField{Key: "route", Value: c.route.Resource.Key().String()},
			EventField{Key: "service", Value: c.serviceName})
	}
	c.traceRefusal(refusal)
	c.proxy.refuse(c.writer, c.body, refusal)
}

// deliver passes the answer on whole, or breaks the caller's connection.
func (c *callerCall) deliver(tried *attempt) {
	c.answerStarted = true
	passing := delivery{
		writer: c.writer, control: c.control, stallTimeout: c.proxy.limits.StallTimeout,
		answer: tried.exchange.answer, upload: c.body, addHeaders: c.addCloseHeader,
	}
	passing.writeHead()
	err := passing.streamBody()
	if err != nil {
		tried.endpointOutcome = endpoint.Broken
		if c.request.Context().Err() != nil {
			tried.endpointOutcome = endpoint.Cancelled
		}
	}
	c.traceAnswer(tried, err)
	tried.end(c.proxy)
	if err != nil {
		c.proxy.counters.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// answerHeaders asks callers to go elsewhere while the daemon is leaving.
func (c *callerCall) addCloseHeader(header http.Header) {
	if c.proxy.closesAfterAnswer(c.request) {
		header.Set("Connection", "close")
	}
}
