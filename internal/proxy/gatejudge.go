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

// judge tells whether there is an answer to pass on, and else the refusal.
func (c *gateCall) classifyOutcome(sent *exchange) (Refusal, bool) {
	if sent.err == nil {
		sent.collect(c.proxy.limits.CollectBytes)
	}
	if sent.err == nil {
		return c.classifyAnswer(sent.answer)
	}
	detail := describeFailure(sent.err)
	switch {
	case sent.unsent && errors.Is(sent.err, errConnectionLimit):
		return Refusal{Code: result.QueueFull, Detail: detail, RetryAfter: time.Second}, true
	case sent.unsent && c.context.Err() == nil:
		c.proxy.handleBackendUnreachable(c.start)
		return Refusal{Code: result.ConnectFailed, Detail: detail, RetryAfter: time.Second}, true
	case sent.unsent:
		return Refusal{Code: result.DeadlineBeforeStart, Detail: detail}, true
	case context.Cause(c.context) == errDrainBound:
		return Refusal{Code: result.DrainBound}, true
	case isStallError(c.body.readFailure()):
		return Refusal{Code: result.SlowPeer}, true
	case c.context.Err() == context.DeadlineExceeded:
		return Refusal{Code: result.DeadlineInFlight}, true
	case c.context.Err() != nil:
		return Refusal{Code: result.CallerGone}, true
	}
	return Refusal{Code: result.BrokenInFlight, Detail: detail}, true
}

// judgeAnswer takes a back end's own word that it has shed a call.
func (c *gateCall) classifyAnswer(answer *http.Response) (Refusal, bool) {
	if edge := c.proxy.config.Edge; edge != nil {
		return c.classifyEdgeAnswer(edge, answer)
	}
	shed := answer.StatusCode == http.StatusServiceUnavailable &&
		answer.Header.Get(headerBackendRan) == string(result.RanNo)
	if !shed {
		return Refusal{}, false
	}
	// Read to its end, it leaves the connection and the slot free.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
	refusal := Refusal{Code: result.Shed, Detail: "The back end has shed the call.", RetryAfter: time.Second}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal, true
}

// judgeEdgeAnswer takes the word of a back end of a foreign platform.
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

// noteBackend counts whether the back end has answered the call or failed it.
func (c *gateCall) recordBackendResult(sent *exchange, refusal Refusal, refused bool, ran time.Duration) {
	failed := false
	switch {
	case refused:
		failed = isBackendFailure(refusal.Code)
	default:
		failed = sent.answer.StatusCode >= http.StatusInternalServerError
	}
	if (failed || !refused) && c.start == c.proxy.backendStart() {
		c.proxy.rolloutAnswers.Record(c.ticket.Class, failed, !c.proxy.isWarming(), ran)
	}
	switch {
	case !failed && !refused:
		c.proxy.counters.succeeded.Add(1)
	case failed && c.proxy.config.OnBackendFailed != nil && !c.isHung():
		c.proxy.config.OnBackendFailed(c.start, c.proxy.counters.succeeded.Load())
	}
}

// failsBackend tells whether a call that ended with a code, after it had a slot, was
// failed by its back end: broken, turned away, or not answered in its time.
func isBackendFailure(code result.Code) bool {
	switch code {
	case result.BrokenInFlight, result.DeadlineInFlight, result.BackendRefused, result.Shed:
		return true
	}
	return false
}
