package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// silenceWait is how long a gate may owe an answer, and answer nobody, before
	// the daemon is asked whether it is there at all. Where the route states a
	// target it is targetShare of that, if longer: among hundreds of daemons each
	// meets a gate so seldom that one answer says nothing of the next, and most
	// calls that take long would have their daemons asked (78 questions in 10 s at
	// each of 295 daemons, half of all messages between them).
	minSilence         = 120 * time.Millisecond
	silenceTargetShare = 0.5
	// silencePause is the least time between two such questions.
	silenceCheckInterval = 250 * time.Millisecond
)

// silenceOf is how long a gate may owe the answer of a call whose route states a
// target, which is 0 for none.
func silenceLimit(target time.Duration) time.Duration {
	return max(minSilence, time.Duration(float64(target)*silenceTargetShare))
}

// silence watches for a gate that answers nothing: one that is cut off, paused
// or without power looks like one that is busy.
type silenceMonitor struct {
	// heardAt is when the gate last answered, askedAt when it was last asked
	// for, on the clock.
	answeredAt atomic.Int64
	checkedAt  atomic.Int64

	mutex sync.Mutex
	// waiting are the attempts that may be made elsewhere, with what gives them up.
	hedgeable map[*attempt]func()
}

// watch asks for the daemon of an endpoint if the gate stays silent for a time while
// an attempt waits. What it returns must be called when the attempt has ended.
func (p *Proxy) watchSilence(path *upstream, chosen *endpoint.Endpoint, wait time.Duration) (stop func()) {
	if p.config.OnSilent == nil {
		return func() {}
	}
	var ended atomic.Bool
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		if !ended.Load() {
			timer.Reset(p.checkSilence(path, chosen.Node, wait))
		}
	})
	timer.Reset(wait)
	return func() {
		ended.Store(true)
		timer.Stop()
	}
}

// lookAfter asks for the daemon of a gate that has been silent for a time, and
// returns when to look again.
func (p *Proxy) checkSilence(path *upstream, node protocol.NodeID, wait time.Duration) time.Duration {
	now := p.config.Clock()
	if silentFor := now - time.Duration(path.silence.answeredAt.Load()); silentFor < wait {
		return wait - silentFor
	}
	asked := path.silence.checkedAt.Load()
	if now-time.Duration(asked) >= silenceCheckInterval && path.silence.checkedAt.CompareAndSwap(asked, int64(now)) {
		p.config.OnSilent(node)
	}
	return max(silenceCheckInterval, wait)
}

// heard notes that a gate has answered.
func (p *Proxy) recordGateAnswer(path *upstream) {
	path.silence.answeredAt.Store(int64(p.config.Clock()))
}

// hold keeps an attempt that may be hedged once its gate is found to be unreachable or tells
// that it hangs.
// What gives it up is called under the lock, so never after release.
func (s *silenceMonitor) addHedgeable(made *attempt, giveUp func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.hedgeable == nil {
		s.hedgeable = map[*attempt]func(){}
	}
	s.hedgeable[made] = giveUp
}

func (s *silenceMonitor) removeHedgeable(made *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.hedgeable, made)
}

// giveUpOn gives up one attempt if it may be made elsewhere.
func (s *silenceMonitor) hedge(made *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if giveUp := s.hedgeable[made]; giveUp != nil {
		giveUp()
	}
}

// giveUp gives up the attempts that may be made elsewhere.
func (s *silenceMonitor) hedgeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, giveUp := range s.hedgeable {
		giveUp()
	}
}

// SetReachable says whether a daemon answers its peers. New calls to one that does
// not go elsewhere. The idle connections to it are closed, so that calls that come
// to it all the same find out before they send anything.
func (p *Proxy) SetReachable(node protocol.NodeID, reachable bool) {
	p.forEachEndpoint(node, func(candidate *endpoint.Endpoint, path *upstream) {
		candidate.SetReachable(reachable)
		if path != nil && !reachable {
			path.closeIdle()
		}
	})
}

// RenewConnections closes the idle connections to gates and to the back end, so that the next calls
// are sent over new ones.
func (p *Proxy) RenewConnections() {
	for _, path := range p.view.Load().upstreams {
		path.closeIdle()
	}
	if p.backend != nil {
		p.backend.closeIdle()
	}
}

// GiveUp has attempts at a daemon that doesn't answer hedged by others. It breaks
// none of them off.
func (p *Proxy) GiveUp(node protocol.NodeID) {
	p.forEachEndpoint(node, func(_ *endpoint.Endpoint, path *upstream) {
		if path != nil {
			path.silence.hedgeAll()
		}
	})
}

// eachEndpoint visits the endpoints beside a daemon, with their connections, which
// may be nil.
func (p *Proxy) forEachEndpoint(node protocol.NodeID, visit func(*endpoint.Endpoint, *upstream)) {
	current := p.view.Load()
	for _, one := range current.services {
		for _, candidate := range one.set.All {
			if candidate.Node == node {
				visit(candidate, current.upstreams[candidate.Address])
			}
		}
	}
}
