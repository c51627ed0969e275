package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// startPart divides the time of a call that may pass while its daemon starts: with a quarter
// gone, a call that is refused after all can still be sent elsewhere and be answered in time.
const startPart = 4

// starting lets calls wait that come to a daemon which has just started and does not know yet
// where to send them. After a loss of all machines callers return before configuration and
// members have come, which takes some tenths of a second: to refuse them at once sends them
// to other daemons that know no more.
type starting struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// view is closed when the next view is in force.
func (s *starting) view() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// publish wakes the calls that wait for a view.
func (s *starting) publish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// acceptWhenStarted accepts a call, which waits while the daemon starts.
func (p *Proxy) acceptWhenStarted(request *http.Request) (*callerCall, Refusal, bool) {
	if p.config.Clock()-p.startedAt >= p.limits.StartWait {
		return p.acceptCall(request)
	}
	return p.acceptStarting(request)
}

// acceptStarting accepts a call as acceptCall does. While the daemon starts, it waits for a
// view by which the call can be sent, for a part of the call's time at most.
func (p *Proxy) acceptStarting(request *http.Request) (*callerCall, Refusal, bool) {
	came := p.config.Clock()
	bound := p.startBound(request, came)
	for {
		changed := p.starting.view()
		now := p.config.Clock()
		call, refusal, accepted := p.acceptCall(withWait(request, waitOf(request)+now-came))
		if !p.lacksView(call, refusal, accepted) || now >= bound || !p.awaitView(request, changed, bound-now) {
			return call, refusal, accepted
		}
	}
}

// startBound is until when, on the clock, a call may wait for the daemon's start.
func (p *Proxy) startBound(request *http.Request, came time.Duration) time.Duration {
	bound := p.startedAt + p.limits.StartWait
	if stated, found := p.statedTime(request.Header); found {
		bound = min(bound, came+max(stated-waitOf(request), 0)/startPart)
	}
	return bound
}

// lacksView tells whether a call can't be sent since the daemon knows too little yet.
func (p *Proxy) lacksView(call *callerCall, refusal Refusal, accepted bool) bool {
	if !accepted {
		return refusal.Code == result.NotServing && p.view.Load().snapshot == nil
	}
	shared := p.view.Load().services[call.service]
	return shared == nil || shared.set.Usable() == 0 && !shared.set.Evacuated()
}

// awaitView waits for the next view, and tells whether it has come.
func (p *Proxy) awaitView(request *http.Request, changed <-chan struct{}, most time.Duration) bool {
	p.tally.startWaits.Add(1)
	bound := time.NewTimer(most)
	defer bound.Stop()
	select {
	case <-changed:
		return true
	case <-bound.C:
	case <-request.Context().Done():
	case <-p.closed:
	}
	return false
}
