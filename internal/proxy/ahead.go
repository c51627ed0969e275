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
func (p *Proxy) aheadConfig() *pipeline.Config {
	if p.limits.AheadCalls < 0 {
		return nil
	}
	return &pipeline.Config{
		Calls:       p.limits.AheadCalls,
		InputBytes:  p.limits.AheadInputBytes,
		AnswerBytes: p.limits.AheadAnswerBytes,
		Held:        p.held,
		Handler:     http.HandlerFunc(p.serveCaller),
		MayRunAhead: p.mayRunAhead,
		OnStart:     p.startedAhead,
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
	route := current.find(request, located)
	return route != nil && route.Repeatable(request.Method)
}

// startedAhead counts a request that runs ahead.
func (p *Proxy) startedAhead(depth int) {
	p.tally.ahead.Add(1)
	for {
		deepest := p.tally.aheadDepth.Load()
		if int64(depth) <= deepest || p.tally.aheadDepth.CompareAndSwap(deepest, int64(depth)) {
			return
		}
	}
}

// replay answers a request that has run ahead, in its turn. It counts as running
// until then, so that a drain waits for it.
func (s *side) replay(writer http.ResponseWriter, request *http.Request, call *pipeline.Call) {
	p := s.proxy
	p.callersRunning.Add(1)
	defer p.leave(&p.callersRunning)
	call.Await()
	if p.closesAfter(request) {
		writer.Header().Set("Connection", "close")
	}
	// Without a deadline a caller that does not read could hold the call.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(p.limits.StallTimeout))
	call.Replay(writer)
}

// longWait is a wait for a request's turn that is always logged.
const longWait = time.Second

// waited notes how long a request has waited behind others of its connection.
func (s *side) waited(request *http.Request, waited time.Duration, ahead bool) {
	if waited <= 0 {
		return
	}
	p := s.proxy
	observe(p.config.Timings.Turn, waited)
	id := p.requestID(request.Header)
	if waited < longWait && !sampled(id) {
		return
	}
	p.traced("request_turn", func() []EventField {
		return []EventField{
			textField("request", id),
			textField("waited_ms", millis(waited)),
			textField("ahead", strconv.FormatBool(ahead)),
		}
	})
}

// closesAfter tells whether a connection is closed after the answer to its
// current request: when the daemon drains, and no request behind it has run ahead.
func (p *Proxy) closesAfter(request *http.Request) bool {
	if !p.drain.started.Load() {
		return false
	}
	conn, counted := request.Context().Value(connKey{}).(*countedConn)
	return !counted || !conn.owes()
}

// waitKey is the key, in a request's context, of the time for which it has waited
// for its turn.
type waitKey struct{}

// withWait notes how long a request has waited for its turn.
func withWait(request *http.Request, waited time.Duration) *http.Request {
	if waited <= 0 {
		return request
	}
	return request.WithContext(context.WithValue(request.Context(), waitKey{}, waited))
}

// waitOf is how long a request has waited for its turn behind others of its
// connection. Its time counts from its arrival.
func waitOf(request *http.Request) time.Duration {
	waited, _ := request.Context().Value(waitKey{}).(time.Duration)
	return waited
}
