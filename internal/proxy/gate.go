package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// GateHandler returns the handler for calls that other daemons send to the back end of this daemon.
func (p *Proxy) GateHandler() http.Handler {
	return &sideHandler{proxy: p, serve: p.serveGate}
}

// serveGate handles one call to the back end and returns once the call is answered.
func (p *Proxy) serveGate(writer http.ResponseWriter, request *http.Request) {
	p.counters.gateCalls.Add(1)
	p.runningGateCalls.Add(1)
	defer p.endCall(&p.runningGateCalls)
	control, body := p.prepareExchange(writer, request)
	defer body.finish()
	call, refusal, accepted := p.acceptGateCall(request, body)
	if !accepted {
		p.refuseEarly(writer, request, body, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), call.timeout)
	defer cancel()
	call.context = ctx
	call.writer = writer
	call.control = control
	call.run()
}

// gateCall is one call at the gate.
type gateCall struct {
	proxy   *Proxy
	request *http.Request
	writer  http.ResponseWriter
	control *http.ResponseController
	body    *upload
	context context.Context
	// timeout is the time left for the call on arrival; deadline is its end on the proxy's clock.
	timeout   time.Duration
	deadline  time.Duration
	ticket    *admission.Ticket
	decisions decisionChannel
	// backend is the back-end instance that the call names.
	backend string
	// start is the start of the instance that the call was last sent to.
	start protocol.BackendStart
	// routingTable is the routing table by which the call's region was last checked.
	routingTable *routing.Table
	// holdsSuspectTurn is set while the call, which is suspected to be harmful, holds
	// Proxy.suspectTurn.
	holdsSuspectTurn bool
	// runsAlone is set once all other calls at the back end have ended; see awaitAlone.
	runsAlone bool
	// trial is the number that this run has among the trials of its request, by the ends that were
	// known when the run started; 0 if unknown.
	trial uint32
	// relay forwards interim answers to the sender.
	relay *interimRelay
	// dispatches are the transmissions to the back end; the first dispatchCount of them are used.
	dispatches    [maxGateSends]dispatch
	dispatchCount int
}

// decisionChannel receives the gate's decision on a queued call; it buffers one decision.
type decisionChannel chan admission.Decision

// Settle stores the decision. It never blocks, because there is only one decision per call.
func (v decisionChannel) Settle(decision admission.Decision) { v <- decision }

// run admits the call, sends it to the back end and forwards the answer.
func (c *gateCall) run() {
	arrivedAt := c.proxy.config.Clock()
	if refusal, refused := c.refuseEarly(arrivedAt); refused {
		c.refuseBeforeSend(refusal, 0)
		return
	}
	if refusal, received := c.receiveBody(); !received {
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-arrivedAt)
		return
	}
	releaseStream, refusal, passed := c.awaitStreamTurn()
	if !passed {
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-arrivedAt)
		return
	}
	defer releaseStream()
	defer c.releaseSuspectTurn()
	if refusal, passed := c.awaitSuspectTurn(); !passed {
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-arrivedAt)
		return
	}
	decision := c.admit()
	waited := c.proxy.config.Clock() - arrivedAt
	if decision.State != admission.StateStarted {
		c.refuseBeforeSend(refusalFor(decision), waited)
		return
	}
	observeDuration(c.proxy.config.Timings.Queue, waited)
	if refusal, allowed := c.recheckRegion(); !allowed {
		c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, false)
		c.refuseBeforeSend(refusal, waited)
		return
	}
	if refusal, passed := c.isolate(); !passed {
		c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, false)
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-arrivedAt)
		return
	}
	c.runAdmitted(arrivedAt, waited)
}

// refuseEarly reports whether a call is refused before its body is read. An early refusal costs the
// sender nothing, and while starts are limited most bodies would be sent only to be refused.
func (c *gateCall) refuseEarly(now time.Duration) (Refusal, bool) {
	if code := c.proxy.gate.RefusalCode(); code != result.OK {
		return Refusal{Code: code}, true
	}
	decision, refused := c.proxy.gate.RefuseEarly(now, c.ticket)
	return refusalFor(decision), refused
}

// refusalFor returns the refusal of a call that the gate has decided not to start.
func refusalFor(decision admission.Decision) Refusal {
	return Refusal{Code: decision.Code, RetryAfter: decision.RetryAfter}
}

// refuseBeforeSend refuses a call that waited for the given time and was not sent to the back end.
func (c *gateCall) refuseBeforeSend(refusal Refusal, waited time.Duration) {
	c.traceGate("gate_refused", refusal.Code, 0, waited, 0)
	c.refuse(refusal)
}

// runAdmitted sends a call that holds a slot to the back end and forwards the answer.
func (c *gateCall) runAdmitted(arrivedAt, waited time.Duration) {
	sentExchange := c.send()
	refusal, refused := c.classifyOutcome(sentExchange)
	serviceTime := c.proxy.config.Clock() - arrivedAt - waited
	if refusal.Code == result.BrokenInFlight {
		refusal.Ended = c.awaitSuspectedEnd()
	}
	c.endIsolation()
	c.recordBackendResult(sentExchange, refusal, refused, serviceTime)
	observeDuration(c.proxy.config.Timings.Backend, serviceTime)
	// The slot is released once, even if forwarding the answer panics.
	defer c.releaseSlot(sentExchange, !refused || refusal.execution() != result.RanNo)
	if refused {
		c.ticket.Unmeasured = refusal.Code == result.BrokenInFlight || c.isHung()
		c.traceGate("gate_failed", refusal.Code, 0, waited, serviceTime)
		c.refuse(refusal)
		return
	}
	c.traceGate("gate_answered", result.OK, sentExchange.answer.StatusCode, waited, serviceTime)
	c.proxy.health.recordAnswer()
	c.recordSuccess(sentExchange.answer.StatusCode)
	c.recordHangEvidence(sentExchange.answer, serviceTime)
	c.ticket.Unmeasured = sentExchange.answer.StatusCode >= http.StatusInternalServerError
	c.deliver(sentExchange)
}

// releaseSlot closes the exchange and releases the slot once the back end has ended the call; the
// sender does not wait for that. A call may run until its deadline. If the back end has not ended
// it CancelWait after the deadline, it is assumed never to have started the call. A hung call keeps
// its slot until HungWait after its deadline or until another start of the back end is reported, so
// that a back end that hangs gets fewer calls.
func (c *gateCall) releaseSlot(sentExchange *exchange, ran bool) {
	sentExchange.close()
	release := func() { c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, ran) }
	ended := sentExchange.peerDone()
	if ended == nil {
		release()
		return
	}
	wait := c.proxy.limits.CancelWait
	if sentExchange.answer == nil && c.isHung() {
		ended, wait = c.proxy.replacedChannel(c.start), c.proxy.limits.HungWait
	}
	timeLeft := max(c.deadline-c.proxy.config.Clock(), 0)
	go func() {
		timer := time.NewTimer(timeLeft + wait)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		case <-c.proxy.closed:
		}
		release()
	}()
}

// admit waits for a slot while the call still has time to run and its sender is connected.
func (c *gateCall) admit() admission.Decision {
	gate := c.proxy.gate
	decision := gate.Admit(c.proxy.config.Clock(), c.ticket)
	if decision.State != admission.StateQueued {
		return decision
	}
	latestStartTimer := time.NewTimer(gate.LatestStart(c.ticket) - c.proxy.config.Clock())
	defer latestStartTimer.Stop()
	select {
	case decision = <-c.decisions:
		return decision
	case <-latestStartTimer.C:
	case <-c.context.Done():
	}
	if !gate.Cancel(c.ticket) {
		// The gate decided at the same moment. If the call was started, it holds a slot, and
		// sending it fails on the ended context before a byte is written.
		return <-c.decisions
	}
	return admission.Decision{State: admission.StateRefused, Code: c.cancellationCode()}
}

// cancellationCode returns the result code of a call that was cancelled, or could no longer start
// in time, while it waited at the gate.
func (c *gateCall) cancellationCode() result.Code {
	switch {
	case context.Cause(c.context) == errDrainBound:
		return result.Draining
	case c.request.Context().Err() != nil:
		return result.CallerGone
	}
	return result.DeadlineBeforeStart
}

// refuse answers with a refusal and the load report, which the sender uses to choose endpoints.
func (c *gateCall) refuse(refusal Refusal) {
	refusal.Load = c.proxy.loadHeaderValue()
	c.proxy.refuse(c.writer, c.body, refusal)
}

// deliver forwards the whole answer, or aborts the sender's connection.
func (c *gateCall) deliver(sentExchange *exchange) {
	forwarding := delivery{
		writer: c.writer, control: c.control, stallTimeout: c.proxy.limits.StallTimeout,
		answer: sentExchange.answer, upload: c.body, addHeaders: c.addAnswerHeaders,
	}
	forwarding.writeHead()
	if err := forwarding.streamBody(); err != nil {
		c.proxy.counters.abortedAnswers.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// addAnswerHeaders adds the load report to an answer, and Connection: close if the connection
// closes after it.
func (c *gateCall) addAnswerHeaders(header http.Header) {
	header[headerLoad] = []string{c.proxy.loadHeaderValue()}
	if c.proxy.closesAfterAnswer(c.request) {
		header.Set("Connection", "close")
	}
}

// loadHeaderValue returns the current value of the load header.
func (p *Proxy) loadHeaderValue() string {
	load := p.gate.Load()
	serviceTime := p.gate.MeanServiceTime()
	queued := load.Queued + p.bodyQueue.equivalentQueueLength(p.config.Clock(), load.Slots, serviceTime)
	report := endpoint.LoadReport{Running: load.Running, Queued: queued, Service: serviceTime}
	report.Own, report.OwnAge = p.health.backendLoad()
	return formatLoad(report)
}
