package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// silenceWait is how long a gate may owe an answer, and answer nobody, before
	// the daemon is asked whether it is there at all.
	silenceWait = 120 * time.Millisecond
	// silencePause is the least time between two such questions.
	silencePause = 250 * time.Millisecond
)

// silence watches for a gate that answers nothing: one that is cut off, paused
// or without power looks like one that is busy.
type silence struct {
	// heardAt is when the gate last answered, askedAt when it was last asked
	// for, on the clock.
	heardAt atomic.Int64
	askedAt atomic.Int64

	mutex sync.Mutex
	// waiting are the attempts that may be made elsewhere.
	waiting map[*attempt]context.CancelFunc
}

// watch asks for the daemon of an endpoint if the gate stays silent while an
// attempt waits. What it returns must be called when the attempt has ended.
func (p *Proxy) watch(path *upstream, chosen *endpoint.Endpoint) (stop func()) {
	if p.config.OnSilent == nil {
		return func() {}
	}
	var ended atomic.Bool
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		if !ended.Load() {
			timer.Reset(p.lookAfter(path, chosen.Node))
		}
	})
	timer.Reset(silenceWait)
	return func() {
		ended.Store(true)
		timer.Stop()
	}
}

// lookAfter asks for the daemon of a gate that is silent, and returns when to
// look again.
func (p *Proxy) lookAfter(path *upstream, node protocol.NodeID) time.Duration {
	now := p.config.Clock()
	if silentFor := now - time.Duration(path.silence.heardAt.Load()); silentFor < silenceWait {
		return silenceWait - silentFor
	}
	asked := path.silence.askedAt.Load()
	if now-time.Duration(asked) >= silencePause && path.silence.askedAt.CompareAndSwap(asked, int64(now)) {
		p.config.OnSilent(node)
	}
	return silencePause
}

// heard notes that a gate has answered.
func (p *Proxy) heard(path *upstream) { path.silence.heardAt.Store(int64(p.config.Clock())) }

// hold keeps an attempt that may be made elsewhere once its gate is found to be
// unreachable.
func (s *silence) hold(made *attempt, cancel context.CancelFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == nil {
		s.waiting = map[*attempt]context.CancelFunc{}
	}
	s.waiting[made] = cancel
}

func (s *silence) release(made *attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, made)
}

// giveUp cancels the attempts that may be made elsewhere.
func (s *silence) giveUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, cancel := range s.waiting {
		cancel()
	}
}

// giveUp ends the attempts that may be made elsewhere. A daemon that drains
// breaks nothing off.
func (p *Proxy) giveUp(path *upstream) {
	if !p.drain.started.Load() {
		path.silence.giveUp()
	}
}

// SetReachable says whether a daemon answers its peers. Calls to one that does
// not go elsewhere: new ones, and those under way that may be repeated. The
// connections to it are given up, so that later calls find out before they
// send anything.
func (p *Proxy) SetReachable(node protocol.NodeID, reachable bool) {
	current := p.view.Load()
	for _, one := range current.services {
		for _, candidate := range one.set.All {
			if candidate.Node != node {
				continue
			}
			candidate.SetReachable(reachable)
			if path := current.upstreams[candidate.Address]; path != nil && !reachable {
				path.closeIdle()
				p.giveUp(path)
			}
		}
	}
}
