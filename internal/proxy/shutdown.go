package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// The stages of a listener that stops. A server can't close an idle HTTP/1.1 connection
// without the risk that the caller is sending a call on it, and the caller could not
// determine whether that call has run. So the server first waits for one more call on each
// connection, which it refuses as not run. It then announces the close on connections
// that are still idle, and only then closes them.
const (
	// stageServing: calls are handled.
	stageServing = iota
	// stageRefusing: calls are refused as not run, and their connections are closed.
	stageRefusing
	// stageRetiring: idle connections are retired, and new ones are refused.
	stageRetiring
)

const (
	// maxRefusingTime limits the duration of stageRefusing.
	maxRefusingTime = 250 * time.Millisecond
	// retiredConnWait is how long retired connections are kept open for calls that were in
	// transit when they were retired; longer than a round trip.
	retiredConnWait = 100 * time.Millisecond
	// backlogWait is how long Accept may need to return the connections that the operating
	// system has already accepted.
	backlogWait = 5 * time.Millisecond
	// stagePollInterval is how often a stage checks whether it can end early.
	stagePollInterval = 5 * time.Millisecond
)

// Shutdown stops accepting calls, closes idle connections so that every caller knows
// whether its call has run, and waits for the calls that run.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners := s.markStopping()
	if s.isWeb {
		return s.httpServer.Shutdown(ctx)
	}
	for _, listener := range listeners {
		listener.stage.Store(stageRefusing)
	}
	awaitConnsClosed(ctx, listeners, maxRefusingTime)
	for _, listener := range listeners {
		listener.stage.Store(stageRetiring)
		listener.retireIdle()
	}
	awaitConnsClosed(ctx, listeners, retiredConnWait)
	for _, listener := range listeners {
		listener.closeAfterBacklog()
	}
	awaitRefusals(ctx, listeners)
	awaitPendingAnswers(ctx, listeners)
	return s.httpServer.Shutdown(ctx)
}

// awaitConnsClosed waits until no connection is open or the timeout has passed.
func awaitConnsClosed(ctx context.Context, listeners []*boundedListener, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	poll := time.NewTicker(stagePollInterval)
	defer poll.Stop()
	for hasOpenConns(listeners) {
		select {
		case <-poll.C:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitRefusals waits until the refusals of new connections have been sent, for at most
// refusalTimeout.
func awaitRefusals(ctx context.Context, listeners []*boundedListener) {
	limitedContext, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	for _, listener := range listeners {
		for listener.refusingCount.Load() > 0 && limitedContext.Err() == nil {
			time.Sleep(stagePollInterval)
		}
	}
}

// awaitPendingAnswers waits until no connection has pending answers to requests after its
// current one. The Shutdown of net/http would close the connection after the current
// answer.
func awaitPendingAnswers(ctx context.Context, listeners []*boundedListener) {
	poll := time.NewTicker(stagePollInterval)
	defer poll.Stop()
	for hasPendingAnswers(listeners) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

func hasPendingAnswers(listeners []*boundedListener) bool {
	pending := false
	for _, listener := range listeners {
		listener.conns.Range(func(conn, _ any) bool {
			pending = pending || conn.(*countedConn).hasPendingAnswers()
			return !pending
		})
	}
	return pending
}

func hasOpenConns(listeners []*boundedListener) bool {
	for _, listener := range listeners {
		if listener.openCount.Load()+listener.refusingCount.Load() > 0 {
			return true
		}
	}
	return false
}

// retireIdle retires the connections without a running call.
func (l *boundedListener) retireIdle() {
	l.conns.Range(func(conn, _ any) bool {
		conn.(*countedConn).retire()
		return true
	})
}

// closeAfterBacklog closes the listener once Accept has returned the connections that the
// operating system has already accepted, and they are being refused. Closing it earlier
// would reset them.
func (l *boundedListener) closeAfterBacklog() {
	if listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if listener.SetDeadline(time.Now().Add(backlogWait)) == nil {
			<-l.acceptEnded
		}
	}
	_ = l.Close()
}

// stoppingRefusal returns the refusal for a connection on which no call runs any more.
func stoppingRefusal(status int) Refusal {
	return Refusal{
		Code:       result.Draining,
		Status:     status,
		Detail:     "The daemon is leaving. Nothing sent on this connection since its last answer has run.",
		RetryAfter: time.Second,
	}
}

// retire announces the close of a connection without a running call. The caller may be
// sending a call at this moment and could not determine from a mere close whether it has run.
// So retire sends an answer which states that nothing since the last answer has run; this
// remains true for calls that are still in transit. A caller that is idle interprets the
// status 408 as the close of its connection (RFC 9110, 15.5.9).
func (c *countedConn) retire() {
	if c.hasPendingAnswers() {
		return // endCall retires it later
	}
	if !c.phase.CompareAndSwap(phaseIdle, phaseRetired) {
		return
	}
	if c.listener.closesIdleSilently {
		_ = c.CloseWrite()
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Conn.Write(rawRefusal(stoppingRefusal(http.StatusRequestTimeout))); err == nil {
		_ = c.CloseWrite()
	}
}
