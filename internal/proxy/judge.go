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

// refusalBytes bounds what is read of a refusal so that its connection can be
// used again.
const maxRefusalBytes = 4 << 10

// judge tells what became of an attempt, for the call and for the endpoint.
func (c *callerCall) classifyAttempt(made *attempt, set *endpoint.Set) {
	made.exchange.collect(c.proxy.limits.CollectBytes)
	now := c.proxy.config.Clock()
	made.outcome.Replayable = c.body.isReplayable()
	made.outcome.Others = set.HasUntried(now, c.triedEndpoints)
	answer := made.exchange.answer
	switch {
	case answer == nil:
		c.classifyFailure(made)
		return
	case answer.Header.Get(headerCode) != "":
		c.classifyRefusal(made, answer)
		made.outcome.Others = c.hasOtherEndpoint(made, set, now)
	default:
		made.outcome.Kind = retry.Answered
		made.endpointOutcome = endpoint.Succeeded
		if answer.StatusCode >= http.StatusInternalServerError {
			made.outcome.Failed = true
			made.endpointOutcome = endpoint.ServerError
		}
	}
	if report, found := parseLoad(answer.Header.Get(headerLoad)); found {
		made.endpoint.ApplyLoadReport(now, report)
	}
}

// othersAfter tells whether an endpoint is left that may take the call after a gate's refusal.
// A region that the gate does not allow binds the call from then on.
func (c *callerCall) hasOtherEndpoint(made *attempt, set *endpoint.Set, now time.Duration) bool {
	switch {
	case made.endpointOutcome == endpoint.Overloaded && !made.outcome.Arrived:
		// To ask gates that have just refused others would burden them for nothing.
		return set.HasUntriedWithCapacity(now, c.triedEndpoints)
	case made.outcome.Code == result.RegionNotAllowed:
		c.applyGateRegions(made.exchange.answer)
		return set.InRegions(c.regions).HasUntried(now, c.triedEndpoints)
	case made.outcome.Code == result.WarmingUp:
		return set.HasUntried(now, c.triedEndpoints) || set.ChooseCold(now, 0, c.triedEndpoints, c.priorityClass()) != nil
	}
	return set.HasUntried(now, c.triedEndpoints)
}

// judgeFailure weighs an attempt without an answer. Only the guard's proof
// makes it one that did not run.
func (c *callerCall) classifyFailure(made *attempt) {
	c.attemptDetail = describeFailure(made.exchange.err)
	made.endpointOutcome = endpoint.Broken
	switch {
	case made.exchange.unsent:
		made.outcome.Kind = retry.NotSent
		made.endpointOutcome = endpoint.Unreachable
	case c.body.readFailure() != nil:
		// The caller's own sending failed, so nothing can be sent again.
		made.outcome.Kind = retry.Broken
		made.outcome.Replayable = false
		made.endpointOutcome = endpoint.Cancelled
		c.attemptDetail = describeBodyFailure(c.body.readFailure())
	case c.context.Err() == context.DeadlineExceeded:
		// Under overload healthy endpoints are late as well, so this weighs less
		// than a break.
		made.outcome.Kind = retry.Expired
		made.endpointOutcome = endpoint.ServerError
	default:
		made.outcome.Kind = retry.Broken
	}
	if reason, ended := c.endReason(); ended && !made.exchange.unsent {
		c.recordAbandoned(made, reason)
	}
	if c.context.Err() != nil && made.exchange.unsent {
		made.endpointOutcome = endpoint.Cancelled
	}
	if c.request.Context().Err() != nil {
		made.endpointOutcome = endpoint.Cancelled
		if context.Cause(c.context) != errDrainBound {
			made.outcome.Kind = retry.CallerGone
		}
	}
}

// judgeRefusal reads the gate's word. One that can't be read counts as unknown.
func (c *callerCall) classifyRefusal(made *attempt, answer *http.Response) {
	made.outcome.Kind = retry.Refused
	made.outcome.Ran = result.RanUnknown
	made.endpointOutcome = endpoint.Succeeded
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
	c.setEndpointOutcome(made)
	c.recordInstanceEnd(answer.Header.Get(headerEnded))
	c.attemptDetail = ""
	// Reading the rest lets the connection be used again; it is short.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
}

// weighRefusal tells what a refusal says of the endpoint.
func (c *callerCall) setEndpointOutcome(made *attempt) {
	switch made.outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated:
		made.endpointOutcome = endpoint.NotAccepting
	case result.WarmingUp:
		made.endpointOutcome = endpoint.Cancelled
		made.endpoint.RecordColdRefusal(c.proxy.config.Clock(), made.outcome.RetryAfter, c.priorityClass())
	case result.QueueFull, result.DeadlineBeforeStart, result.Shed, result.ShareExceeded, result.Overloaded:
		made.endpointOutcome = endpoint.Overloaded
	case result.ConnectFailed:
		made.endpointOutcome = endpoint.Unreachable
	case result.BackendRefused:
		made.endpointOutcome = endpoint.Overloaded
		made.outcome.Arrived = true
	case result.BrokenInFlight:
		made.endpointOutcome = endpoint.Broken
	}
}

// describeFailure names a failure for callers, without addresses and without
// the library's request line.
func describeFailure(err error) string {
	if err == nil {
		return ""
	}
	return "The attempt failed: " + rootCause(err).Error() + "."
}

// describeBody names a failure to read a request's body.
func describeBodyFailure(err error) string {
	return "The request's body: " + rootCause(err).Error() + "."
}

// innermost unwraps an error to what it began with.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
