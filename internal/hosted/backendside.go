package hosted

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

const (
	// refusalsPerSecond and refusalsBurst bound the lines on reports that were not taken.
	refusalLogsPerSecond = 1
	refusalLogBurst      = 5
	// backendTick is how often the passing of time is looked at.
	backendCheckInterval = 250 * time.Millisecond
)

// backendSide follows the back end beside the daemon: its reports and its answers to probes
// come in, the gate and the mesh are told.
type backendMonitor struct {
	config       backendMonitorConfig
	events       eventLog
	clock        func() time.Duration
	reportToGate func(proxy.BackendReport)
	// cold tells the gate until when the back end is cold.
	setColdUntil func(until time.Duration)
	// probes tells the gate that the back end is asked, until what it returns is called; nil
	// for nobody.
	beginProbe func() (ended func())
	// holds tells the gate how many calls the back end says to hold, with a probe; nil for
	// nobody.
	setReportedCalls func(count int)
	// announce tells the mesh; it must not block.
	announceToMesh func(backend.View)
	context        context.Context
	running        sync.WaitGroup
	// refusals bounds the lines on reports that were not taken.
	refusalLogRate *logging.Rate

	mutex   sync.Mutex
	tracker *backend.Tracker
	// shown is the view that the gate and the mesh were last told, without ColdUntil.
	publishedView backend.View
	probing       bool
	// doubtedAt is since when the back end may have become cold unseen, on the clock.
	possiblyColdSince time.Duration
	// toldCold is what the gate was last told of the back end's warm-up.
	reportedCold coldState
	// stopping is set once the daemon leaves: the gate, which is closing, is not
	// opened again.
	stopping bool
	// emptied is set while the zone is to be empty, and until its back end takes work again.
	evacuating bool
}

// hostedBackend is what the side needs of the settings.
type backendMonitorConfig struct {
	address string
	prober  Prober
	// healthPath is the health path as the configuration has it; empty while
	// that is not known.
	healthPath func() string
	// joined tells whether peers have told what an earlier start of this daemon
	// has acknowledged, and which zones are to be empty.
	hasJoinedMesh func() bool
	// warmUp is how long the service calls its back ends cold after a start; 0 while that
	// is not known.
	warmUpTime func() time.Duration
	// evacuated tells whether the zone is to be empty.
	isZoneEvacuated func() bool
	// takenBack is called, with the lock held, before the back end of a zone that was to be
	// empty gets calls again: it may have become cold unseen. Nil for nothing.
	onEvacuationEnd func()
}

// start begins to follow the back end. It may be cold, whatever an earlier start of this daemon
// knew.
func (b *backendMonitor) start() {
	b.assumeCold()
	b.running.Add(1)
	go b.checkPeriodically()
}

// Heartbeat implements Reports.
func (b *backendMonitor) Heartbeat(report backend.Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	if b.tracker.HandleReport(now, report) || b.tracker.NeedsWarmthProbe(now) {
		b.startProbing()
	}
	b.publishView()
}

// Leave implements Reports.
func (b *backendMonitor) Leave(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.HandleLeave(start, time.Now().UnixMilli())
	b.events.event("backend_left", field("instance", start.Instance), bornField(start.Born))
	b.publishView()
}

// Refused implements Reports. Others may send whatever they like, so the lines have a rate of
// their own.
func (b *backendMonitor) RecordRefusal(instance string, failure *result.Error) {
	if b.refusalLogRate.Allow(b.clock()) {
		b.events.event("report_refused", field("instance", strconv.QuoteToASCII(instance)),
			field("code", formatCode(failure.Code)), field("field", failure.Field), field("error", failure.Error()))
	}
}

// unreachable is called when a call met no connection.
func (b *backendMonitor) markUnreachable(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.MarkUnreachable(start)
	b.publishView()
}

// failed is called when the back end has failed a call, with the count of all
// calls so far that it answered well.
func (b *backendMonitor) recordFailure(start protocol.BackendStart, answered uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tracker.RecordFailure(b.clock(), start, answered) {
		b.publishView()
	}
}

// rememberLeaving takes a peer's memory that a start of the back end was leaving before
// this daemon started. It does not block.
func (b *backendMonitor) restoreDraining(start protocol.BackendStart) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.tracker.RestoreLeave(start)
		b.events.event("backend_remembered", field("instance", start.Instance), bornField(start.Born), field("state", "draining"))
		b.publishView()
	}()
}

// stop keeps the gate from being opened again.
func (b *backendMonitor) markStopping() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping = true
}

// leaving tells whether the back end itself is leaving.
func (b *backendMonitor) isDraining() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.IsDraining()
}

// show tells the gate and the mesh the present view where it differs from the last one, and the
// gate first until when the back end is cold; the lock is held.
func (b *backendMonitor) publishView() {
	view := b.currentView()
	if b.evacuating && view.State.AcceptsCalls() {
		view = b.endEvacuation(view)
	}
	if view.Start.Instance == "" {
		return
	}
	b.updateGateWarmth(view)
	view.ColdUntil = 0 // a change of it alone is no news to the mesh
	if view == b.publishedView {
		return
	}
	b.publishedView = view
	if !b.stopping || !view.State.AcceptsCalls() {
		b.reportToGate(proxy.BackendReport{
			Start: view.Start, Slots: view.Slots, Software: view.Software, State: view.State,
			EarlierCrashed: view.EarlierCrashed,
		})
	}
	b.announceToMesh(view)
}

// view is the state of the back end and of its zone; the lock is held. A back end that takes
// no work for a reason of its own keeps that one: it does not come back with its zone.
func (b *backendMonitor) currentView() backend.View {
	view := b.tracker.View(b.clock())
	if !b.config.isZoneEvacuated() {
		return view
	}
	b.evacuating = true
	if view.State.AcceptsCalls() {
		view.State = protocol.EndpointEvacuated
	}
	return view
}

// takeBack is called when the back end would take work again after its zone was to be empty. It
// returns the view by which it does, which may be a colder one; the lock is held.
func (b *backendMonitor) endEvacuation(view backend.View) backend.View {
	b.evacuating = false
	if b.config.onEvacuationEnd == nil {
		return view
	}
	b.config.onEvacuationEnd()
	return b.currentView()
}

// zoneChanged looks again whether the zone is to be empty. It does not block.
func (b *backendMonitor) recheckZone() {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.publishView()
	}()
}

// tick looks at what time alone changes.
func (b *backendMonitor) checkPeriodically() {
	defer b.running.Done()
	for pause.For(b.context, backendCheckInterval) {
		b.mutex.Lock()
		b.publishView()
		b.mutex.Unlock()
	}
}
