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

// GateHandler takes calls from other daemons to the back end beside this one.
func (p *Proxy) GateHandler() http.Handler {
	return &sideHandler{proxy: p, serve: p.serveGate}
}

// serveGate takes one call to the back end, and returns when it is answered.
func (p *Proxy) serveGate(writer http.ResponseWriter, request *http.Request) {
	p.counters.gateCalls.Add(1)
	p.runningGateCalls.Add(1)
	defer p.endCall(&p.runningGateCalls)
	control, body := p.prepareExchange(writer, request)
	defer body.finish()
	call, refusal, accepted := p.acceptGateCall(request, body)
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
	// timeout is what is left of the call's time; deadline is on the clock.
	timeout   time.Duration
	deadline  time.Duration
	ticket    *admission.Ticket
	decisions decisionChannel
	// backend is the instance that the call is for.
	backend string
	// start is the start of the instance that the call was last sent to.
	start protocol.BackendStart
	// table is that of the version by which the call may run here.
	table *routing.Table
	// hasTurn says that it is suspected to be harmful and runs while no other one does.
	holdsSuspectTurn bool
	// alone says that it runs while no other call does.
	runsAlone bool
	// trial is which trial of its request the run is, by the ends that were known as it began;
	// 0 for not known.
	trial uint32
	// relay is what interim answers pass.
	relay *interimRelay
	// sendings are those to the back end, sent of them so far.
	dispatches    [maxGateSends]dispatch
	dispatchCount int
}

// verdictChannel is a waiter of the gate; it holds the one verdict.
type decisionChannel chan admission.Decision

// Settle keeps the verdict; it never blocks, for there is only one.
func (v decisionChannel) Settle(verdict admission.Decision) { v <- verdict }

// run admits the call, sends it to the back end and passes the answer on.
func (c *gateCall) run() {
	came := c.proxy.config.Clock()
	if refusal, refused := c.refuseEarly(came); refused {
		c.refuseBeforeSend(refusal, 0)
		return
	}
	if refusal, received := c.receiveBody(); !received {
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-came)
		return
	}
	defer c.releaseSuspectTurn()
	if refusal, passed := c.awaitSuspectTurn(); !passed {
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-came)
		return
	}
	verdict := c.admit()
	waited := c.proxy.config.Clock() - came
	if verdict.State != admission.StateStarted {
		c.refuseBeforeSend(refusalFor(verdict), waited)
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
		c.refuseBeforeSend(refusal, c.proxy.config.Clock()-came)
		return
	}
	c.runAdmitted(came, waited)
}

// refusedAtOnce tells whether a call is refused before its body is taken in: told so early, it
// costs its sender nothing, and while the back end is cold most bodies would come for nothing.
func (c *gateCall) refuseEarly(now time.Duration) (Refusal, bool) {
	if code := c.proxy.gate.RefusalCode(); code != result.OK {
		return Refusal{Code: code}, true
	}
	verdict, refused := c.proxy.gate.RefuseIfCold(now, c.ticket)
	return refusalFor(verdict), refused
}

// refusalBy is the refusal that a verdict makes.
func refusalFor(verdict admission.Decision) Refusal {
	return Refusal{Code: verdict.Code, RetryAfter: verdict.RetryAfter}
}

// refuseUnsent refuses a call that has waited for a time and was not sent to the back end.
func (c *gateCall) refuseBeforeSend(refusal Refusal, waited time.Duration) {
	c.traceGate("gate_refused", refusal.Code, 0, waited, 0)
	c.refuse(refusal)
}

// runStarted sends a call that has a slot to the back end and passes the answer on.
func (c *gateCall) runAdmitted(came, waited time.Duration) {
	sent := c.send()
	refusal, refused := c.classifyOutcome(sent)
	ran := c.proxy.config.Clock() - came - waited
	if refusal.Code == result.BrokenInFlight {
		refusal.Ended = c.awaitSuspectedEnd()
	}
	c.endIsolation()
	c.recordBackendResult(sent, refusal, refused, ran)
	observeDuration(c.proxy.config.Timings.Backend, ran)
	// The slot is given back once, whatever happens below.
	defer c.releaseSlot(sent, !refused || refusal.execution() != result.RanNo)
	if refused {
		c.ticket.Unmeasured = refusal.Code == result.BrokenInFlight || c.isHung()
		c.traceGate("gate_failed", refusal.Code, 0, waited, ran)
		c.refuse(refusal)
		return
	}
	c.traceGate("gate_answered", result.OK, sent.answer.StatusCode, waited, ran)
	c.proxy.health.recordAnswer()
	c.recordSuccess(sent.answer.StatusCode)
	c.recordHangEvidence(sent.answer, ran)
	c.ticket.Unmeasured = sent.answer.StatusCode >= http.StatusInternalServerError
	c.deliver(sent)
}

// end closes the exchange and gives the slot back when the back end has ended the call, for
// which its sender does not wait. A call may run until its deadline; CancelWait later one that
// has not been ended was never taken up. One that hangs keeps its slot until HungWait after its
// deadline, or until another start runs: a back end that hangs is to get fewer calls.
func (c *gateCall) releaseSlot(sent *exchange, ran bool) {
	sent.close()
	done := func() { c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, ran) }
	running := sent.peerDone()
	if running == nil {
		done()
		return
	}
	wait := c.proxy.limits.CancelWait
	if sent.answer == nil && c.isHung() {
		running, wait = c.proxy.replacedChannel(c.start), c.proxy.limits.HungWait
	}
	left := max(c.deadline-c.proxy.config.Clock(), 0)
	go func() {
		bound := time.NewTimer(left + wait)
		defer bound.Stop()
		select {
		case <-running:
		case <-bound.C:
		case <-c.proxy.closed:
		}
		done()
	}()
}

// admit waits for a slot as long as the call has time to run and its sender is there.
func (c *gateCall) admit() admission.Decision {
	gate := c.proxy.gate
	verdict := gate.Admit(c.proxy.config.Clock(), c.ticket)
	if verdict.State != admission.StateQueued {
		return verdict
	}
	latest := time.NewTimer(gate.LatestStart(c.ticket) - c.proxy.config.Clock())
	defer latest.Stop()
	select {
	case verdict = <-c.decisions:
		return verdict
	case <-latest.C:
	case <-c.context.Done():
	}
	if !gate.Cancel(c.ticket) {
		// It was settled at the same moment; if it was started it holds a slot,
		// and sending it finds the context done before a byte is written.
		return <-c.decisions
	}
	return admission.Decision{State: admission.StateRefused, Code: c.cancellationCode()}
}

// endCode is the code of a call that ended while it waited.
func (c *gateCall) cancellationCode() result.Code {
	switch {
	case context.Cause(c.context) == errDrainBound:
		return result.Draining
	case c.request.Context().Err() != nil:
		return result.CallerGone
	}
	return result.DeadlineBeforeStart
}

// refuse answers with a refusal and the load, from which senders learn.
func (c *gateCall) refuse(refusal Refusal) {
	refusal.Load = c.proxy.loadHeaderValue()
	c.proxy.refuse(c.writer, c.body, refusal)
}

// deliver passes the answer on whole, or breaks the sender's connection.
func (c *gateCall) deliver(sent *exchange) {
	passing := delivery{
		writer: c.writer, control: c.control, stallTimeout: c.proxy.limits.StallTimeout,
		answer: sent.answer, upload: c.body, addHeaders: c.answerHeaders,
	}
	passing.writeHead()
	if err := passing.streamBody(); err != nil {
		c.proxy.counters.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// answerHeaders adds to an answer what its sender learns from and needs to know.
func (c *gateCall) answerHeaders(header http.Header) {
	header[headerLoad] = []string{c.proxy.loadHeaderValue()}
	if c.proxy.closesAfterAnswer(c.request) {
		header.Set("Connection", "close")
	}
}

// loadText is the load header's value now.
func (p *Proxy) loadHeaderValue() string {
	load := p.gate.Load()
	service := p.gate.MeanServiceTime()
	queued := load.Queued + p.transfers.equivalentQueueLength(p.config.Clock(), load.Slots, service)
	report := endpoint.LoadReport{Running: load.Running, Queued: queued, Service: service}
	report.Own, report.OwnAge = p.health.backendLoad()
	return formatLoad(report)
}
