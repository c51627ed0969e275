package hosted

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/verification"
)

const (
	// minVerifyTimeout is the shortest timeout for the ping of a daemon whose gate is
	// silent. A daemon answers at once even when its back end is full, but an upload ahead
	// of the answer on a slow link, or an exhausted CPU quota, may delay the answer. Slow
	// recent answers therefore extend the timeout (roundtrip.Estimator).
	minVerifyTimeout = 150 * time.Millisecond
	// minRemoteVerifyTimeout is the same for a daemon of another region.
	minRemoteVerifyTimeout = 450 * time.Millisecond
	// maxVerifyTimeout bounds the timeout, because most of the calls that wait for the
	// daemon have a deadline of a second or two.
	maxVerifyTimeout = 700 * time.Millisecond
	// pingTimeout bounds one ping. It is longer than maxVerifyTimeout, so that the
	// round-trip time of late answers is measured too.
	pingTimeout = 2 * time.Second
	// maxVerifyOverrun is how long after the timeout this daemon may notice that there was
	// no answer. If it notices later, it was itself stalled, so the missing answer says
	// nothing about the other daemon.
	maxVerifyOverrun = 50 * time.Millisecond
	// maxVerifyTries bounds the attempts that have no result because this daemon was
	// stalled.
	maxVerifyTries = 3
	// verifyRetryPeriod is how long an unreachable daemon is checked again. After that only the
	// regular comparisons of records contact it.
	verifyRetryPeriod = 30 * time.Second
)

// verifyReachable checks whether a daemon is reachable. If not, it marks the daemon as unreachable in
// the data path until a later check succeeds or verifyRetryPeriod is over. It does not block.
func (m *mesh) verifyReachable(id protocol.NodeID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if target, found := m.peerDirectory().Find(id); found {
		m.verifyReachableLocked(target)
	}
}

// verifyReachableLocked is verifyReachable with the lock held. It does nothing while too many other
// daemons are being checked: a later call or comparison that fails starts the check.
func (m *mesh) verifyReachableLocked(target dissemination.Peer) {
	if m.verifying[target.ID] != nil || m.context.Err() != nil || !m.pacer.TryBegin() {
		return
	}
	restarted := make(chan struct{}, 1)
	m.verifying[target.ID] = restarted
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.verifyUntilAnswered(target, restarted)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.verifying, target.ID)
	}()
}

// verifyUntilAnswered checks a daemon and acts on missing answers in two steps. After the first
// unanswered check, new calls go to other daemons, which does no harm if the daemon was only stalled
// for a moment. After the second one, the calls under way are also sent to other daemons. restarted
// receives a value when the daemon has started again.
func (m *mesh) verifyUntilAnswered(target dissemination.Peer, restarted <-chan struct{}) {
	isReachable := m.isReachable(target) || m.context.Err() != nil
	m.withPacer(func(pacer *verification.Pacer) { pacer.EndCheck(isReachable) })
	if isReachable {
		return
	}
	defer m.withPacer((*verification.Pacer).Recovered)
	m.events.event("peer_unreachable", field("peer", string(target.ID)))
	m.reachability.SetReachable(target.ID, false)
	if !m.isReachable(target) && m.context.Err() == nil {
		m.events.event("peer_given_up", field("peer", string(target.ID)))
		m.reachability.HedgeCalls(target.ID)
		m.awaitReachable(target, restarted)
	}
	m.reachability.SetReachable(target.ID, true)
	m.events.event("peer_reachable", field("peer", string(target.ID)))
}

// awaitReachable repeats the check until the daemon answers or has started again, for
// verifyRetryPeriod at most.
func (m *mesh) awaitReachable(target dissemination.Peer, restarted <-chan struct{}) {
	for began := m.clock(); m.clock()-began < verifyRetryPeriod; {
		timer := time.NewTimer(m.recheckDelay())
		select {
		case <-timer.C:
		case <-restarted:
			timer.Stop()
			return
		case <-m.context.Done():
			timer.Stop()
			return
		}
		if m.isReachable(target) {
			return
		}
	}
}

// recheckDelay returns the time until the next check of an unreachable daemon.
func (m *mesh) recheckDelay() (delay time.Duration) {
	daemons := m.daemonCount()
	m.withPacer(func(pacer *verification.Pacer) { delay = pacer.RecheckDelay(daemons, randomNumber()) })
	return delay
}

// reportRestart ends the verification of a daemon whose record shows that it has started again; the
// lock is held.
func (m *mesh) reportRestart(id protocol.NodeID) {
	if restarted := m.verifying[id]; restarted != nil {
		select {
		case restarted <- struct{}{}:
		default: // already reported
		}
	}
}

// withPacer calls a function with the pacer of checks, under the lock.
func (m *mesh) withPacer(use func(*verification.Pacer)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	use(&m.pacer)
}

// isReachable reports whether a daemon answers a ping in time. It repeats a ping whose timeout this
// daemon noticed too late (see maxVerifyOverrun).
func (m *mesh) isReachable(target dissemination.Peer) bool {
	minTimeout := minVerifyTimeout
	if target.Region != m.self.Region {
		minTimeout = minRemoteVerifyTimeout
	}
	timeout := min(max(m.roundTrips.Timeout(), minTimeout), maxVerifyTimeout)
	for attempt := 1; ; attempt++ {
		sentAt := m.clock()
		if m.isReachableWithin(target, timeout) {
			return true
		}
		stalled := m.clock()-sentAt > timeout+maxVerifyOverrun
		if !stalled || attempt == maxVerifyTries || m.context.Err() != nil {
			return false
		}
	}
}

// isReachableWithin pings a daemon and reports whether it answers within the timeout. The ping
// continues in the background after the timeout, so that the round-trip time of a late answer
// extends the next timeout.
func (m *mesh) isReachableWithin(target dissemination.Peer, timeout time.Duration) bool {
	answered := make(chan bool, 1)
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		answered <- m.ping(target)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		return false
	}
}

// ping sends an empty push, measures the round-trip time, and reports whether it was answered. A
// failure before pingTimeout may be that of an old connection, so the push is sent again over a new
// connection.
func (m *mesh) ping(target dissemination.Peer) bool {
	ctx, cancel := context.WithTimeout(m.context, pingTimeout)
	defer cancel()
	m.mutex.Lock()
	request := m.newComparisonRequest()
	m.mutex.Unlock()
	request.Push = true
	sentAt := m.clock()
	_, err := m.sendRequest(ctx, target.Address, request)
	if err != nil && ctx.Err() == nil {
		sentAt = m.clock()
		_, err = m.sendRequest(ctx, target.Address, request)
	}
	if err == nil {
		m.roundTrips.Observe(m.clock() - sentAt)
	}
	return err == nil
}
