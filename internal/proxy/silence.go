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
	silenceWait = 120 * time.Millisecond
	targetShare = 0.5
	// silencePause is the least time between two such questions.
	silencePause = 250 * time.Millisecond
)

// silenceOf is how long a gate may owe the answer of a call whose route states a
// target, which is 0 for none.
func silenceOf(target time.Duration) time.Duration {
	return max(silenceWait, time.Duration(float64(target)*targetShare))
}

// silence watches for a gate that answers nothing: one that is cut off, paused
// or without power looks like one that is busy.
type silence struct {
	// heardAt is when the gate last answered, askedAt when it was last asked
	// for, on the clock.
	heardAt atomic.Int64
	askedAt atomic.Int64

	mutex sync.Mutex
	// waiting are the attempts that may be made elsewhere, with what gives them up.
	waiting map[*attempt]func()
}

// watch asks for the daemon of an endpoint if the gate stays silent for a time while
// an attempt waits. What it returns must be called when the attempt has ended.
func (p *Proxy) watch(path *upstream, chosen *endpoint.Endpoint, wait time.Duration) (stop func()) {
	if p.config.OnSilent == nil {
		return func() {}
	}
	var ended atomic.Bool
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		if !ended.Load() {
			timer.Reset(p.lookAfter(path, chosen.Node, wait))
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
func (p *Proxy) lookAfter(path *upstream, node protocol.NodeID, wait time.Duration) time.Duration {
	now := p.config.Clock()
	if silentFor := now - time.Duration(path.silence.heardAt.Load()); silentFor < wait {
		return wait - silentFor
	}
	asked := path.silence.askedAt.Load()
	if now-time.Duration(asked) >= silencePause && path.silence.askedAt.CompareAndSwap(asked, int64(now)) {
		p.config.OnSilent(node)
	}
	return max(silencePause, wait)
}

// heard notes that a gate has answered.
func (p *Proxy) heard(path *upstream) { path.silence.heardAt.Store(int64(p.config.Clock())) }

// hold keeps an attempt that may be hedged once its gate is found to be unreachable or tells
// that it hangs.
// What gives it up is called under the lock, so never after release.
func (s *silence) hold(made *attempt, giveUp func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == nil {
		s.waiting = map[*attempt]func(){}
	}
	s.waiting[made] = giveUp
}

func (s *silence) release(made *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, made)
}

// giveUpOn gives up one attempt if it may be made elsewhere.
func (s *silence) giveUpOn(made *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if giveUp := s.waiting[made]; giveUp != nil {
		giveUp()
	}
}

// giveUp gives up the attempts that may be made elsewhere.
func (s *silence) giveUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, giveUp := range s.waiting {
		giveUp()
	}
}

// SetReachable says whether a daemon answers its peers. New calls to one that does
// not go elsewhere. The idle connections to it are closed, so that calls that come
// to it all the same find out before they send anything.
func (p *Proxy) SetReachable(node protocol.NodeID, reachable bool) {
	p.eachEndpoint(node, func(candidate *endpoint.Endpoint, path *upstream) {
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
	p.eachEndpoint(node, func(_ *endpoint.Endpoint, path *upstream) {
		if path != nil {
			path.silence.giveUp()
		}
	})
}

// eachEndpoint visits the endpoints beside a daemon, with their connections, which
// may be nil.
func (p *Proxy) eachEndpoint(node protocol.NodeID, visit func(*endpoint.Endpoint, *upstream)) {
	current := p.view.Load()
	for _, one := range current.services {
		for _, candidate := range one.set.All {
			if candidate.Node == node {
				visit(candidate, current.upstreams[candidate.Address])
			}
		}
	}
}
