package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errConnectionsTaken refuses a connection beyond what the back end takes.
const errConnectionLimit = errors.ConstError("the back end takes no more connections")

// openConns are the connections to a back end, from before they are opened until they are
// closed on this side. To those of a gate, which are not counted, nil stands.
type openConns struct {
	mutex sync.Mutex
	// limit bounds them; 0 for no bound.
	limit   int
	opening int
	open    map[*guardedConn]struct{}
	// freed is closed when a place is; nil while nobody waits for one.
	freed chan struct{}
}

// bounded tells whether the other side bounds its connections; none are opened ahead then.
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

// reserve takes the place of a connection that is about to be opened, if need be that of an
// idle one; add or release follows. One whose call has ended keeps its place until it is closed,
// a moment longer than the call keeps its slot: that is waited for, until the context ends.
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

// take takes a place, or returns what is closed when one may be free.
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

// wake has those that wait for a place look again; the lock is held.
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

// count is how many are open or being opened.
func (o *openConns) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.opening + len(o.open)
}

// before are the connections opened before a time.
func (o *openConns) openedBefore(at time.Time) []*guardedConn {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []*guardedConn
	for conn := range o.open {
		if conn.openedAt.Before(at) {
			found = append(found, conn)
		}
	}
	return found
}

// retire has each connection that is open now closed when its call has ended.
func (o *openConns) retire() {
	for _, conn := range o.openedBefore(time.Now()) {
		conn.retired.Store(true)
	}
}

// end closes the connections opened before a time, whose other side is no more, and returns
// how many of them carried a call.
func (o *openConns) abortOpenedBefore(at time.Time) int {
	calls := 0
	for _, conn := range o.openedBefore(at) {
		if conn.unfinished.Load() != nil {
			calls++
		}
		conn.abort()
	}
	return calls
}
