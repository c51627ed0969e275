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

// spareConnections is how many of the connections that a back end takes are not used for
// calls: one for its probe, one that finds out whether it has ended, one that is closing.
const reservedConnections = 3

// backendBounds are what bounds the calls at the back end.
type backendLimits struct {
	// slots is how many calls it says to run at once, connections how many connections its
	// service says that it takes; 0 where that is not known.
	slots       atomic.Int64
	connections atomic.Int64
	// longest is how long a call to it may take, by the routes in force, in nanoseconds.
	maxCallDuration atomic.Int64
	// toldHeld is how many calls the back end held by its answer to the last probe, the probe
	// among them; 0 when it has told nothing.
	reportedCalls atomic.Int64
	// found is the start that this daemon found beside it, until it is known what an earlier
	// start of the daemon may have left there; nil afterwards.
	foundStart atomic.Pointer[protocol.BackendStart]
	// startedByMachine is when this daemon started by the clock of the machine, by which the
	// back end tells its own start; startedByClock is the same by the proxy's clock.
	startWallTime  time.Time
	startProxyTime time.Duration
	// applying lets one bound be put in force at a time.
	applyMutex sync.Mutex
}

// limitCalls puts the bounds in force that a snapshot states for the back end.
func (p *Proxy) applyCallLimits(held *snapshot.Snapshot) {
	if p.gate == nil || held == nil {
		return
	}
	p.backendLimits.connections.Store(int64(held.Services[p.config.Service].MaxConnections))
	p.backendLimits.maxCallDuration.Store(int64(maxCallDuration(held, p.config.Service)))
	p.updateCallLimit()
	p.expectOrphanedCalls()
}

// boundCalls keeps the calls at the back end within its slots and, since each takes a connection,
// within the connections that it takes less the spare ones.
func (p *Proxy) updateCallLimit() {
	p.backendLimits.applyMutex.Lock()
	defer p.backendLimits.applyMutex.Unlock()
	slots := int(p.backendLimits.slots.Load())
	if most := p.backendLimits.connections.Load(); most > 0 {
		forCalls := max(int(most)-reservedConnections, 1)
		p.backend.openConns.setLimit(forCalls)
		slots = min(slots, forCalls)
	} else {
		p.backend.openConns.setLimit(0)
	}
	p.gate.SetSlots(p.config.Clock(), slots)
}

// longestCall is the longest that a call to a service may take by the routes of a snapshot.
func maxCallDuration(held *snapshot.Snapshot, service resource.ServiceRef) time.Duration {
	longest := time.Duration(0)
	for index := range held.Routes {
		route := &held.Routes[index]
		for _, destination := range route.Split {
			if destination.Service == service {
				longest = max(longest, routing.TimeoutOf(route))
			}
		}
	}
	return longest
}

// expectLeftBehind has the gate expect calls of an earlier start of this daemon at the back end
// that it found, if that is older than this daemon. They were sent before this daemon started, so
// they are over once the longest call may be. It does nothing before routes tell how long that is.
func (p *Proxy) expectOrphanedCalls() {
	longest := time.Duration(p.backendLimits.maxCallDuration.Load())
	if longest <= 0 {
		return
	}
	start := p.backendLimits.foundStart.Swap(nil)
	if start == nil || start.Born > p.backendLimits.startWallTime.UnixMilli() {
		return
	}
	now := p.config.Clock()
	told := p.backendLimits.reportedCalls.Load()
	until := p.backendLimits.startProxyTime + longest + p.limits.CancelWait
	p.gate.ExpectOrphanedCalls(now, until, int(told)-1) // the probe was not left behind
	p.logEvent("calls_left_behind", textField("backend", start.Instance), bornField(*start),
		textField("occupied", formatInt(p.gate.Load().Running)), textField("told", strconv.FormatBool(told > 0)))
}

// BackendHolds takes the back end's word, given with a probe, that it holds a number of calls, of
// which the probe itself is one. It tells what was left behind until the daemon sends calls.
func (p *Proxy) SetReportedCalls(count int) {
	p.backendLimits.reportedCalls.Store(max(int64(count), 1))
}

// BackendProbe tells the gate that the back end is asked, until what it returns is called.
func (p *Proxy) BeginBackendProbe() (ended func()) {
	done := p.gate.AcquireProbeSlot()
	return func() { done(p.config.Clock()) }
}

// endCrashed ends the calls that were sent to a start that has crashed unheard, as by loss of
// power, in whose place another one runs: their connections are never reset, and they
// would wait for their deadlines. Those opened since the new one began may lead to it.
func (p *Proxy) endCrashedCalls(by protocol.BackendStart) {
	before := time.Now()
	if by.Born > 0 {
		before = time.UnixMilli(by.Born)
	}
	if count := p.backend.openConns.abortOpenedBefore(before); count > 0 {
		p.logEvent("crashed_calls_ended", textField("backend", by.Instance), bornField(by), textField("calls", formatInt(count)))
	}
}
