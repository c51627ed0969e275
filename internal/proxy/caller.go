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
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

// The remaining time sent to a gate is reduced by a hopMarginDivisor-th, at most by maxHopMargin.
// The gate's refusal, which may state that the call did not run, then arrives before the callers'
// side reaches the deadline, after which it can only report an unknown outcome.
const (
	hopMarginDivisor = 20
	maxHopMargin     = 10 * time.Millisecond

	// retryMarginDivisor and maxRetryMargin define the result of retryMargin.
	retryMarginDivisor = 8
	maxRetryMargin     = 50 * time.Millisecond
)

// CallerHandler returns the handler for the requests of callers.
func (p *Proxy) CallerHandler() http.Handler {
	return &sideHandler{proxy: p, serve: p.serveCaller, isCallerSide: true}
}

func (p *Proxy) serveCaller(writer http.ResponseWriter, request *http.Request) {
	p.counters.callerCalls.Add(1)
	p.runningCallerCalls.Add(1)
	defer p.endCall(&p.runningCallerCalls)
	startedAt := p.config.Clock()
	defer func() { observeDuration(p.config.Timings.Caller, p.config.Clock()-startedAt) }()
	control, body := p.prepareExchange(writer, request)
	defer body.finish()
	call, refusal, accepted := p.acceptWhenStarted(request, body)
	if !accepted {
		p.refuseEarly(writer, request, body, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), call.timeout)
	defer cancel()
	call.context = ctx
	call.writer = writer
	call.control = control
	call.body = body
	release, refusal, passed := call.awaitBacklogTurn()
	if !passed {
		p.refuseEarly(writer, request, body, refusal)
		return
	}
	defer release()
	if refusal, permitted := call.takeQuota(); !permitted {
		p.refuseEarly(writer, request, body, refusal)
		return
	}
	if err := body.preload(ctx, nil); err != nil {
		call.returnQuota()
		p.refuseEarly(writer, request, body, bodyRefusal(ctx, err))
		return
	}
	call.run()
}

// refuseEarly refuses a request of which no attempt was made.
func (p *Proxy) refuseEarly(writer http.ResponseWriter, request *http.Request, body *upload, refusal Refusal) {
	p.traceEarlyRefusal(request, refusal)
	p.refuse(writer, body, refusal)
}

// prepareExchange returns the response controller and the request body of an exchange, on the
// callers' side or at the gate. If the daemon drains and no later answer of the connection is
// pending, prepareExchange announces that the connection closes after the answer.
func (p *Proxy) prepareExchange(writer http.ResponseWriter, request *http.Request) (*http.ResponseController, *upload) {
	if p.closesAfterAnswer(request) {
		writer.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(writer)
	limits := p.limits
	limits.BodyBytes = p.RequestLimits().BodyBytes
	return control, newUpload(request, control, limits, p.bodyMemory)
}

// bodyRefusal returns the refusal of a call whose body could not be read before the first
// attempt.
func bodyRefusal(ctx context.Context, err error) Refusal {
	refusal := Refusal{Code: result.RequestMalformed, Ran: result.RanNo, Detail: describeBodyFailure(err)}
	switch {
	case errors.Is(err, errBodyEvicted):
		refusal.Code = result.Overloaded
	case isStallError(err):
		refusal.Code = result.SlowPeer
	case context.Cause(ctx) == errDrainBound:
		refusal.Code = result.Draining
	case ctx.Err() == context.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded):
		refusal.Code = result.DeadlineBeforeStart
	}
	return refusal
}

// callerCall is one call on the callers' side: a caller's request and its attempts.
type callerCall struct {
	proxy   *Proxy
	route   *routing.Route
	service resource.ServiceRef
	// routingTable belongs to the newest configuration version applied to the call. regions are
	// the regions allowed by all versions applied to the call and by all gates that refused the
	// call because of their region.
	routingTable *routing.Table
	regions      region.Set
	// identified is set if the configuration has tenants; tenant is then the one that makes the
	// call, nil on a public route.
	identified bool
	tenant     *tenancy.Tenant
	// hasQuota is set while the call holds a permission of its tenant's quota.
	hasQuota bool
	// serviceName is the text form of service.
	serviceName string
	hostPath    hostPath
	request     *http.Request
	writer      http.ResponseWriter
	control     *http.ResponseController
	body        *upload
	context     context.Context
	// timeout is the total time of the call, deadline its end on the proxy's clock.
	timeout  time.Duration
	deadline time.Duration
	// targetTime is the time by which the call is to be answered according to the route's target,
	// on the proxy's clock; it has no meaning if the route states no target.
	targetTime time.Duration
	policy     retry.Policy
	retries    *retry.Call
	// requestKey is the value of the route's request key header, requestKeyHash its hash, which
	// is the same on all daemons.
	requestKey     string
	requestKeyHash uint64
	triedEndpoints endpoint.Tried
	// hedgedAttempt is an earlier attempt that may still be answered while the current one runs;
	// nil for none.
	hedgedAttempt *hedgedAttempt
	// failureAnswer is a server error to deliver if no better answer arrives; nil for none.
	failureAnswer *attempt
	// answerStarted is set once an answer is being delivered.
	answerStarted bool
	suspicion     suspicion
	// attemptDetail describes the failure of the last attempt, for logs and the final refusal.
	attemptDetail string
}

// acceptCall checks a request and finds its route. If it returns false, the request is refused
// and has not run.
func (p *Proxy) acceptCall(request *http.Request) (*callerCall, Refusal, bool) {
	current := p.view.Load()
	switch {
	case p.drain.refusing.Load():
		return nil, Refusal{Code: result.Draining}, false
	case current.snapshot == nil || !p.mayServe():
		return nil, Refusal{Code: result.NotServing}, false
	}
	if refusal, ok := p.checkRequest(request); !ok {
		return nil, refusal, false
	}
	target, refusal, ok := p.locate(request)
	if !ok {
		return nil, refusal, false
	}
	route := current.findRoute(request, target)
	if route == nil {
		return nil, Refusal{Code: result.NoRoute}, false
	}
	tenant, refusal, ok := p.identify(current, &route.Resource, request)
	if !ok {
		return nil, refusal, false
	}
	call := &callerCall{
		proxy: p, route: route, hostPath: target, request: request, service: route.Pick(p.random()),
		routingTable: current.routes, regions: route.Regions,
		identified: current.snapshot.Tenants.IsRequired(), tenant: tenant,
	}
	calledService := current.services[call.service]
	if calledService == nil {
		return nil, Refusal{Code: result.NoEndpoint}, false
	}
	if call.regions.Restricted() && calledService.poolFor(call.regions).set.UsableCount() == 0 {
		return nil, Refusal{Code: result.RegionNotAllowed}, false
	}
	call.serviceName = calledService.name
	call.prepare(calledService)
	return call, Refusal{}, true
}

// prepare sets the deadline, retry policy and request key. The caller's headers can only tighten
// the deadline and the retries: an application copies them from the call that it serves to the
// calls that it makes, so that deadlines shrink and retries don't multiply.
func (c *callerCall) prepare(calledService *service) {
	header := c.request.Header
	c.timeout = c.route.Timeout
	if requested, found := c.proxy.requestedTimeout(header); found {
		c.timeout = min(c.timeout, requested)
	}
	turnWaited := turnWait(c.request)
	now := c.proxy.config.Clock()
	c.timeout = c.proxy.limitTimeoutByDrain(max(c.timeout-turnWaited, 0))
	c.deadline = now + c.timeout
	c.targetTime = now - turnWaited + c.route.Resource.Target
	c.policy = retry.Policy{
		Repeatable: c.route.Repeatable(c.request.Method),
		Attempts:   c.route.Attempts,
		Urgent:     c.priority().Class() >= resource.PriorityHigh,
		NoRetry:    header.Get(headerNoRetry) != "" && !c.proxy.config.Baseline.UnbudgetedRetries,
		Deadline:   c.deadline,
		Unbudgeted: c.proxy.config.Baseline.UnbudgetedRetries,

		Class: c.route.Class,

		RetryFailures: c.proxy.config.Edge != nil,
		Margin:        c.proxy.retryMargin(c.timeout),
	}
	c.retries = retry.NewCall(c.policy, calledService.retryBudget)
	if name := c.route.Resource.RequestKeyHeader; name != "" {
		c.requestKey = header.Get(name)
		c.requestKeyHash = xxhash.Sum64String(c.requestKey)
	}
}

// retryMargin returns the minimum time left for another attempt to be useful: a fraction of the
// call's timeout, at most maxRetryMargin. Without an Edge it is 0.
func (p *Proxy) retryMargin(timeout time.Duration) time.Duration {
	if p.config.Edge == nil {
		return 0
	}
	return min(timeout/retryMarginDivisor, maxRetryMargin)
}

// run makes attempts until one is answered or the call is refused, and sends the result to the
// caller.
func (c *callerCall) run() {
	defer c.abandonHedged()
	defer c.retries.ReleaseTrialRetry()
	step := c.retries.FirstStep()
	for {
		pause.For(c.context, step.Wait)
		current := c.makeAttempt(step.Mark)
		step = c.retries.NextStep(c.proxy.config.Clock(), current.outcome)
		c.traceAttempt(current, step)
		switch step.Action {
		case retry.Send:
			c.proxy.counters.retries.Add(1)
			current.end(c.proxy)
			c.keepFailureAnswer(current)
		case retry.Deliver:
			if current.outcome.Failed {
				current = c.preferHedgedAnswer(current)
			}
			c.deliver(current)
			return
		default:
			current.end(c.proxy)
			if fallback := c.fallbackAnswer(); fallback != nil {
				c.deliver(fallback)
				return
			}
			c.refuse(c.retries.FinalStep(step))
			return
		}
	}
}

// refuse sends the final refusal. A caller that has closed its connection doesn't receive it.
func (c *callerCall) refuse(step retry.Step) {
	refusal := Refusal{Code: step.Code, Ran: step.Ran, RetryAfter: step.RetryAfter, Detail: c.attemptDetail}
	switch {
	case context.Cause(c.context) == errDrainBound:
		refusal.Code = result.DrainBound
	case c.context.Err() == context.DeadlineExceeded && step.Ran == result.RanUnknown:
		refusal.Code = result.DeadlineInFlight // the outcome was awaited until the deadline
	}
	if isStallError(c.body.readFailure()) && step.Ran == result.RanUnknown {
		refusal.Code = result.SlowPeer
	}
	if refusal.execution() == result.RanUnknown && c.proxy.config.Trace == nil {
		c.proxy.logEvent("call_unknown", codeField(refusal.Code),
			EventField{Key: "route", Value: c.route.Resource.Key().String()},
			EventField{Key: "service", Value: c.serviceName})
	}
	if refusal.execution() == result.RanNo {
		c.returnQuota()
	}
	c.traceRefusal(refusal)
	c.noteRefusal(refusal)
	c.proxy.refuse(c.writer, c.body, refusal)
}

// deliver sends the answer to the caller. If it can't be sent completely, the caller's connection
// is aborted.
func (c *callerCall) deliver(answeredAttempt *attempt) {
	c.answerStarted = true
	held, release := c.proxy.holdAnswer(c.control, answeredAttempt.exchange.collectedBytes+copyBufferBytes)
	defer release()
	output := delivery{
		writer: c.writer, control: c.control, stallTimeout: c.proxy.limits.StallTimeout, held: held,
		answer: answeredAttempt.exchange.answer, upload: c.body, addHeaders: c.addCloseHeader,
	}
	output.writeHead()
	err := output.streamBody()
	if err != nil {
		answeredAttempt.endpointOutcome = endpoint.Broken
		if c.request.Context().Err() != nil {
			answeredAttempt.endpointOutcome = endpoint.Cancelled
		}
	}
	c.traceAnswer(answeredAttempt, err)
	answeredAttempt.end(c.proxy)
	if err != nil {
		c.proxy.counters.abortedAnswers.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// addCloseHeader announces that the connection closes after the answer if the daemon drains and no
// later answer is pending, so that the caller connects to another daemon.
func (c *callerCall) addCloseHeader(header http.Header) {
	if c.proxy.closesAfterAnswer(c.request) {
		header.Set("Connection", "close")
	}
}
