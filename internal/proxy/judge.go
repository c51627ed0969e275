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
const refusalBytes = 4 << 10

// judge tells what became of an attempt, for the call and for the endpoint.
func (c *callerCall) judge(made *attempt, set *endpoint.Set) {
	made.exchange.collect(c.proxy.limits.CollectBytes)
	now := c.proxy.config.Clock()
	made.outcome.Replayable = c.body.replayable()
	made.outcome.Others = set.HasUntried(now, c.tried)
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
		made.evidence = endpoint.Succeeded
		if answer.StatusCode >= http.StatusInternalServerError {
			made.outcome.Failed = true
			made.evidence = endpoint.ServerError
		}
	}
	if report, found := parseLoad(answer.Header.Get(headerLoad)); found {
		made.chosen.ApplyLoadReport(now, report)
	}
}

// othersAfter tells whether an endpoint is left that may take the call after a gate's refusal.
// A region that the gate does not allow binds the call from then on.
func (c *callerCall) othersAfter(made *attempt, set *endpoint.Set, now time.Duration) bool {
	switch {
	case made.evidence == endpoint.Overloaded && !made.outcome.Arrived:
		// To ask gates that have just refused others would burden them for nothing.
		return set.HasUntriedWithCapacity(now, c.tried)
	case made.outcome.Code == result.RegionNotAllowed:
		c.bindAsGate(made.exchange.answer)
		return set.InRegions(c.regions).HasUntried(now, c.tried)
	case made.outcome.Code == result.WarmingUp:
		return set.HasUntried(now, c.tried) || set.ChooseCold(now, 0, c.tried, c.class()) != nil
	}
	return set.HasUntried(now, c.tried)
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
		made.evidence = endpoint.Cancelled
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
		made.evidence = endpoint.Cancelled
	}
	if c.request.Context().Err() != nil {
		made.evidence = endpoint.Cancelled
		if context.Cause(c.context) != errDrainBound {
			made.outcome.Kind = retry.CallerGone
		}
	}
}

// judgeRefusal reads the gate's word. One that can't be read counts as unknown.
func (c *callerCall) judgeRefusal(made *attempt, answer *http.Response) {
	made.outcome.Kind = retry.Refused
	made.outcome.Ran = result.RanUnknown
	made.evidence = endpoint.Succeeded
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
	c.weighRefusal(made)
	c.noteEnded(answer.Header.Get(headerEnded))
	c.detail = ""
	// Reading the rest lets the connection be used again; it is short.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, refusalBytes))
}

// weighRefusal tells what a refusal says of the endpoint.
func (c *callerCall) weighRefusal(made *attempt) {
	switch made.outcome.Code {
	case result.Draining, result.WrongBackend, result.ZoneEvacuated:
		made.evidence = endpoint.NotAccepting
	case result.WarmingUp:
		made.evidence = endpoint.Cancelled
		made.chosen.RecordColdRefusal(c.proxy.config.Clock(), made.outcome.RetryAfter, c.class())
	case result.QueueFull, result.DeadlineBeforeStart, result.Shed, result.ShareExceeded, result.Overloaded:
		made.evidence = endpoint.Overloaded
	case result.ConnectFailed:
		made.evidence = endpoint.Unreachable
	case result.BackendRefused:
		made.evidence = endpoint.Overloaded
		made.outcome.Arrived = true
	case result.BrokenInFlight:
		made.evidence = endpoint.Broken
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
