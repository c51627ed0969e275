package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	errClosed     = errors.ConstError("the proxy is closed")
	errDrainBound = errors.ConstError("the hard bound of the drain has passed")
)

// drain is the state of the proxy's drain.
type drain struct {
	started atomic.Bool
	// cutAt is the deadline of the drain, at which the calls still running are cancelled, on the
	// proxy's clock.
	cutAt atomic.Int64
	// refusing is set after Limits.DrainLinger; callers' requests are refused from then on.
	refusing atomic.Bool
	// lastCallEnded receives a value when the last running call ends.
	lastCallEnded chan struct{}
	// done is closed when the drain has ended.
	done chan struct{}
}

func newDrain() drain {
	return drain{lastCallEnded: make(chan struct{}, 1), done: make(chan struct{})}
}

// StartDrain starts a drain, during which running calls may end. The gate refuses new calls at
// once or, with Limits.GateLingers, after Limits.DrainLinger. The callers' side serves calls for
// DrainLinger, asking callers to close their connections, and then refuses them with
// result.Draining.
func (p *Proxy) StartDrain() {
	p.drain.cutAt.CompareAndSwap(0, int64(p.config.Clock()+p.limits.DrainBound))
	if !p.drain.started.CompareAndSwap(false, true) {
		return
	}
	if !p.limits.GateLingers {
		p.closeGate()
	}
	go p.runDrain()
}

func (p *Proxy) closeGate() {
	if p.gate != nil {
		p.gate.Close()
	}
}

// Drained returns a channel that is closed when a drain has ended: DrainLinger has passed and no
// call is running, or the calls still running at the drain's deadline have been cancelled.
func (p *Proxy) Drained() <-chan struct{} { return p.drain.done }

// limitTimeoutByDrain limits the timeout of a call to the time left until the deadline of a
// running drain. The limited timeout is sent to gates, which refuse at once calls that can't end
// in time.
func (p *Proxy) limitTimeoutByDrain(timeout time.Duration) time.Duration {
	now := p.config.Clock()
	return max(0, p.limitDeadlineByDrain(now+timeout)-now)
}

// limitDeadlineByDrain returns the earlier of a deadline and the deadline of a running drain, both
// on the proxy's clock. While the daemon drains, the gate uses the result for admission, so that a
// call that can't end in time is sent elsewhere instead of waiting here. The call's own deadline
// stays: a call that the drain cancels can be repeated elsewhere if that is allowed, and is not
// counted as a failure of its back end.
func (p *Proxy) limitDeadlineByDrain(deadline time.Duration) time.Duration {
	if !p.drain.started.Load() {
		return deadline
	}
	return min(deadline, time.Duration(p.drain.cutAt.Load()))
}

func (p *Proxy) runDrain() {
	lingerTimer := time.NewTimer(p.limits.DrainLinger)
	defer lingerTimer.Stop()
	deadlineTimer := time.NewTimer(p.limits.DrainBound)
	defer deadlineTimer.Stop()
	defer close(p.drain.done)
	select {
	case <-lingerTimer.C:
	case <-deadlineTimer.C:
	case <-p.closed:
		return
	}
	p.drain.refusing.Store(true)
	p.starting.wakeAll() // wakes calls that wait for the daemon's start, to be refused
	p.closeGate()
	for p.runningCalls() > 0 {
		select {
		case <-p.drain.lastCallEnded:
		case <-deadlineTimer.C:
			p.logEvent("drain_bound")
			p.connContexts.cancelAll(errDrainBound)
			return
		case <-p.closed:
			return
		}
	}
}

func (p *Proxy) runningCalls() int64 {
	return p.runningCallerCalls.Load() + p.runningGateCalls.Load()
}

// endCall decrements a counter of running calls, and signals lastCallEnded if the
// daemon drains and no call is left.
func (p *Proxy) endCall(counter *atomic.Int64) {
	counter.Add(-1)
	if p.drain.started.Load() && p.runningCalls() == 0 {
		select {
		case p.drain.lastCallEnded <- struct{}{}:
		default:
		}
	}
}

// connectionContexts holds the cancel functions of the contexts of all open connections. It is
// updated per connection, not per call.
type connectionContexts struct {
	cancelFuncs sync.Map // of net.Conn to context.CancelCauseFunc
}

// addConn returns the context of a new connection, which cancelAll cancels.
func (c *connectionContexts) addConn(ctx context.Context, conn net.Conn) context.Context {
	cancellable, cancel := context.WithCancelCause(ctx)
	c.cancelFuncs.Store(conn, cancel)
	connContext := context.WithValue(cancellable, connKey{}, conn)
	if counted, ok := conn.(*countedConn); ok && counted.pipelined != nil {
		counted.pipelined.Bind(connContext)
	}
	return connContext
}

// onStateChange handles a state change of a connection.
func (c *connectionContexts) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		if counted, ok := conn.(*countedConn); ok {
			counted.endCall()
		}
	case http.StateClosed, http.StateHijacked:
		if cancel, found := c.cancelFuncs.LoadAndDelete(conn); found {
			cancel.(context.CancelCauseFunc)(nil)
		}
	}
}

// cancelAll cancels the calls on all connections.
func (c *connectionContexts) cancelAll(cause error) {
	c.cancelFuncs.Range(func(_, cancel any) bool {
		cancel.(context.CancelCauseFunc)(cause)
		return true
	})
}
