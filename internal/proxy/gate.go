package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// gateTries is how often the gate sends a call on while it is certain that
// not a byte of it was written.
const gateTries = 2

// headerBackendDraining and headerBackendRan are a back end's own signals: the
// first on its health answers, the second, with the value no, on a 503 by
// which it sheds a call that it has not begun.
const (
	headerBackendDraining = "Springstack-Draining"
	headerBackendRan      = headerRan
)

// GateHandler takes calls from other daemons to the back end beside this one.
func (p *Proxy) GateHandler() http.Handler {
	return &side{proxy: p, serve: p.serveGate}
}

func (p *Proxy) serveGate(writer http.ResponseWriter, request *http.Request) {
	p.tally.gateCalls.Add(1)
	p.gateRunning.Add(1)
	defer p.leave(&p.gateRunning)
	control, body := p.begin(writer, request)
	defer body.finish()
	call, refusal, accepted := p.acceptGateCall(request, body)
	if !accepted {
		p.traceTurnedAway(request, refusal)
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
	timeout  time.Duration
	deadline time.Duration
	ticket   *admission.Ticket
	verdicts verdictChannel
	// backend is the instance that the call is for.
	backend string
	// start is the start of the instance that the call was last sent to.
	start protocol.BackendStart
	// table is that of the version by which the call may run here.
	table *routing.Table
	// hasTurn says that it is suspected to be harmful and runs while no other one does.
	hasTurn bool
	// relay is what interim answers pass. sendings are those to the back end, sent is how many.
	relay    *informer
	sendings [gateTries]sending
	sent     int
}

// verdictChannel is a waiter of the gate; it holds the one verdict.
type verdictChannel chan admission.Verdict

// Settle keeps the verdict; it never blocks, for there is only one.
func (v verdictChannel) Settle(verdict admission.Verdict) { v <- verdict }

// acceptGateCall checks that the call is for this back end as its sender knows
// it.
func (p *Proxy) acceptGateCall(request *http.Request, body *upload) (*gateCall, Refusal, bool) {
	header := request.Header
	mine := p.gate != nil && header.Get(headerHop) == hopGate &&
		header.Get(headerBackend) == p.instance() &&
		header.Get(headerService) == p.config.Service.String()
	if incarnation := header.Get(headerIncarnation); incarnation != "" {
		mine = mine && p.incarnations.include(incarnation)
	}
	if !mine {
		return nil, Refusal{Code: result.WrongBackend}, false
	}
	if refusal, fine := p.checkForm(request); !fine {
		return nil, refusal, false
	}
	current := p.view.Load()
	if refusal, allowed := p.checkRegion(current, request); !allowed {
		return nil, refusal, false
	}
	body.sign()
	call := &gateCall{
		proxy: p, request: request, body: body, timeout: routing.DefaultTimeout, backend: header.Get(headerBackend),
		table: current.table,
	}
	if stated, found := statedTimeout(header); found {
		call.timeout = stated
	}
	call.deadline = p.config.Clock() + call.timeout
	call.ticket = call.newTicket()
	return call, Refusal{}, true
}

func (c *gateCall) newTicket() *admission.Ticket {
	header := c.request.Header
	priority, err := strconv.Atoi(header.Get(headerPriority))
	if err != nil {
		priority = int(resource.PriorityNormal)
	}
	partner := header.Get(headerPartner)
	c.verdicts = make(verdictChannel, 1)
	call := admission.Call{
		Class:    parseClass(header.Get(headerClass)),
		Partner:  resource.Partner(partner),
		Priority: resource.Priority(priority),
		Deadline: c.proxy.untilCut(c.deadline),
		Request:  c.proxy.fingerprint("request", header.Get(headerRequest)),
		Key:      c.proxy.fingerprint("key", partner, header.Get(headerRequestKey)),
	}
	if left, stated := parseTarget(header.Get(headerTarget)); stated {
		// One that has passed is still a target: 0 means none.
		call.Target = max(c.proxy.config.Clock()+left, 1)
		call.Patient = c.body.isLarge()
	}
	if c.proxy.config.Baseline.UnboundedQueue {
		call.Partner = ""
		call.Priority = resource.PriorityNormal
	}
	return admission.NewTicket(call, c.verdicts)
}

// run admits the call, sends it to the back end and passes the answer on.
func (c *gateCall) run() {
	came := c.proxy.config.Clock()
	if code := c.proxy.gate.Refusing(); code != result.OK {
		// Told before a large body is taken in, it costs its sender nothing.
		c.traceGate("gate_refused", code, 0, 0, 0)
		c.refuse(Refusal{Code: code})
		return
	}
	if verdict, refused := c.proxy.gate.RefuseCold(came, c.ticket); refused {
		// The same: while the back end is cold, most bodies would come for nothing.
		c.traceGate("gate_refused", verdict.Code, 0, 0, 0)
		c.refuse(Refusal{Code: verdict.Code, RetryAfter: verdict.RetryAfter})
		return
	}
	if refusal, received := c.receive(); !received {
		c.traceGate("gate_refused", refusal.Code, 0, c.proxy.config.Clock()-came, 0)
		c.refuse(refusal)
		return
	}
	defer c.endTurn()
	if refusal, passed := c.awaitTurn(); !passed {
		c.traceGate("gate_refused", refusal.Code, 0, c.proxy.config.Clock()-came, 0)
		c.refuse(refusal)
		return
	}
	verdict := c.admit()
	waited := c.proxy.config.Clock() - came
	if verdict.State != admission.StateStarted {
		c.traceGate("gate_refused", verdict.Code, 0, waited, 0)
		c.refuse(Refusal{Code: verdict.Code, RetryAfter: verdict.RetryAfter})
		return
	}
	observe(c.proxy.config.Timings.Queue, waited)
	if refusal, allowed := c.checkRegionAgain(); !allowed {
		c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, false)
		c.traceGate("gate_refused", refusal.Code, 0, waited, 0)
		c.refuse(refusal)
		return
	}
	sent := c.send()
	refusal, refused := c.judge(sent)
	ran := c.proxy.config.Clock() - came - waited
	if refusal.Code == result.BrokenInFlight {
		refusal.Ended = c.awaitEnd()
	}
	c.noteBackend(sent, refusal, refused, ran)
	observe(c.proxy.config.Timings.Backend, ran)
	// The slot is given back once, whatever happens below.
	defer c.end(sent, !refused || refusal.execution() != result.RanNo)
	if refused {
		c.ticket.Unmeasured = refusal.Code == result.BrokenInFlight || c.foundToHang()
		c.traceGate("gate_failed", refusal.Code, 0, waited, ran)
		c.refuse(refusal)
		return
	}
	c.traceGate("gate_answered", result.OK, sent.answer.StatusCode, waited, ran)
	c.proxy.health.answered()
	c.noteAnswered(sent.answer.StatusCode)
	c.noteHeld(sent.answer, ran)
	c.ticket.Unmeasured = sent.answer.StatusCode >= http.StatusInternalServerError
	c.deliver(sent)
}

// end closes the exchange and gives the slot back: at once when the back end has ended the
// call, and else when it has. The call may run there until its deadline; a back end that has
// not ended it CancelWait later never took it up. The sender of the call does not wait for that.
func (c *gateCall) end(sent *exchange, ran bool) {
	sent.close()
	done := func() { c.proxy.gate.Done(c.proxy.config.Clock(), c.ticket, ran) }
	running := sent.running()
	if running == nil {
		done()
		return
	}
	wait := c.proxy.limits.CancelWait
	if sent.answer == nil && c.foundToHang() {
		running, wait = c.proxy.startReplaced(c.start), c.proxy.limits.HungWait
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
func (c *gateCall) admit() admission.Verdict {
	gate := c.proxy.gate
	verdict := gate.Admit(c.proxy.config.Clock(), c.ticket)
	if verdict.State != admission.StateQueued {
		return verdict
	}
	latest := time.NewTimer(gate.LatestStart(c.ticket) - c.proxy.config.Clock())
	defer latest.Stop()
	select {
	case verdict = <-c.verdicts:
		return verdict
	case <-latest.C:
	case <-c.context.Done():
	}
	if !gate.Cancel(c.ticket) {
		// It was settled at the same moment; if it was started it holds a slot,
		// and sending it finds the context done before a byte is written.
		return <-c.verdicts
	}
	return admission.Verdict{State: admission.StateRefused, Code: c.endCode()}
}

// endCode is the code of a call that ended while it waited.
func (c *gateCall) endCode() result.Code {
	switch {
	case context.Cause(c.context) == errDrainBound:
		return result.Draining
	case c.request.Context().Err() != nil:
		return result.CallerGone
	}
	return result.DeadlineBeforeStart
}

// send sends the call to the back end. It is sent again only while it is
// certain that nothing was written.
func (c *gateCall) send() *exchange {
	c.relay = &informer{writer: c.writer}
	for try := 1; ; try++ {
		c.start = c.proxy.backendStart()
		sent := c.exchange()
		again := sent.err != nil && sent.unsent && c.body.replayable() && c.context.Err() == nil
		if !again || try == gateTries || !c.proxy.gate.StartAgain(c.proxy.config.Clock(), c.ticket) {
			return sent
		}
		sent.close()
	}
}

// exchange sends the call to the back end once. While it is under way it may be found to hang.
func (c *gateCall) exchange() *exchange {
	made := &c.sendings[c.sent]
	c.sent++
	*made = sending{call: c, start: c.start, sentAt: c.proxy.config.Clock()}
	watched := &c.proxy.hangs
	cell := watched.enter(made)
	defer watched.leave(cell)
	return c.proxy.backend.send(c.context, c.outgoing(), c.relay, c.proxy.config.Edge)
}

// refuse answers with a refusal and the load, from which senders learn.
func (c *gateCall) refuse(refusal Refusal) {
	refusal.Load = c.proxy.loadText()
	c.proxy.refuse(c.writer, c.body, refusal)
}

// deliver passes the answer on whole, or breaks the sender's connection.
func (c *gateCall) deliver(sent *exchange) {
	passing := delivery{
		writer: c.writer, control: c.control, stall: c.proxy.limits.StallTimeout,
		answer: sent.answer, upload: c.body, extra: c.answerHeaders,
	}
	passing.head()
	if err := passing.body(); err != nil {
		c.proxy.tally.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func (c *gateCall) answerHeaders(header http.Header) {
	header[headerLoad] = []string{c.proxy.loadText()}
	if c.proxy.closesAfter(c.request) {
		header.Set("Connection", "close")
	}
}

// loadText is the load header's value now.
func (p *Proxy) loadText() string {
	load := p.gate.Load()
	service := p.gate.MeanService()
	queued := load.Queued + p.transfers.asQueued(p.config.Clock(), load.Slots, service)
	report := endpoint.Report{Running: load.Running, Queued: queued, Service: service}
	report.Own, report.OwnAge = p.health.ownLoad()
	return formatLoad(report)
}

// outgoing makes the request to the back end. Of springstack's headers it gets
// those that an application may copy onto the calls it makes itself.
func (c *gateCall) outgoing() *http.Request {
	header := c.request.Header.Clone()
	noRetry := header.Get(headerNoRetry)
	request := header.Get(headerRequest)
	stripHopByHop(header)
	stripOwn(header)
	header.Del("Expect")
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""}
	}
	left := max(c.deadline-c.proxy.config.Clock(), 0)
	milliseconds := []string{strconv.FormatInt(left.Milliseconds(), 10)}
	if edge := c.proxy.config.Edge; edge != nil {
		header[edge.Deadline] = milliseconds
		header[edge.ExpectedInstance] = []string{c.backend}
	} else {
		header[headerTimeout] = milliseconds
		header[headerRequest] = []string{request}
		if noRetry != "" {
			header[headerNoRetry] = []string{noRetry}
		}
	}
	outgoing := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: header,
		URL:   c.proxy.target(c.proxy.config.BackendAddress, c.request, c.request.URL.EscapedPath()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.body != nil {
		outgoing.Body = c.body.open()
		outgoing.ContentLength = c.request.ContentLength
		outgoing.Trailer = c.request.Trailer
	}
	return outgoing
}
