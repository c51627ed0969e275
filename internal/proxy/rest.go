package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// restTimer closes a connection that rests, or sends its headers, for longer
// than the configuration in force allows.
type idleTimer struct {
	mutex sync.Mutex
	timer *time.Timer
}

// await closes the connection after a time unless a request begins before. 0
// waits for nothing.
func (r *idleTimer) reset(wait time.Duration, conn *countedConn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	if wait > 0 {
		r.timer = time.AfterFunc(wait, conn.closeIdle)
	}
}

// closeResting closes a connection on which no call has begun. The caller may
// be sending one at this very moment; it is then not run.
func (c *countedConn) closeIdle() {
	if c.phase.CompareAndSwap(phaseIdle, phaseRetired) {
		_ = c.Close() // whoever reads is woken and ends
	}
}

// watchRest bounds the time that a caller's connection rests, and that the
// headers of a request take.
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
