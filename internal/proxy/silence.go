package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// minSilence is how long a gate may answer no call of this daemon while an attempt waits
	// there, before Config.OnSilent requests a check of the gate's daemon. If the route has a
	// target, the limit is at least silenceTargetShare of it: with hundreds of daemons, each
	// calls a gate so rarely that the time since its last answer says little, and most long calls
	// would cause a check: 78 checks in 10 s at each of 295 daemons, half of all messages
	// between daemons.
	minSilence         = 120 * time.Millisecond
	silenceTargetShare = 0.5
	// silenceCheckInterval is the minimum time between two checks of one daemon for silence.
	silenceCheckInterval = 250 * time.Millisecond
)

// silenceLimit returns how long a gate may be silent while a call waits there. The target is
// the latency target of the call's route; 0 means none.
func silenceLimit(target time.Duration) time.Duration {
	return max(minSilence, time.Duration(float64(target)*silenceTargetShare))
}

// silenceMonitor detects that a gate answers no calls. The connections alone don't show
// whether such a gate is busy or whether it is disconnected, paused or without power.
type silenceMonitor struct {
	// answeredAt is when the gate last answered a call, checkedAt when a check of its daemon
	// was last requested, both in nanoseconds on the clock.
	answeredAt atomic.Int64
	checkedAt  atomic.Int64

	mutex sync.Mutex
	// hedgeableAttempts holds the waiting attempts that may be hedged, each with the function that
	// hedges it.
	hedgeableAttempts map[*attempt]func()
}

// watchSilence requests a check of an endpoint's daemon if its gate is silent for longer
// than the limit while an attempt waits there. The returned function must be called when
// the attempt has ended.
func (p *Proxy) watchSilence(gateUpstream *upstream, gateEndpoint *endpoint.Endpoint, limit time.Duration) (stop func()) {
	if p.config.OnSilent == nil {
		return func() {}
	}
	var ended atomic.Bool
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		if !ended.Load() {
			timer.Reset(p.checkSilence(gateUpstream, gateEndpoint.Node, limit))
		}
	})
	timer.Reset(limit)
	return func() {
		ended.Store(true)
		timer.Stop()
	}
}

// checkSilence requests a check of the daemon if its gate has been silent for the limit or
// longer. It returns the time until checkSilence must be called again.
func (p *Proxy) checkSilence(gateUpstream *upstream, node protocol.NodeID, limit time.Duration) time.Duration {
	now := p.config.Clock()
	if silentFor := now - time.Duration(gateUpstream.silence.answeredAt.Load()); silentFor < limit {
		return limit - silentFor
	}
	lastCheck := gateUpstream.silence.checkedAt.Load()
	if now-time.Duration(lastCheck) >= silenceCheckInterval && gateUpstream.silence.checkedAt.CompareAndSwap(lastCheck, int64(now)) {
		p.config.OnSilent(node)
	}
	return max(silenceCheckInterval, limit)
}

// recordGateAnswer records that a gate has answered a call.
func (p *Proxy) recordGateAnswer(gateUpstream *upstream) {
	gateUpstream.silence.answeredAt.Store(int64(p.config.Clock()))
}

// addHedgeable adds a waiting attempt that may be hedged, with the function that hedges it.
// That function is called when the gate's daemon is found to be unreachable, or the gate
// reports that the attempt hangs. It is called under the lock, so never after
// removeHedgeable.
func (s *silenceMonitor) addHedgeable(waiting *attempt, hedge func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.hedgeableAttempts == nil {
		s.hedgeableAttempts = map[*attempt]func(){}
	}
	s.hedgeableAttempts[waiting] = hedge
}

func (s *silenceMonitor) removeHedgeable(waiting *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.hedgeableAttempts, waiting)
}

// hedge hedges one attempt if it is in hedgeableAttempts.
func (s *silenceMonitor) hedge(waiting *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if startHedge := s.hedgeableAttempts[waiting]; startHedge != nil {
		startHedge()
	}
}

// hedgeAll hedges all attempts in hedgeableAttempts.
func (s *silenceMonitor) hedgeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, startHedge := range s.hedgeableAttempts {
		startHedge()
	}
}

// SetReachable records whether a daemon answers its peers. New calls avoid an
// unreachable daemon. The idle connections to its gate are closed, so that calls which are still
// sent there fail to connect instead of being lost on a dead connection.
func (p *Proxy) SetReachable(node protocol.NodeID, reachable bool) {
	p.forEachEndpoint(node, func(candidate *endpoint.Endpoint, gateUpstream *upstream) {
		candidate.SetReachable(reachable)
		if gateUpstream != nil && !reachable {
			gateUpstream.closeIdle()
		}
	})
}

// RenewConnections closes the idle connections to gates and to the back end, so that the
// next calls are sent over new connections.
func (p *Proxy) RenewConnections() {
	for _, gateUpstream := range p.view.Load().upstreams {
		gateUpstream.closeIdle()
	}
	if p.backend != nil {
		p.backend.closeIdle()
	}
}

// GiveUp hedges the attempts at a daemon that does not answer: as far as the retry budget
// allows, each call makes another attempt elsewhere while the first one continues.
func (p *Proxy) GiveUp(node protocol.NodeID) {
	p.forEachEndpoint(node, func(_ *endpoint.Endpoint, gateUpstream *upstream) {
		if gateUpstream != nil {
			gateUpstream.silence.hedgeAll()
		}
	})
}

// forEachEndpoint calls visit for each endpoint of a daemon, with the connections to it,
// which may be nil.
func (p *Proxy) forEachEndpoint(node protocol.NodeID, visit func(*endpoint.Endpoint, *upstream)) {
	current := p.view.Load()
	for _, service := range current.services {
		for _, candidate := range service.set.All {
			if candidate.Node == node {
				visit(candidate, current.upstreams[candidate.Address])
			}
		}
	}
}
