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
		t.timer = time.AfterFunc(wait, conn.closeIdle)
	}
}

// closeIdle closes a connection on which no call is running. A call that the caller is sending at
// that moment does not run.
func (c *countedConn) closeIdle() {
	if c.phase.CompareAndSwap(phaseIdle, phaseRetired) {
		_ = c.Close() // wakes a blocked reader, which then ends
	}
}

// updateIdleTimer bounds how long a caller's connection is idle and how long the headers of a
// request take.
func (p *Proxy) updateIdleTimer(conn net.Conn, state http.ConnState) {
	counted, known := conn.(*countedConn)
	if !known {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		counted.idleTimer.reset(p.RequestLimits().IdleTimeout, counted)
	case http.StateActive:
		counted.idleTimer.reset(p.RequestLimits().HeaderTimeout, counted)
	}
}
