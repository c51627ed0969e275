package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// The stages of a listener that stops. HTTP/1.1 has no way to close a kept
// connection without a moment in which the caller may be sending on it, and
// such a call would be in doubt. So every connection gets its chance to carry
// one more call, which is refused as not run; those that stay idle get the
// close announced; and only then are they closed.
const (
	// stageServing: calls are served.
	stageServing = iota
	// stageRefusing: calls are refused as not run, and their connections closed.
	stageRefusing
	// stageRetiring: idle connections are retired, new ones refused.
	stageRetiring
)

const (
	// refusingWait bounds stageRefusing.
	maxRefusingTime = 250 * time.Millisecond
	// retireWait is how long retired connections are kept for what was on its
	// way when they were retired: more than a round trip.
	retiredConnWait = 100 * time.Millisecond
	// backlogWait is how long the last connections that the system has taken
	// may need to be handed out.
	backlogWait = 5 * time.Millisecond
	// stagePoll is how often a stage looks whether it can end early.
	stagePollInterval = 5 * time.Millisecond
)

// Shutdown stops taking calls, ends the connections without a call so that
// none is in doubt, and waits for the calls that run.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners := s.markStopping()
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

// awaitConns waits until no connection is open, but not longer than a bound.
func awaitConnsClosed(ctx context.Context, listeners []*boundedListener, wait time.Duration) {
	bound := time.NewTimer(wait)
	defer bound.Stop()
	poll := time.NewTicker(stagePollInterval)
	defer poll.Stop()
	for hasOpenConns(listeners) {
		select {
		case <-poll.C:
		case <-bound.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitRefused waits for the refusals of the last connections.
func awaitRefusals(ctx context.Context, listeners []*boundedListener) {
	bounded, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	for _, listener := range listeners {
		for listener.refusingCount.Load() > 0 && bounded.Err() == nil {
			time.Sleep(stagePollInterval)
		}
	}
}

// awaitOwed waits until no connection owes answers to requests behind its current
// one: the library closes connections after the current answer.
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
	owed := false
	for _, listener := range listeners {
		listener.conns.Range(func(conn, _ any) bool {
			owed = owed || conn.(*countedConn).hasPendingAnswers()
			return !owed
		})
	}
	return owed
}

func hasOpenConns(listeners []*boundedListener) bool {
	for _, listener := range listeners {
		if listener.openCount.Load()+listener.refusingCount.Load() > 0 {
			return true
		}
	}
	return false
}

// retireIdle retires the connections that carry no call.
func (l *boundedListener) retireIdle() {
	l.conns.Range(func(conn, _ any) bool {
		conn.(*countedConn).retire()
		return true
	})
}

// closeEmpty closes the listener once the connections that the system has
// already taken have been handed out and refused. Closing it before would
// reset them.
func (l *boundedListener) closeAfterBacklog() {
	if deadline, can := l.Listener.(interface{ SetDeadline(time.Time) error }); can {
		if deadline.SetDeadline(time.Now().Add(backlogWait)) == nil {
			<-l.acceptEnded
		}
	}
	_ = l.Close()
}

// leavingRefusal is what is said on a connection that takes no call any more.
func stoppingRefusal(status int) Refusal {
	return Refusal{
		Code:       result.Draining,
		Status:     status,
		Detail:     "The daemon is leaving. Nothing sent on this connection since its last answer has run.",
		RetryAfter: time.Second,
	}
}

// retire ends a connection that carries no call. The caller may be sending one
// at this very moment, and a bare close would leave it in doubt; so the close
// is announced by an answer that says that nothing more has run, and that
// holds for whatever is still sent. An idle caller takes an answer with this
// status for the close that it is (RFC 9110, 15.5.9).
func (c *countedConn) retire() {
	if c.hasPendingAnswers() {
		return // finished retires it
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
