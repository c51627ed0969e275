package admission

import "time"

// isolation holds the isolated call: no other call may start until it ends or EndIsolation is
// called.
type isolation struct {
	ticket *Ticket
	// aloneSignal is closed once no other call runs.
	aloneSignal chan struct{}
}

// Isolate prevents other calls from starting until the given started call ends or EndIsolation
// is called. The returned channel is closed once no other call runs; it is nil if another call
// is isolated already.
func (g *Gate) Isolate(ticket *Ticket) <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isolated.ticket != nil {
		return nil
	}
	g.isolated = isolation{ticket: ticket, aloneSignal: make(chan struct{})}
	g.word.Or(isolatedBit)
	g.signalIfAlone()
	return g.isolated.aloneSignal
}

// EndIsolation ends the isolation of a call and starts queued calls; it has no effect if the
// call is not isolated.
func (g *Gate) EndIsolation(now time.Duration, ticket *Ticket) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.liftIsolation(ticket) {
		g.fillFreeSlots(now)
	}
}

// liftIsolation ends the isolation of a call and reports whether it was isolated. The caller
// holds the lock.
func (g *Gate) liftIsolation(ticket *Ticket) bool {
	if g.isolated.ticket != ticket {
		return false
	}
	g.isolated = isolation{}
	g.word.And(^uint64(isolatedBit))
	return true
}

// signalIfAlone closes the channel of the isolated call if no other call runs. The caller holds
// the lock.
func (g *Gate) signalIfAlone() {
	if g.isolated.ticket == nil || g.word.Load()&runningMask > 1 {
		return
	}
	select {
	case <-g.isolated.aloneSignal:
	default:
		close(g.isolated.aloneSignal)
	}
}
