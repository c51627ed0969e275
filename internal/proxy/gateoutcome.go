package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// classifyOutcome returns the refusal of a call that has no answer to forward; false means that it
// has one.
func (c *gateCall) classifyOutcome(sentExchange *exchange) (Refusal, bool) {
	if sentExchange.err == nil {
		sentExchange.collect(c.proxy.limits.CollectBytes)
	}
	if sentExchange.err == nil {
		return c.classifyAnswer(sentExchange.answer)
	}
	detail := describeFailure(sentExchange.err)
	switch {
	case sentExchange.unsent && errors.Is(sentExchange.err, errConnectionLimit):
		return Refusal{Code: result.QueueFull, Detail: detail, RetryAfter: time.Second}, true
	case sentExchange.unsent && c.context.Err() == nil:
		c.proxy.handleBackendUnreachable(c.start)
		return Refusal{Code: result.ConnectFailed, Detail: detail, RetryAfter: time.Second}, true
	case sentExchange.unsent:
		return Refusal{Code: result.DeadlineBeforeStart, Detail: detail}, true
	case context.Cause(c.context) == errDrainBound:
		return Refusal{Code: result.DrainBound}, true
	case isStallError(c.body.readFailure()), c.body.isEvicted():
		return Refusal{Code: result.SlowPeer}, true
	case c.context.Err() == context.DeadlineExceeded:
		return Refusal{Code: result.DeadlineInFlight}, true
	case c.context.Err() != nil:
		return Refusal{Code: result.CallerGone}, true
	}
	return Refusal{Code: result.BrokenInFlight, Detail: detail}, true
}

// classifyAnswer returns a refusal if the back end reports with a 503 that it shed the call.
func (c *gateCall) classifyAnswer(answer *http.Response) (Refusal, bool) {
	if edge := c.proxy.config.Edge; edge != nil {
		return c.classifyEdgeAnswer(edge, answer)
	}
	isShed := answer.StatusCode == http.StatusServiceUnavailable &&
		answer.Header.Get(headerBackendRan) == string(result.RanNo)
	if !isShed {
		return Refusal{}, false
	}
	// Reading the answer to its end frees the connection and the slot.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
	refusal := Refusal{Code: result.Shed, Detail: "The back end has shed the call.", RetryAfter: time.Second}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal, true
}

// classifyEdgeAnswer returns a refusal if a back end of a foreign platform reports that it did not
// run the call.
func (c *gateCall) classifyEdgeAnswer(edge *Edge, answer *http.Response) (Refusal, bool) {
	if !edge.isNotExecuted(answer) {
		return Refusal{}, false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return Refusal{Code: result.WrongBackend}, true
	}
	return Refusal{Code: result.BackendRefused}, true
}

// recordBackendResult records whether the back end answered or failed the call. It reports a
// failure to the daemon unless the call was already reported as hung.
func (c *gateCall) recordBackendResult(sentExchange *exchange, refusal Refusal, refused bool, serviceTime time.Duration) {
	failed := false
	switch {
	case refused:
		failed = isBackendFailure(refusal.Code)
	default:
		failed = sentExchange.answer.StatusCode >= http.StatusInternalServerError
	}
	if (failed || !refused) && c.start == c.proxy.backendStart() {
		c.proxy.rolloutAnswers.Record(c.ticket.Class, failed, !c.proxy.isWarming(), serviceTime)
	}
	switch {
	case !failed && !refused:
		c.proxy.counters.succeededCalls.Add(1)
	case failed && c.proxy.config.OnBackendFailed != nil && !c.isHung():
		c.proxy.config.OnBackendFailed(c.start, c.proxy.counters.succeededCalls.Load())
	}
}

// isBackendFailure reports whether a call that held a slot and ended with the code was failed by
// its back end: its connection broke, or the back end refused, shed or did not answer it in time.
func isBackendFailure(code result.Code) bool {
	switch code {
	case result.BrokenInFlight, result.DeadlineInFlight, result.BackendRefused, result.Shed:
		return true
	}
	return false
}
