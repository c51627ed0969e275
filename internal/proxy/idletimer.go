package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimer closes a connection that is idle, or sends its headers, for longer than the
// configuration in force allows.
type idleTimer struct {
	mutex sync.Mutex
	timer *time.Timer
}

// reset stops the timer. Unless wait is 0, it starts the timer again to close the connection after
// wait.
func (t *idleTimer) reset(wait time.Duration, conn *countedConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if wait > 0 {
		t.timer = time.AfterFunc(wait, func() { conn.closeIdle() })
	}
}

// closeIdle closes a connection on which no call is running. A call that the caller is sending at
// that moment does not run. It returns false if a call is running or the connection is retired.
func (c *countedConn) closeIdle() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseRetired) {
		return false
	}
	_ = c.Close() // wakes a blocked reader, which then ends
	return true
}

// updateIdleTimer bounds how long a caller's connection is idle and how long the headers of a
// request take.
func (p *Proxy) updateIdleTimer(conn net.Conn, state http.ConnState) {
	limitedConn, isCounted := conn.(*countedConn)
	if !isCounted {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		limitedConn.idleTimer.reset(p.RequestLimits().IdleTimeout, limitedConn)
	case http.StateActive:
		limitedConn.idleTimer.reset(p.RequestLimits().HeaderTimeout, limitedConn)
	}
}
