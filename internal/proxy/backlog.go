package proxy

import (
	"github.com/springstack/springstack/internal/pipeline"
	"github.com/springstack/springstack/internal/result"
)

const (
	// maxBackloggedCalls is the maximum number of calls that run at a time for connections with a backlog.
	maxBackloggedCalls = 8
	// maxExcessCalls is that for connections whose backlog exceeds the limits.
	maxExcessCalls = 2
)

// awaitBacklogTurn delays a call of a connection with a backlog until few such calls run. Their callers
// send requests without awaiting answers, so that they would fill the queues of the gates and other
// callers would be refused. A call that runs ahead of its turn is not delayed: it may have to await an
// earlier call of its connection. awaitBacklogTurn returns false, with a refusal, if the call's time ends
// before. release must be called when the call has ended.
func (c *callerCall) awaitBacklogTurn() (release func(), refusal Refusal, passed bool) {
	conn := c.pipelinedConn()
	runsAhead, _ := c.request.Context().Value(aheadKey{}).(bool)
	if conn == nil || runsAhead {
		return func() {}, Refusal{}, true
	}
	var turns chan struct{}
	switch conn.Backlog() {
	case pipeline.NoBacklog:
		return func() {}, Refusal{}, true
	case pipeline.RefusedBacklog:
		turns = c.proxy.backlogTurns
	case pipeline.ExcessBacklog:
		turns = c.proxy.excessTurns
	}
	select {
	case turns <- struct{}{}:
		return func() { <-turns }, Refusal{}, true
	case <-c.context.Done():
		if conn.Backlog() == pipeline.ExcessBacklog {
			// The requests behind are as late. Reading and refusing them would take the processor from
			// other callers; on a closed connection they count as not read.
			c.writer.Header().Set("Connection", "close")
		}
		return nil, Refusal{Code: result.DeadlineBeforeStart}, false
	}
}

// noteRefusal records at the call's connection if the call was refused for want of capacity.
func (c *callerCall) noteRefusal(refusal Refusal) {
	conn := c.pipelinedConn()
	if conn != nil && refusal.execution() == result.RanNo && defaultRetryAfter(refusal.Code) > 0 {
		conn.RecordRefusal()
	}
}

// pipelinedConn returns the call's connection; nil if pipelined requests don't run ahead there.
func (c *callerCall) pipelinedConn() *pipeline.Conn {
	conn, isCounted := c.request.Context().Value(connKey{}).(*countedConn)
	if !isCounted {
		return nil
	}
	return conn.pipelined
}
