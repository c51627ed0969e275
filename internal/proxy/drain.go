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

// drain is the state of leaving.
type drain struct {
	started atomic.Bool
	// cutAt is when calls that still run are cut, on the clock.
	cutAt atomic.Int64
	// refusing is set once callers have had the linger to go elsewhere.
	refusing atomic.Bool
	// idle is signalled when the last call ends.
	idle chan struct{}
	done chan struct{}
}

func newDrain() drain {
	return drain{idle: make(chan struct{}, 1), done: make(chan struct{})}
}

// StartDrain refuses new work at the gate at once, or after the linger with
// Limits.GateLingers, and lets what runs end. The
// callers' side serves on for the linger, asking callers to close their
// connections, and then refuses with Draining.
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

// Drained is closed when a drain has ended: the linger has passed and no call
// runs any more, or the calls that ran past the hard bound have been cut.
func (p *Proxy) Drained() <-chan struct{} { return p.drain.done }

// timeUntilCut bounds the time of a call that comes while the daemon drains: gates are
// told no more than that, and refuse at once what can't end by then.
func (p *Proxy) limitTimeoutByDrain(timeout time.Duration) time.Duration {
	now := p.config.Clock()
	return max(0, p.limitDeadlineByDrain(now+timeout)-now)
}

// untilCut is the earlier of a time and the drain's hard bound, both on the clock. The gate
// admits calls by it while the daemon drains, so that one which can't end by then goes
// elsewhere rather than wait here. It does not end the call: what is cut at the bound is
// repeated elsewhere if it may be, and its back end is not blamed.
func (p *Proxy) limitDeadlineByDrain(deadline time.Duration) time.Duration {
	if !p.drain.started.Load() {
		return deadline
	}
	return min(deadline, time.Duration(p.drain.cutAt.Load()))
}

func (p *Proxy) runDrain() {
	linger := time.NewTimer(p.limits.DrainLinger)
	defer linger.Stop()
	bound := time.NewTimer(p.limits.DrainBound)
	defer bound.Stop()
	defer close(p.drain.done)
	select {
	case <-linger.C:
	case <-bound.C:
	case <-p.closed:
		return
	}
	p.drain.refusing.Store(true)
	p.starting.wakeAll() // what waits for the start is refused now
	p.closeGate()
	for p.runningCalls() > 0 {
		select {
		case <-p.drain.idle:
		case <-bound.C:
			p.logEvent("drain_bound")
			p.connections.cancelAll(errDrainBound)
			return
		case <-p.closed:
			return
		}
	}
}

func (p *Proxy) runningCalls() int64 {
	return p.runningCallerCalls.Load() + p.runningGateCalls.Load()
}

// leave counts the end of a call.
func (p *Proxy) endCall(counter *atomic.Int64) {
	counter.Add(-1)
	if p.drain.started.Load() && p.runningCalls() == 0 {
		select {
		case p.drain.idle <- struct{}{}:
		default:
		}
	}
}

// connections are the open connections of both listeners. They are entered and
// left once a connection, not once a call.
type connectionContexts struct {
	cancels sync.Map // of net.Conn to context.CancelCauseFunc
}

// open returns the context of a connection, which cut cancels.
func (c *connectionContexts) addConn(ctx context.Context, conn net.Conn) context.Context {
	bounded, cancel := context.WithCancelCause(ctx)
	c.cancels.Store(conn, cancel)
	bound := context.WithValue(bounded, connKey{}, conn)
	if counted, known := conn.(*countedConn); known && counted.pipelined != nil {
		counted.pipelined.Bind(bound)
	}
	return bound
}

// change follows the state of a connection.
func (c *connectionContexts) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		if counted, known := conn.(*countedConn); known {
			counted.endCall()
		}
	case http.StateClosed, http.StateHijacked:
		if cancel, found := c.cancels.LoadAndDelete(conn); found {
			cancel.(context.CancelCauseFunc)(nil)
		}
	}
}

// cut cancels the calls on all connections.
func (c *connectionContexts) cancelAll(cause error) {
	c.cancels.Range(func(_, cancel any) bool {
		cancel.(context.CancelCauseFunc)(cause)
		return true
	})
}
