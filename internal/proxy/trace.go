package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// Tracer logs decisions about single requests. Its methods must not block.
type Tracer interface {
	// Wants reports whether an event with the given name is to be written now. The fields of
	// the event are collected only if so.
	Wants(event string) bool
	// Write writes an event for which Wants returned true.
	Write(Event)
}

// Timings are functions that receive durations, for histograms. They must not block; each
// may be nil.
type Timings struct {
	// Caller receives the total time of a caller's request.
	Caller func(time.Duration)
	// Turn receives the wait of a caller's request for earlier ones on its connection.
	Turn func(time.Duration)
	// Queue receives the time from a call's arrival at the gate until it gets a slot.
	Queue func(time.Duration)
	// Backend receives the time from when a call gets its slot until the back end has
	// answered it or it has failed.
	Backend func(time.Duration)
}

// observeDuration calls a function of Timings with a duration unless the function is nil.
func observeDuration(receive func(time.Duration), duration time.Duration) {
	if receive != nil {
		receive(duration)
	}
}

// trace writes an event about a request. It calls fields only if the event is wanted.
func (p *Proxy) trace(event string, fields func() []EventField) {
	if p.config.Trace == nil || !p.config.Trace.Wants(event) {
		return
	}
	p.config.Trace.Write(Event{Name: event, Fields: fields()})
}

// requestID returns the id of a request in logs: the caller's own id if there is an Edge,
// and otherwise the id of the attempt.
func (p *Proxy) requestID(header http.Header) string {
	if p.config.Edge != nil {
		return header.Get(p.config.Edge.RequestID)
	}
	return header.Get(headerRequest)
}

// isSampled reports whether a successful request is logged: one in sampleDivisor, chosen by
// an FNV-1a hash of the id, so that all daemons log the same requests.
func isSampled(id string) bool {
	const sampleDivisor = 128
	sum := uint32(2166136261)
	for index := range len(id) {
		sum = (sum ^ uint32(id[index])) * 16777619
	}
	return sum%sampleDivisor == 0
}

func formatInt(value int) string { return strconv.Itoa(value) }

func formatMillis(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration.Microseconds())/1000, 'f', 1, 64)
}

func textField(key, value string) EventField { return EventField{Key: key, Value: value} }

// traceAttempt logs the outcome of a failed attempt, the state of its endpoint and the next
// step.
func (c *callerCall) traceAttempt(tried *attempt, step retry.Step) {
	if tried.outcome.Kind == retry.Answered && !tried.outcome.Failed {
		return
	}
	c.proxy.trace("attempt_ended", func() []EventField {
		now := c.proxy.config.Clock()
		fields := append(c.identityFields(),
			textField("attempt", formatInt(len(c.triedEndpoints))),
			textField("outcome", outcomeNames[tried.outcome.Kind]),
			textField("left_ms", formatMillis(c.deadline-now)),
			textField("next", stepNames[step.Action]))
		if tried.outcome.Code != 0 {
			fields = append(fields, textField("code", formatInt(int(tried.outcome.Code))), textField("ran", string(tried.outcome.Ran)))
		}
		if tried.exchange != nil && tried.exchange.answer != nil {
			fields = append(fields, textField("status", formatInt(tried.exchange.answer.StatusCode)))
		}
		if c.attemptDetail != "" {
			fields = append(fields, textField("detail", c.attemptDetail))
		}
		return append(fields, endpointFields(tried.endpoint, now)...)
	})
}

// identityFields returns the fields that every event about a call begins with.
func (c *callerCall) identityFields() []EventField {
	fields := []EventField{
		textField("request", c.proxy.requestID(c.request.Header)),
		textField("route", c.route.Resource.Name),
		textField("service", c.service.Name),
	}
	if current := c.proxy.view.Load().snapshot; current != nil {
		fields = append(fields, versionField(current.Version))
	}
	return fields
}

// endpointFields returns the fields for the known state of an endpoint and its age.
func endpointFields(chosen *endpoint.Endpoint, now time.Duration) []EventField {
	if chosen == nil {
		return []EventField{textField("endpoint", "none")}
	}
	return []EventField{
		textField("endpoint", chosen.Backend),
		textField("peer", string(chosen.Node)),
		textField("state", chosen.State.String()),
		textField("record_age_ms", formatMillis(chosen.RecordAge(now))),
		textField("outstanding", formatInt(chosen.Outstanding())),
	}
}

var outcomeNames = map[retry.OutcomeKind]string{
	retry.Answered:   "failure_answered",
	retry.Refused:    "refused_by_gate",
	retry.NotSent:    "not_sent",
	retry.Broken:     "broken",
	retry.Expired:    "expired",
	retry.CallerGone: "caller_gone",
	retry.NoEndpoint: "no_endpoint",
}

var stepNames = map[retry.Action]string{
	retry.Send:    "send_again",
	retry.Deliver: "deliver",
	retry.Refuse:  "refuse",
}

// traceRefusal logs the final refusal of a call.
func (c *callerCall) traceRefusal(refusal Refusal) {
	c.proxy.trace("request_refused", func() []EventField {
		now := c.proxy.config.Clock()
		fields := c.identityFields()
		if c.suspicion.signed {
			fields = append(fields, textField("signature", c.suspicion.signature.String()))
		}
		return append(fields,
			textField("code", formatInt(int(refusal.Code))),
			textField("name", refusal.Code.Name()),
			textField("ran", string(refusal.execution())),
			textField("attempts", formatInt(len(c.triedEndpoints))),
			textField("held_ms", formatMillis(c.timeout-(c.deadline-now))),
			textField("left_ms", formatMillis(c.deadline-now)),
			textField("budget", c.retries.BudgetRemaining(now)),
			textField("under_way", strconv.FormatBool(c.hedgedAttempt != nil)),
			c.proxy.drainField())
	})
}

// drainField returns the field that states whether this daemon has begun to drain.
func (p *Proxy) drainField() EventField {
	return textField("draining", strconv.FormatBool(p.drain.started.Load()))
}

// traceEarlyRefusal logs the refusal of a request that was not accepted as a call, or whose
// body could not be read before the first attempt.
func (p *Proxy) traceEarlyRefusal(request *http.Request, refusal Refusal) {
	p.trace("request_turned_away", func() []EventField {
		fields := []EventField{
			textField("request", p.requestID(request.Header)),
			textField("host", request.Host),
			textField("code", formatInt(int(refusal.Code))),
			textField("name", refusal.Code.Name()),
			p.drainField(),
		}
		if refusal.Code != result.NoRoute {
			return fields
		}
		return append(fields, p.versionFields()...)
	})
}

// versionFields returns the fields for the configuration version in force and its freshness.
func (p *Proxy) versionFields() []EventField {
	var fields []EventField
	if current := p.view.Load().snapshot; current != nil {
		fields = append(fields, versionField(current.Version))
	}
	if p.config.Freshness != nil {
		fields = append(fields, p.config.Freshness()...)
	}
	return fields
}

func versionField(version protocol.Version) EventField {
	return textField("version", strconv.FormatUint(uint64(version), 10))
}

// traceAnswer logs the end of an answered call if it failed, took several attempts or is
// sampled. The error is that by which the answer was truncated, or nil.
func (c *callerCall) traceAnswer(tried *attempt, err error) {
	status := tried.exchange.answer.StatusCode
	failed := err != nil || status >= http.StatusInternalServerError || len(c.triedEndpoints) > 1
	if !failed && !isSampled(c.proxy.requestID(c.request.Header)) {
		return
	}
	fields := func() []EventField {
		now := c.proxy.config.Clock()
		fields := append(c.identityFields(),
			textField("status", formatInt(status)),
			textField("attempts", formatInt(len(c.triedEndpoints))),
			textField("held_ms", formatMillis(c.timeout-(c.deadline-now))))
		if err != nil {
			fields = append(fields, textField("detail", rootCause(err).Error()))
		}
		return append(fields, endpointFields(tried.endpoint, now)...)
	}
	if err != nil {
		c.proxy.trace("request_cut", fields)
		return
	}
	c.proxy.trace("request_answered", fields)
}

// traceGate logs the result of a call at the gate if the gate refused it, it failed at the
// back end, or it is sampled.
func (c *gateCall) traceGate(event string, outcome result.Code, status int, waited, ran time.Duration) {
	id := c.proxy.requestID(c.request.Header)
	ordinary := outcome == result.OK && status < http.StatusInternalServerError
	if ordinary && !isSampled(id) {
		return
	}
	c.proxy.trace(event, func() []EventField {
		load := c.proxy.gate.Load()
		fields := []EventField{
			textField("request", id),
			textField("instance", c.backend),
			textField("running", formatInt(load.Running)),
			textField("queued", formatInt(load.Queued)),
			textField("slots", formatInt(load.Slots)),
			textField("mean_ms", formatMillis(c.proxy.gate.MeanServiceTime())),
			textField("waited_ms", formatMillis(waited)),
			textField("ran_ms", formatMillis(ran)),
			textField("left_ms", formatMillis(c.deadline-c.proxy.config.Clock())),
		}
		if outcome != result.OK {
			fields = append(fields, textField("code", formatInt(int(outcome))), textField("name", outcome.Name()))
		}
		if status != 0 {
			fields = append(fields, textField("status", formatInt(status)))
		}
		return fields
	})
}
