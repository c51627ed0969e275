package admission

import "time"

// isolation is the running call that is to run alone.
type isolation struct {
	ticket *Ticket
	// alone is closed when nothing else runs.
	alone chan struct{}
}

// Isolate keeps other calls from starting until a started call ends or EndIsolation is called. What
// it returns is closed once no other call runs, and nil where another one is isolated.
func (g *Gate) Isolate(ticket *Ticket) <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isolated.ticket != nil {
		return nil
	}
	g.isolated = isolation{ticket: ticket, alone: make(chan struct{})}
	g.word.Or(isolatedBit)
	g.noteAlone()
	return g.isolated.alone
}

// EndIsolation lets other calls start beside a call, if it is the isolated one.
func (g *Gate) EndIsolation(now time.Duration, ticket *Ticket) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.liftIsolation(ticket) {
		g.startFree(now)
	}
}

// liftIsolation ends the isolation of a call, if it has one; the lock is held.
func (g *Gate) liftIsolation(ticket *Ticket) bool {
	if g.isolated.ticket != ticket {
		return false
	}
	g.isolated = isolation{}
	g.word.And(^uint64(isolatedBit))
	return true
}

// noteAlone tells an isolated call that nothing else runs any more; the lock is held.
func (g *Gate) noteAlone() {
	if g.isolated.ticket == nil || g.word.Load()&runningMask > 1 {
		return
	}
	select {
	case <-g.isolated.alone:
	default:
		close(g.isolated.alone)
	}
}
