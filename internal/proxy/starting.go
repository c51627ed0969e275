package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// startPart is the part of a call's time, one in so many, for which it may wait while its
// daemon starts: with a quarter gone, it can still be sent elsewhere and answered in time.
const startWaitDivisor = 4

// starting lets calls wait that come to a daemon which has just started and does not know yet
// where to send them. After a loss of all machines callers return before configuration and
// members have come, which takes some tenths of a second: to refuse them at once sends them
// to other daemons that know no more.
type startWaiters struct {
	mutex sync.Mutex
	// changed is closed by the next publish; nil while no call waits.
	viewChanged chan struct{}
}

// nextView is closed when the next view is in force, or none will be of use.
func (s *startWaiters) nextView() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.viewChanged == nil {
		s.viewChanged = make(chan struct{})
	}
	return s.viewChanged
}

// publish wakes the calls that wait: a view has come, or none will be of use.
func (s *startWaiters) wakeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.viewChanged != nil {
		close(s.viewChanged)
		s.viewChanged = nil
	}
}

// acceptWhenStarted accepts a call, which waits while the daemon starts.
func (p *Proxy) acceptWhenStarted(request *http.Request, body *upload) (*callerCall, Refusal, bool) {
	if p.config.Clock()-p.startedAt >= p.limits.StartWait {
		return p.acceptCall(request)
	}
	return p.acceptDuringStart(request, body)
}

// acceptStarting accepts a call as acceptCall does. While the daemon starts, it waits for a
// view by which the call can be sent, for a part of the call's time at most.
func (p *Proxy) acceptDuringStart(request *http.Request, body *upload) (*callerCall, Refusal, bool) {
	came := p.config.Clock()
	for {
		changed := p.starting.nextView()
		known := p.view.Load()
		now := p.config.Clock()
		call, refusal, accepted := p.acceptCall(withTurnWait(request, turnWait(request)+now-came))
		whole := p.totalTimeout(request, call, now-came)
		bound := min(p.startedAt+p.limits.StartWait, came+whole/startWaitDivisor)
		if now >= bound || !known.isIncompleteFor(call, refusal, accepted) {
			return call, refusal, accepted
		}
		p.preloadSmallBody(request, body, came+whole-now)
		if !p.awaitView(request, changed, bound-p.config.Clock()) {
			return call, refusal, accepted
		}
	}
}

// wholeTime is what a call that has waited for the start may take in all; a nil call was
// refused.
func (p *Proxy) totalTimeout(request *http.Request, call *callerCall, waited time.Duration) time.Duration {
	if call != nil {
		return call.timeout + waited
	}
	stated, found := p.requestedTimeout(request.Header)
	if !found {
		stated = routing.DefaultTimeout
	}
	return max(stated-turnWait(request), 0)
}

// lacks tells whether a call that was weighed by this view, or by a newer one, can't be sent
// because this view knows too little yet.
func (v *view) isIncompleteFor(call *callerCall, refusal Refusal, accepted bool) bool {
	switch {
	case refusal.Code == result.NotServing:
		return v.snapshot == nil
	case refusal.Code == result.RegionNotAllowed:
		return len(v.mesh.Members) <= 1 // nobody but itself
	case !accepted:
		return false
	}
	shared := v.services[call.service]
	return shared == nil || shared.set.UsableCount() == 0 && !shared.set.BlockedByEvacuation()
}

// readSmall reads a body that is not large before its call waits: the server sees that a
// caller has left only once its request has been read.
func (p *Proxy) preloadSmallBody(request *http.Request, body *upload, most time.Duration) {
	if body.isLarge() {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), most)
	defer cancel()
	_ = body.preload(ctx, nil) // the body keeps the failure, for which the call is refused
}

// awaitView waits for the next view or a bound; false means that the caller has left or the
// proxy is closed.
func (p *Proxy) awaitView(request *http.Request, changed <-chan struct{}, most time.Duration) bool {
	p.counters.startWaits.Add(1)
	bound := time.NewTimer(most)
	defer bound.Stop()
	select {
	case <-changed:
		return true
	case <-bound.C:
		return true
	case <-request.Context().Done():
	case <-p.closed:
	}
	return false
}
