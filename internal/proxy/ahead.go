package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/pipeline"
)

// aheadConfig says how requests that callers send one behind another on a
// connection run side by side; nil means that they do not.
func (p *Proxy) pipelineConfig() *pipeline.Config {
	if p.limits.AheadCalls < 0 {
		return nil
	}
	return &pipeline.Config{
		Calls:       p.limits.AheadCalls,
		InputBytes:  p.limits.AheadInputBytes,
		AnswerBytes: p.limits.AheadAnswerBytes,
		Held:        p.heldAnswers,
		Handler:     http.HandlerFunc(p.serveCaller),
		MayRunAhead: p.mayRunAhead,
		OnStart:     p.recordRunAhead,
	}
}

// mayRunAhead tells whether a request may run before its turn: its route must let
// it be repeated. A daemon that drains starts nothing that way, so that the next
// answer can be the connection's last.
func (p *Proxy) mayRunAhead(request *http.Request) bool {
	if p.drain.started.Load() || !p.mayServe() {
		return false
	}
	current := p.view.Load()
	located, _, fine := p.locate(request)
	if current.snapshot == nil || !fine {
		return false
	}
	route := current.findRoute(request, located)
	return route != nil && route.Repeatable(request.Method)
}

// startedAhead counts a request that runs ahead.
func (p *Proxy) recordRunAhead(depth int) {
	p.counters.ranAhead.Add(1)
	for {
		deepest := p.counters.aheadDepth.Load()
		if int64(depth) <= deepest || p.counters.aheadDepth.CompareAndSwap(deepest, int64(depth)) {
			return
		}
	}
}

// replay answers a request that has run ahead, in its turn. It counts as running
// until then, so that a drain waits for it.
func (s *sideHandler) replayAnswer(writer http.ResponseWriter, request *http.Request, call *pipeline.Call) {
	p := s.proxy
	p.runningCallerCalls.Add(1)
	defer p.endCall(&p.runningCallerCalls)
	call.AwaitHead()
	if p.closesAfterAnswer(request) {
		writer.Header().Set("Connection", "close")
	}
	// Without a deadline a caller that does not read could hold the call.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(p.limits.StallTimeout))
	call.Replay(writer)
}

// longWait is a wait for a request's turn that is always logged.
const alwaysLoggedWait = time.Second

// waited notes how long a request has waited behind others of its connection.
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

// closesAfter tells whether a connection is closed after the answer to its
// current request: when the daemon drains, and no request behind it has run ahead.
func (p *Proxy) closesAfterAnswer(request *http.Request) bool {
	if !p.drain.started.Load() {
		return false
	}
	conn, counted := request.Context().Value(connKey{}).(*countedConn)
	return !counted || !conn.hasPendingAnswers()
}

// waitKey is the key, in a request's context, of the time for which it has waited
// for its turn.
type turnWaitKey struct{}

// withWait notes how long a request has waited for its turn.
func withTurnWait(request *http.Request, waited time.Duration) *http.Request {
	if waited <= 0 {
		return request
	}
	return request.WithContext(context.WithValue(request.Context(), turnWaitKey{}, waited))
}

// waitOf is how long a request has waited for its turn behind others of its
// connection. Its time counts from its arrival.
func turnWait(request *http.Request) time.Duration {
	waited, _ := request.Context().Value(turnWaitKey{}).(time.Duration)
	return waited
}
