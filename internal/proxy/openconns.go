package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errConnectionLimit is the error of openConns.reserve if the number of connections remained at the
// limit until the context ended.
const errConnectionLimit = errors.ConstError("the back end takes no more connections")

// openConns counts and limits the connections to a back end, from before they are opened until they
// are closed on this side. A nil *openConns, used for connections to gates, neither counts nor
// limits.
type openConns struct {
	mutex sync.Mutex
	// limit is the maximum number of connections; 0 for no limit.
	limit   int
	opening int
	open    map[*guardedConn]struct{}
	// freed is closed when the number of connections may have fallen below limit; nil while no
	// reserve waits.
	freed chan struct{}
}

// isLimited reports whether the number of connections is limited; none are opened ahead of calls
// then.
func (o *openConns) isLimited() bool {
	if o == nil {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.limit > 0
}

func (o *openConns) setLimit(limit int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.limit = limit
	o.wakeWaiting()
}

// reserve counts a connection that is about to be opened; add or release must follow. At the limit
// it closes idle connections and then waits, at most until the context ends: a connection counts
// until it is closed, which may be a moment after its call has released its slot.
func (o *openConns) reserve(ctx context.Context, closeIdle func()) error {
	for {
		if o.tryReserve() == nil {
			return nil
		}
		closeIdle()
		freed := o.tryReserve()
		if freed == nil {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return errConnectionLimit
		}
	}
}

// tryReserve counts a connection and returns nil, or, at the limit, returns a channel that is
// closed when the number of connections may have fallen.
func (o *openConns) tryReserve() (freed <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.limit <= 0 || o.opening+len(o.open) < o.limit {
		o.opening++
		return nil
	}
	if o.freed == nil {
		o.freed = make(chan struct{})
	}
	return o.freed
}

// wakeWaiting has the waiters in reserve retry; the mutex must be held.
func (o *openConns) wakeWaiting() {
	if o.freed != nil {
		close(o.freed)
		o.freed = nil
	}
}

func (o *openConns) release() {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.opening--
	o.wakeWaiting()
}

func (o *openConns) add(conn *guardedConn) {
	if o == nil {
		return
	}
	conn.onReleased = o.remove
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.opening--
	if o.open == nil {
		o.open = map[*guardedConn]struct{}{}
	}
	o.open[conn] = struct{}{}
}

func (o *openConns) remove(conn *guardedConn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.open, conn)
	o.wakeWaiting()
}

// count returns the number of connections that are open or being opened.
func (o *openConns) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.opening + len(o.open)
}

// openedBefore returns the connections opened before the given time.
func (o *openConns) openedBefore(cutoff time.Time) []*guardedConn {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var conns []*guardedConn
	for conn := range o.open {
		if conn.openedAt.Before(cutoff) {
			conns = append(conns, conn)
		}
	}
	return conns
}

// retire marks each connection that is open now to be closed when its call has ended.
func (o *openConns) retire() {
	for _, conn := range o.openedBefore(time.Now()) {
		conn.retired.Store(true)
	}
}

// abortOpenedBefore closes the connections opened before the given time, to a peer that no longer
// exists, and returns how many of them carried a call.
func (o *openConns) abortOpenedBefore(cutoff time.Time) int {
	calls := 0
	for _, conn := range o.openedBefore(cutoff) {
		if conn.unfinishedAttempt.Load() != nil {
			calls++
		}
		conn.abort()
	}
	return calls
}
