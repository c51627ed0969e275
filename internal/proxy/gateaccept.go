package proxy

import (
	"net/http"
	"strconv"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// acceptGateCall checks that the call names this back end, this incarnation and a request form that
// is allowed here, and that the call may run in this region.
func (p *Proxy) acceptGateCall(request *http.Request, body *upload) (*gateCall, Refusal, bool) {
	header := request.Header
	isForBackend := p.gate != nil && header.Get(headerHop) == hopGate &&
		header.Get(headerBackend) == p.backendInstance() &&
		header.Get(headerService) == p.config.Service.String()
	if incarnation := header.Get(headerIncarnation); incarnation != "" {
		isForBackend = isForBackend && p.incarnations.contains(incarnation)
	}
	if !isForBackend {
		return nil, Refusal{Code: result.WrongBackend}, false
	}
	if refusal, ok := p.checkRequest(request); !ok {
		return nil, refusal, false
	}
	current := p.view.Load()
	if refusal, allowed := p.checkRegion(current, request); !allowed {
		return nil, refusal, false
	}
	body.requireHash()
	call := &gateCall{
		proxy: p, request: request, body: body, timeout: routing.DefaultTimeout, backend: header.Get(headerBackend),
		routingTable: current.routes,
	}
	if timeout, isStated := parseTimeout(header); isStated {
		call.timeout = timeout
	}
	call.deadline = p.config.Clock() + call.timeout
	call.ticket = call.newTicket()
	return call, Refusal{}, true
}

// newTicket returns the ticket for admission, built from the headers that the sender has set.
func (c *gateCall) newTicket() *admission.Ticket {
	header := c.request.Header
	priority, err := strconv.Atoi(header.Get(headerPriority))
	if err != nil {
		priority = int(resource.PriorityNormal)
	}
	partner := header.Get(headerPartner)
	c.decisions = make(decisionChannel, 1)
	call := admission.Call{
		Class:    parseClass(header.Get(headerClass)),
		Partner:  resource.Partner(partner),
		Priority: resource.Priority(priority),
		Deadline: c.proxy.limitDeadlineByDrain(c.deadline),
		Request:  c.proxy.fingerprint("request", header.Get(headerRequest)),
		Key:      c.proxy.fingerprint("key", partner, header.Get(headerRequestKey)),
	}
	if timeLeft, isStated := parseTarget(header.Get(headerTarget)); isStated {
		// A target that has passed is still a target; 0 would mean none.
		call.Target = max(c.proxy.config.Clock()+timeLeft, 1)
		call.Patient = c.body.isLarge()
	}
	if c.proxy.config.Baseline.UnboundedQueue {
		call.Partner = ""
		call.Priority = resource.PriorityNormal
	}
	return admission.NewTicket(call, c.decisions)
}
