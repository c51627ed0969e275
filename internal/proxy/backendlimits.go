package proxy

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// reservedConnections is the number of connections to a back end that calls don't use: one for
// its probe, one for the check whether it has ended (see refusesConnections), and one that is being
// closed.
const reservedConnections = 3

// backendLimits holds the values that limit the calls running at the back end.
type backendLimits struct {
	// slots is the maximum number of calls that the back end runs concurrently; 0 if unknown.
	// maxConnections is the maximum number of connections that its service declares; 0 if none.
	slots          atomic.Int64
	maxConnections atomic.Int64
	// maxCallDuration is the longest timeout of the routes in force to its service, in
	// nanoseconds.
	maxCallDuration atomic.Int64
	// reportedCalls is the number of running and queued calls that the back end reported in its
	// last probe answer, including the probe; 0 if it has not reported any number.
	reportedCalls atomic.Int64
	// foundStart is the first start of the back end that was reported to this daemon. It is nil
	// before that, after expectOrphanedCalls has handled it, and once another start is reported.
	foundStart atomic.Pointer[protocol.BackendStart]
	// startWallTime is the start of this daemon on the machine's clock, on which the back end
	// reports its own start; startProxyTime is the same on the proxy's clock.
	startWallTime  time.Time
	startProxyTime time.Duration
	// applyMutex serializes updateCallLimit.
	applyMutex sync.Mutex
}

// applyCallLimits applies the limits that a snapshot states for the back end.
func (p *Proxy) applyCallLimits(snap *snapshot.Snapshot) {
	if p.gate == nil || snap == nil {
		return
	}
	p.backendLimits.maxConnections.Store(int64(snap.Services[p.config.Service].MaxConnections))
	p.backendLimits.maxCallDuration.Store(int64(maxCallDuration(snap, p.config.Service)))
	p.updateCallLimit()
	p.expectOrphanedCalls()
}

// updateCallLimit limits the calls at the back end to its slots and, since each call needs a
// connection, to its maximum number of connections less the reserved ones.
func (p *Proxy) updateCallLimit() {
	p.backendLimits.applyMutex.Lock()
	defer p.backendLimits.applyMutex.Unlock()
	slots := int(p.backendLimits.slots.Load())
	if maxConnections := p.backendLimits.maxConnections.Load(); maxConnections > 0 {
		callConnections := max(int(maxConnections)-reservedConnections, 1)
		p.backend.openConns.setLimit(callConnections)
		slots = min(slots, callConnections)
	} else {
		p.backend.openConns.setLimit(0)
	}
	p.gate.SetSlots(p.config.Clock(), slots)
}

// maxCallDuration returns the longest timeout of a snapshot's routes to a service.
func maxCallDuration(snap *snapshot.Snapshot, service resource.ServiceRef) time.Duration {
	duration := time.Duration(0)
	for index := range snap.Routes {
		route := &snap.Routes[index]
		for _, destination := range route.Split {
			if destination.Service == service {
				duration = max(duration, routing.TimeoutOf(route))
			}
		}
	}
	return duration
}

// expectOrphanedCalls has the gate reserve slots for orphaned calls, which an earlier run of this
// daemon sent, if the back end was running before this daemon started. They were sent before
// this daemon's start, so they have ended once the longest route timeout and CancelWait have
// passed since then. It does nothing as long as no route to the service is known.
func (p *Proxy) expectOrphanedCalls() {
	maxDuration := time.Duration(p.backendLimits.maxCallDuration.Load())
	if maxDuration <= 0 {
		return
	}
	start := p.backendLimits.foundStart.Swap(nil)
	if start == nil || start.Born > p.backendLimits.startWallTime.UnixMilli() {
		return
	}
	now := p.config.Clock()
	reported := p.backendLimits.reportedCalls.Load()
	until := p.backendLimits.startProxyTime + maxDuration + p.limits.CancelWait
	p.gate.ExpectOrphanedCalls(now, until, int(reported)-1) // the probe is not an orphaned call
	p.logEvent("calls_left_behind", textField("backend", start.Instance), bornField(*start),
		textField("occupied", formatInt(p.gate.Load().Running)), textField("told", strconv.FormatBool(reported > 0)))
}

// SetReportedCalls sets the number of running and queued calls that the back end reported in a
// probe answer, including the probe. Before the daemon sends calls, all these calls but
// the probe are orphaned calls.
func (p *Proxy) SetReportedCalls(count int) {
	p.backendLimits.reportedCalls.Store(max(int64(count), 1))
}

// BeginBackendProbe occupies a slot of the gate for a probe of the back end until the returned
// function is called.
func (p *Proxy) BeginBackendProbe() (ended func()) {
	done := p.gate.AcquireProbeSlot()
	return func() { done(p.config.Clock()) }
}

// endCrashedCalls aborts the connections to a start of the back end that crashed and was replaced
// by the given one. After a loss of power, for example, such connections are never reset, and
// their calls would wait until their deadlines. Connections opened since the new start began are
// kept, because they may lead to it.
func (p *Proxy) endCrashedCalls(replacement protocol.BackendStart) {
	openedBefore := time.Now()
	if replacement.Born > 0 {
		openedBefore = time.UnixMilli(replacement.Born)
	}
	if count := p.backend.openConns.abortOpenedBefore(openedBefore); count > 0 {
		p.logEvent("crashed_calls_ended", textField("backend", replacement.Instance), bornField(replacement), textField("calls", formatInt(count)))
	}
}
