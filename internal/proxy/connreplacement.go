package proxy

import (
	"cmp"
	"slices"
	"time"
)

// replacementPause is the accept loop's pause for each connection that it has closed for a new one, and
// pausedReplacements the number of connections after which it pauses. Clients that connect again at once
// otherwise take the processor from the calls.
const (
	replacementPause   = 250 * time.Microsecond
	pausedReplacements = 8
)

// maxClosedUnused is how many connections without a request are closed at a time, so that not each new
// connection has to look for one.
const maxClosedUnused = 16

// replaceConn makes room for a new connection: by closeOldest, or else by evictBody. It returns false if
// there is none.
func (l *boundedListener) replaceConn() bool {
	closedCount := l.closeOldest()
	if closedCount == 0 {
		return l.evictBody()
	}
	l.replacedCount += closedCount
	if l.replacedCount >= pausedReplacements {
		time.Sleep(time.Duration(l.replacedCount) * replacementPause)
		l.replacedCount = 0
	}
	return true
}

// closeOldest closes idle connections: the oldest ones that have not carried a call yet, else the one
// that has been idle for longest. If none is idle and replacesBusy is set, it closes the oldest one. It
// returns how many it has closed.
func (l *boundedListener) closeOldest() int {
	var unused []*countedConn
	var oldest, oldestBusy *countedConn
	l.conns.Range(func(key, _ any) bool {
		conn := key.(*countedConn)
		switch {
		case conn.phase.Load() != phaseIdle:
			oldestBusy = conn.olderOf(oldestBusy)
		case !conn.isUsed.Load():
			unused = append(unused, conn)
		default:
			oldest = conn.olderOf(oldest)
		}
		return true
	})
	if closedCount := closeUnused(unused); closedCount > 0 {
		return closedCount
	}
	switch {
	case oldest != nil && oldest.closeIdle():
		return 1
	case !l.replacesBusy || oldestBusy == nil:
		return 0
	}
	_ = oldestBusy.Close() // the connection is given up
	return 1
}

// closeUnused closes the oldest of the given connections, which have not carried a call: at most half of
// them, or a single one. It returns how many it has closed.
func closeUnused(unused []*countedConn) (closedCount int) {
	slices.SortFunc(unused, func(a, b *countedConn) int { return cmp.Compare(a.phaseSince.Load(), b.phaseSince.Load()) })
	for _, conn := range unused[:min(len(unused), max(1, len(unused)/2), maxClosedUnused)] {
		if conn.closeIdle() {
			closedCount++
		}
	}
	return closedCount
}

// olderOf returns the one of two connections whose phase has changed earlier; other may be nil.
func (c *countedConn) olderOf(other *countedConn) *countedConn {
	if other == nil || c.phaseSince.Load() < other.phaseSince.Load() {
		return c
	}
	return other
}

// evictBody ends the call whose body has been awaited for longest; its connection is closed soon. It
// returns false if there is none.
func (l *boundedListener) evictBody() bool { return l.bodies != nil && l.bodies.evictOldest() }
