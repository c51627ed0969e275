package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// maxRefusalBytes bounds how much is read of a refusal so that its connection can be reused.
const maxRefusalBytes = 4 << 10

// classifyAttempt sets the outcome of an attempt, for the call and for its endpoint.
func (c *callerCall) classifyAttempt(current *attempt, set *endpoint.Set) {
	current.exchange.collect(c.proxy.limits.CollectBytes)
	now := c.proxy.config.Clock()
	current.outcome.Replayable = c.body.isReplayable()
	current.outcome.Others = set.HasUntried(now, c.triedEndpoints)
	answer := current.exchange.answer
	switch {
	case answer == nil:
		c.classifyFailure(current)
		return
	case answer.Header.Get(headerCode) != "":
		c.classifyRefusal(current, answer)
		current.outcome.Others = c.hasOtherEndpoint(current, set, now)
	default:
		current.outcome.Kind = retry.Answered
		current.endpointOutcome = endpoint.Succeeded
		if answer.StatusCode >= http.StatusInternalServerError {
			current.outcome.Failed = true
			current.endpointOutcome = endpoint.ServerError
		}
		if c.proxy.config.Edge.statesLeaving(answer.Header) {
			current.endpointOutcome = endpoint.NotAccepting
		}
	}
	if report, found := parseLoad(answer.Header.Get(headerLoad)); found {
		current.endpoint.ApplyLoadReport(now, report)
	}
}

// hasOtherEndpoint reports whether an endpoint is left that may accept the call after a gate's
// refusal. A refusal for the region restricts the call to the regions that the gate allows from
// then on.
func (c *callerCall) hasOtherEndpoint(current *attempt, set *endpoint.Set, now time.Duration) bool {
	switch {
	case current.endpointOutcome == endpoint.Overloaded && !current.outcome.Arrived:
		// Gates that have just refused other calls are left out, since another attempt would only
		// add to their load and most likely be refused.
		return set.HasUntriedWithCapacity(now, c.triedEndpoints)
	case current.outcome.Code == result.RegionNotAllowed:
		c.applyGateRegions(current.exchange.answer)
		return set.InRegions(c.regions).HasUntried(now, c.triedEndpoints)
	case retry.LimitsStarts(current.outcome.Code):
		return set.HasUntried(now, c.triedEndpoints) || set.ChooseCold(now, 0, c.triedEndpoints, c.priorityClass()) != nil
	}
	return set.HasUntried(now, c.triedEndpoints)
}

// classifyFailure classifies an attempt without an answer. The attempt counts
// as not run only if its guard was sealed before anything was written.
func (c *callerCall) classifyFailure(current *attempt) {
	c.attemptDetail = describeFailure(current.exchange.err)
	current.endpointOutcome = endpoint.Broken
	switch {
	case current.exchange.unsent:
		current.outcome.Kind = retry.NotSent
		current.endpointOutcome = endpoint.Unreachable
	case c.body.readFailure() != nil:
		// Reading the caller's body failed, so nothing can be sent again.
		current.outcome.Kind = retry.Broken
		current.outcome.Replayable = false
		current.endpointOutcome = endpoint.Cancelled
		c.attemptDetail = describeBodyFailure(c.body.readFailure())
	case c.context.Err() == context.DeadlineExceeded:
		// Under overload healthy endpoints are late as well, so a timeout counts less than a broken
		// connection.
		current.outcome.Kind = retry.Expired
		current.endpointOutcome = endpoint.ServerError
	default:
		current.outcome.Kind = retry.Broken
	}
	if reason, ended := c.endReason(); ended && !current.exchange.unsent {
		c.recordAbandoned(current, reason)
	}
	if c.context.Err() != nil && current.exchange.unsent {
		current.endpointOutcome = endpoint.Cancelled
	}
	if c.request.Context().Err() != nil {
		current.endpointOutcome = endpoint.Cancelled
		if context.Cause(c.context) != errDrainBound {
			current.outcome.Kind = retry.CallerGone
		}
	}
}

// classifyRefusal reads the refusal of a gate. Fields that can't be read count as unknown.
func (c *callerCall) classifyRefusal(current *attempt, answer *http.Response) {
	current.outcome.Kind = retry.Refused
	current.outcome.Ran = result.RanUnknown
	current.endpointOutcome = endpoint.Succeeded
	code, err := strconv.Atoi(answer.Header.Get(headerCode))
	current.outcome.Code = result.Code(code)
	if err != nil {
		current.outcome.Code = result.Internal
	}
	if answer.Header.Get(headerRan) == string(result.RanNo) {
		current.outcome.Ran = result.RanNo
	}
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		current.outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.setEndpointOutcome(current)
	c.recordInstanceEnd(answer.Header.Get(headerEnded))
	c.attemptDetail = ""
	// Reading the rest, which is short, lets the connection be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
}

// setEndpointOutcome sets the outcome that a refusal means for the endpoint.
func (c *callerCall) setEndpointOutcome(current *attempt) {
	switch current.outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated:
		current.endpointOutcome = endpoint.NotAccepting
	case result.WarmingUp, result.BackendLimited:
		current.endpointOutcome = endpoint.Cancelled
		current.endpoint.RecordStartRefusal(c.proxy.config.Clock(), current.outcome.RetryAfter, c.priorityClass())
	case result.QueueFull, result.DeadlineBeforeStart, result.Shed, result.ShareExceeded, result.Overloaded:
		current.endpointOutcome = endpoint.Overloaded
	case result.ConnectFailed:
		current.endpointOutcome = endpoint.Unreachable
	case result.BackendRefused:
		current.endpointOutcome = endpoint.Overloaded
		current.outcome.Arrived = true
	case result.BrokenInFlight:
		current.endpointOutcome = endpoint.Broken
	}
}

// describeFailure describes a failure to callers, without addresses and without the library's
// request line.
func describeFailure(err error) string {
	if err == nil {
		return ""
	}
	return "The attempt failed: " + rootCause(err).Error() + "."
}

// describeBodyFailure describes to callers a failure to read a request's body, without addresses.
func describeBodyFailure(err error) string {
	return "The request's body: " + rootCause(err).Error() + "."
}

// rootCause returns the innermost wrapped error.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
