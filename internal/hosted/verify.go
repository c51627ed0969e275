package hosted

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// verifyTimeout is how long a daemon may at least take to answer when its gate is
	// silent. It answers at once even when its back end is full, but an upload ahead of
	// the answer on a slow link, or a processor whose share is spent, may hold it up:
	// what other answers took lately makes the timeout longer (roundtrip.Estimator).
	minVerifyTimeout = 150 * time.Millisecond
	// verifyFarTimeout is the same for a daemon of another region.
	minRemoteVerifyTimeout = 450 * time.Millisecond
	// verifyLimit bounds the timeout: of the calls that such a question is about most
	// have a second or two.
	maxVerifyTimeout = 700 * time.Millisecond
	// questionLimit is how long an answer is waited for in all.
	pingTimeout = 2 * time.Second
	// verifyLate is how late this daemon may find out that there was no answer. If
	// it is later, it stood still itself and knows nothing of the other one.
	maxVerifyOverrun = 50 * time.Millisecond
	// verifyTries bounds the questions of which this daemon knows nothing.
	maxVerifyTries = 3
	// verifyPause is the time between questions to an unreachable daemon, and
	// verifyFor how long it is asked before only the usual comparisons do.
	verifyRetryDelay  = 300 * time.Millisecond
	verifyRetryPeriod = 30 * time.Second
)

// verify finds out whether a daemon can be reached, and tells the data path.
// One that can't is asked again until it answers. It does not block.
func (m *mesh) verifyReachable(id protocol.NodeID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if target, found := m.peerDirectory().Find(id); found {
		m.verifyReachableLocked(target)
	}
}

// verifyLocked is verify with the lock held.
func (m *mesh) verifyReachableLocked(target dissemination.Peer) {
	if m.verifying[target.ID] || m.context.Err() != nil {
		return
	}
	m.verifying[target.ID] = true
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.verifyUntilAnswered(target)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.verifying, target.ID)
	}()
}

// verifyUntilAnswered acts by degrees: after the first question without an answer
// new calls go elsewhere, which does no harm if the daemon only stood still for a
// moment; after the second one the calls under way are sent elsewhere as well.
func (m *mesh) verifyUntilAnswered(target dissemination.Peer) {
	if m.isReachable(target) || m.context.Err() != nil {
		return
	}
	m.events.event("peer_unreachable", field("peer", string(target.ID)))
	m.reachability.SetReachable(target.ID, false)
	if !m.isReachable(target) && m.context.Err() == nil {
		m.events.event("peer_given_up", field("peer", string(target.ID)))
		m.reachability.HedgeCalls(target.ID)
		m.awaitReachable(target)
	}
	m.reachability.SetReachable(target.ID, true)
	m.events.event("peer_reachable", field("peer", string(target.ID)))
}

// awaitAnswer asks until the daemon answers, for a while.
func (m *mesh) awaitReachable(target dissemination.Peer) {
	for began := m.clock(); m.clock()-began < verifyRetryPeriod; {
		if !pause.For(m.context, verifyRetryDelay) || m.isReachable(target) {
			return
		}
	}
}

// answers tells whether a daemon answers in time. What this daemon learns late it
// asks again.
func (m *mesh) isReachable(target dissemination.Peer) bool {
	least := minVerifyTimeout
	if target.Region != m.self.Region {
		least = minRemoteVerifyTimeout
	}
	timeout := min(max(m.roundTrips.Timeout(), least), maxVerifyTimeout)
	for try := 1; ; try++ {
		asked := m.clock()
		if m.isReachableWithin(target, timeout) {
			return true
		}
		late := m.clock()-asked > timeout+maxVerifyOverrun
		if !late || try == maxVerifyTries || m.context.Err() != nil {
			return false
		}
	}
}

// answersWithin sends an empty push and tells whether it is answered in time. One that
// is answered later is still waited for, so that the next timeout allows for it.
func (m *mesh) isReachableWithin(target dissemination.Peer, timeout time.Duration) bool {
	answered := make(chan bool, 1)
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		answered <- m.ping(target)
	}()
	bound := time.NewTimer(timeout)
	defer bound.Stop()
	select {
	case fine := <-answered:
		return fine
	case <-bound.C:
		return false
	}
}

// question sends an empty push and measures how long its answer takes. A failure that
// comes at once may be that of an old connection, so it is sent again over a new one.
func (m *mesh) ping(target dissemination.Peer) bool {
	ctx, cancel := context.WithTimeout(m.context, pingTimeout)
	defer cancel()
	m.mutex.Lock()
	request := m.newComparisonRequest()
	m.mutex.Unlock()
	request.Push = true
	asked := m.clock()
	_, err := m.client.Call(ctx, target.Address, request)
	if err != nil && ctx.Err() == nil {
		asked = m.clock()
		_, err = m.client.Call(ctx, target.Address, request)
	}
	if err == nil {
		m.roundTrips.Observe(m.clock() - asked)
	}
	return err == nil
}
