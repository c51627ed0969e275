package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// startWaitDivisor divides the total time of a call into the part that it may wait while
// the daemon starts. After a quarter of its time, a call can still be sent elsewhere and
// answered in time.
const startWaitDivisor = 4

// startWaiters wakes the calls that wait because the daemon has just started and does not
// yet have the data to route them. After a restart of all machines, the first calls arrive some
// tenths of a second before the configuration and the members are known. If they were
// refused at once, callers would only repeat them at other daemons in the same state.
type startWaiters struct {
	mutex sync.Mutex
	// viewChanged is closed by the next wakeAll; nil while no call waits.
	viewChanged chan struct{}
}

// nextView returns a channel that is closed once the next view is in force or the daemon
// refuses all calls.
func (s *startWaiters) nextView() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.viewChanged == nil {
		s.viewChanged = make(chan struct{})
	}
	return s.viewChanged
}

// wakeAll wakes the waiting calls. It is called when a view is published, and when the
// daemon begins to refuse all calls.
func (s *startWaiters) wakeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.viewChanged != nil {
		close(s.viewChanged)
		s.viewChanged = nil
	}
}

// acceptWhenStarted accepts or refuses a call; while the daemon starts, the call may wait.
func (p *Proxy) acceptWhenStarted(request *http.Request, body *upload) (*callerCall, Refusal, bool) {
	if p.config.Clock()-p.startedAt >= p.limits.StartWait {
		return p.acceptCall(request)
	}
	return p.acceptDuringStart(request, body)
}

// acceptDuringStart is acceptCall for the time of the daemon's start: it waits for a view
// with which the call can be sent, until 1/startWaitDivisor of the call's time or
// Limits.StartWait is over.
func (p *Proxy) acceptDuringStart(request *http.Request, body *upload) (*callerCall, Refusal, bool) {
	arrivedAt := p.config.Clock()
	for {
		viewChanged := p.starting.nextView()
		current := p.view.Load()
		now := p.config.Clock()
		call, refusal, accepted := p.acceptCall(withTurnWait(request, turnWait(request)+now-arrivedAt))
		total := p.totalTimeout(request, call, now-arrivedAt)
		latest := min(p.startedAt+p.limits.StartWait, arrivedAt+total/startWaitDivisor)
		if now >= latest || !current.isIncompleteFor(call, refusal, accepted) {
			return call, refusal, accepted
		}
		p.preloadSmallBody(request, body, arrivedAt+total-now)
		if !p.awaitView(request, viewChanged, latest-p.config.Clock()) {
			return call, refusal, accepted
		}
	}
}

// totalTimeout returns the time that a call may take, including the time that it has waited
// for the start. A nil call means that the call was refused.
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

// isIncompleteFor reports whether a call can't be sent because this view still lacks data.
// The arguments are the result of acceptCall with this view or a newer one.
func (v *view) isIncompleteFor(call *callerCall, refusal Refusal, accepted bool) bool {
	switch {
	case refusal.Code == result.NotServing:
		return v.snapshot == nil
	case refusal.Code == result.RegionNotAllowed:
		return len(v.meshState.Members) <= 1 // only this daemon
	case !accepted:
		return false
	}
	service := v.services[call.service]
	return service == nil || service.set.UsableCount() == 0 && !service.set.BlockedByEvacuation()
}

// preloadSmallBody reads a body that is not large before its call waits: the server detects
// that a caller has disconnected only after the whole request has been read.
func (p *Proxy) preloadSmallBody(request *http.Request, body *upload, timeout time.Duration) {
	if body.isLarge() {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	_ = body.preload(ctx, nil) // the body stores the error, and the call is refused later
}

// awaitView waits for the next view or the timeout. It returns false if the caller has
// disconnected or the proxy is closed.
func (p *Proxy) awaitView(request *http.Request, viewChanged <-chan struct{}, timeout time.Duration) bool {
	p.counters.startWaits.Add(1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-viewChanged:
		return true
	case <-timer.C:
		return true
	case <-request.Context().Done():
	case <-p.closed:
	}
	return false
}
