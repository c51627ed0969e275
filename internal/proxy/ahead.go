package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/bytebudget"
	"github.com/springstack/springstack/internal/pipeline"
)

// pipelineConfig returns the configuration for running pipelined requests of a caller's
// connection concurrently, within the limits of their heads; nil if they run one after another.
func (p *Proxy) pipelineConfig(heads *headLimits) *pipeline.Config {
	if p.limits.AheadCalls < 0 {
		return nil
	}
	return &pipeline.Config{
		Calls:       p.limits.AheadCalls,
		InputBytes:  p.limits.AheadInputBytes,
		AnswerBytes: p.limits.AheadAnswerBytes,
		Held:        p.answerBudget,
		Unread:      bytebudget.New(p.limits.AheadUnreadBytes),
		Admit:       heads.admitAhead,
		Handler:     http.HandlerFunc(p.serveAhead),
		MayRunAhead: p.mayRunAhead,
		OnStart:     p.recordRunAhead,
	}
}

// aheadKey is the context key that is set on requests that run ahead of their turn.
type aheadKey struct{}

// serveAhead serves a request ahead of its turn.
func (p *Proxy) serveAhead(writer http.ResponseWriter, request *http.Request) {
	p.serveCaller(writer, request.WithContext(context.WithValue(request.Context(), aheadKey{}, true)))
}

// mayRunAhead reports whether a request may run before the earlier requests of its connection
// are answered: its route must allow it to be repeated. A draining daemon runs no further
// request ahead, so that it can close the connection after the next answer.
func (p *Proxy) mayRunAhead(request *http.Request) bool {
	if p.drain.started.Load() || !p.mayServe() {
		return false
	}
	current := p.view.Load()
	target, _, ok := p.locate(request)
	if current.snapshot == nil || !ok {
		return false
	}
	route := current.findRoute(request, target)
	return route != nil && route.Repeatable(request.Method)
}

// recordRunAhead counts a request that runs ahead of its turn. depth is the number of such
// requests on its connection.
func (p *Proxy) recordRunAhead(depth int) {
	p.counters.callsAhead.Add(1)
	for {
		previousMax := p.counters.maxAheadDepth.Load()
		if int64(depth) <= previousMax || p.counters.maxAheadDepth.CompareAndSwap(previousMax, int64(depth)) {
			return
		}
	}
}

// replayAnswer writes the answer to a request that has run ahead, when the turn of that request has
// come. The request counts as a running call until its answer is written, so that a drain waits for
// it.
func (s *sideHandler) replayAnswer(writer http.ResponseWriter, request *http.Request, call *pipeline.Call) {
	p := s.proxy
	p.runningCallerCalls.Add(1)
	defer p.endCall(&p.runningCallerCalls)
	call.AwaitHead()
	if p.closesAfterAnswer(request) {
		writer.Header().Set("Connection", "close")
	}
	held, release := p.holdAnswer(http.NewResponseController(writer), p.limits.AheadAnswerBytes)
	defer release()
	// Without a deadline a caller that does not read would block the call forever.
	held.extendWriteDeadline(p.limits.StallTimeout)
	call.Replay(writer)
}

// alwaysLoggedWait is the turn wait from which on a request is logged even if it is not in the
// sample.
const alwaysLoggedWait = time.Second

// recordTurnWait records how long a request has waited for the earlier requests of its
// connection. ahead is set if the request ran while it waited.
func (s *sideHandler) recordTurnWait(request *http.Request, waited time.Duration, ahead bool) {
	if waited <= 0 {
		return
	}
	p := s.proxy
	observeDuration(p.config.Timings.Turn, waited)
	id := p.requestID(request.Header)
	if waited < alwaysLoggedWait && !isSampled(id) {
		return
	}
	p.trace("request_turn", func() []EventField {
		return []EventField{
			textField("request", id),
			textField("waited_ms", formatMillis(waited)),
			textField("ahead", strconv.FormatBool(ahead)),
		}
	})
}

// closesAfterAnswer reports whether the connection is closed after the answer to the given
// request: the daemon drains and no later request of the connection runs or has run ahead.
func (p *Proxy) closesAfterAnswer(request *http.Request) bool {
	if !p.drain.started.Load() {
		return false
	}
	conn, isCounted := request.Context().Value(connKey{}).(*countedConn)
	return !isCounted || !conn.hasPendingAnswers()
}

// turnWaitKey is the context key of the time that a request has waited for its turn.
type turnWaitKey struct{}

// withTurnWait returns the request with the time that it has waited for its turn in its
// context.
func withTurnWait(request *http.Request, waited time.Duration) *http.Request {
	if waited <= 0 {
		return request
	}
	return request.WithContext(context.WithValue(request.Context(), turnWaitKey{}, waited))
}

// turnWait returns the time that a request has waited for its turn. It is subtracted from the
// call's timeout, which counts from the request's arrival.
func turnWait(request *http.Request) time.Duration {
	waited, _ := request.Context().Value(turnWaitKey{}).(time.Duration)
	return waited
}
