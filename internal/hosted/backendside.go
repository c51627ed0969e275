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
	// refusalLogsPerSecond and refusalLogBurst limit the rate of log lines on refused reports.
	refusalLogsPerSecond = 1
	refusalLogBurst      = 5
	// backendCheckInterval is the interval at which state that changes with time alone is checked.
	backendCheckInterval = 250 * time.Millisecond
)

// backendMonitor tracks the state of the daemon's own back end from its reports and its answers to
// probes, and reports the state to the gate and to the mesh. A start of the back end is one run of its
// process (protocol.BackendStart).
type backendMonitor struct {
	config       backendMonitorConfig
	events       eventLog
	clock        func() time.Duration
	reportToGate func(proxy.BackendReport)
	// setColdUntil sets the time until which the gate treats the back end as cold.
	setColdUntil func(until time.Duration)
	// beginProbe, unless nil, occupies a slot of the gate for a probe until the returned function is
	// called.
	beginProbe func() (ended func())
	// setReportedCalls, unless nil, passes to the gate the number of calls that the back end
	// reported in its answer to a probe.
	setReportedCalls func(count int)
	// announceToMesh passes a changed view to the mesh; it must not block.
	announceToMesh func(backend.View)
	context        context.Context
	running        sync.WaitGroup
	refusalLogRate *logging.Rate

	mutex   sync.Mutex
	tracker *backend.Tracker
	// publishedView is the view that was last reported to the gate and the mesh. Its ColdUntil is 0,
	// because a change of ColdUntil alone is not announced to the mesh.
	publishedView backend.View
	probing       bool
	// possiblyColdSince is the time on the clock since which the back end may have become cold
	// unnoticed. Answers to probes that were sent before that time do not show its warm-up state.
	possiblyColdSince time.Duration
	// reportedWarmth is the warm-up state that was last reported to the gate.
	reportedWarmth warmthState
	// stopping is set when the daemon stops: from then on the gate, which is closing, is
	// not opened again.
	stopping bool
	// evacuating is set while the zone is evacuated, and afterwards until the back end accepts calls
	// again.
	evacuating bool
}

// backendMonitorConfig holds the settings and dependencies of a backendMonitor.
type backendMonitorConfig struct {
	address string
	prober  Prober
	// healthPath returns the path for probes from the configuration; empty while no
	// configuration is in force.
	healthPath func() string
	// knowsPeersAndOrders reports whether the daemon has received the records of its peers, which may
	// contain a drain that an earlier start of the daemon acknowledged, and the evacuation orders,
	// or has waited long enough for each of them. The back end is not probed before that.
	knowsPeersAndOrders func() bool
	// warmUpTime returns how long back ends of the service are cold after a start; 0 while
	// no configuration is in force.
	warmUpTime func() time.Duration
	// callRate returns the number of calls per second that the back end states to accept; 0 if none.
	callRate func() float64
	// isZoneEvacuated reports whether an order to evacuate the daemon's zone is in force.
	isZoneEvacuated func() bool
	// onEvacuationEnd, unless nil, is called with the lock held before the back end accepts
	// calls again after an evacuation. The back end may have become cold unnoticed.
	onEvacuationEnd func()
}

// start starts monitoring. The back end may be cold, since it may have restarted while the daemon
// was not running.
func (b *backendMonitor) start() {
	b.assumeCold()
	b.running.Add(1)
	go b.checkPeriodically()
}

// Heartbeat implements ReportHandler.
func (b *backendMonitor) Heartbeat(report backend.Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	if b.tracker.HandleReport(now, report) || b.tracker.NeedsWarmthProbe(now) {
		b.startProbing()
	}
	b.publishView()
}

// Leave implements ReportHandler.
func (b *backendMonitor) Leave(start protocol.BackendStart) {
	b.stopWork(start)
}

// stopWork processes a leave, and logs it with further fields. On return the gate sends the start no new
// call.
func (b *backendMonitor) stopWork(start protocol.BackendStart, fields ...eventField) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.HandleLeave(start, time.Now().UnixMilli())
	fields = append(fields, field("instance", start.Instance), startTimeField(start.Born))
	b.events.event("backend_left", fields...)
	b.publishView()
}

// handleLeavingNotice processes the statement of a start, in its answer to a call, that it leaves. It
// binds as a leave does.
func (b *backendMonitor) handleLeavingNotice(start protocol.BackendStart) {
	b.stopWork(start, field("source", "answer"))
}

// updateCallRate publishes the number of calls per second that a start states to accept. It reads the
// present number under the lock, so that an earlier one is never published after a later one.
func (b *backendMonitor) updateCallRate(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	perSecond := b.config.callRate()
	b.tracker.SetCallRate(start, perSecond)
	b.events.event("backend_limited", field("instance", start.Instance), startTimeField(start.Born),
		field("per_second", strconv.FormatFloat(perSecond, 'g', 6, 64)))
	b.publishView()
}

// RecordRefusal implements ReportHandler. Any client can send invalid reports, so these log lines
// have a rate limit of their own.
func (b *backendMonitor) RecordRefusal(instance string, failure *result.Error) {
	if b.refusalLogRate.Allow(b.clock()) {
		b.events.event("report_refused", field("instance", strconv.QuoteToASCII(instance)),
			field("code", formatCode(failure.Code)), field("field", failure.Field), field("error", failure.Error()))
	}
}

// markUnreachable marks a start of the back end as down after a call could not connect to it.
func (b *backendMonitor) markUnreachable(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.MarkUnreachable(start)
	b.publishView()
}

// recordFailure records that a call to the given start of the back end failed. successCount is the
// number of successful calls so far.
func (b *backendMonitor) recordFailure(start protocol.BackendStart, successCount uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tracker.RecordFailure(b.clock(), start, successCount) {
		b.publishView()
	}
}

// restoreDraining marks a start of the back end as draining. It is called when a peer's record shows
// that an earlier start of this daemon had acknowledged the drain. It does not block.
func (b *backendMonitor) restoreDraining(start protocol.BackendStart) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.tracker.RestoreLeave(start)
		b.events.event("backend_remembered", field("instance", start.Instance), startTimeField(start.Born), field("state", "draining"))
		b.publishView()
	}()
}

// markStopping keeps the gate from being opened again.
func (b *backendMonitor) markStopping() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping = true
}

// isDraining reports whether the back end itself drains or has left.
func (b *backendMonitor) isDraining() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.IsDraining()
}

// publishView reports the current view to the gate and the mesh if it differs from the published
// one. Before that it reports a changed warm-up state to the gate. The lock is held.
func (b *backendMonitor) publishView() {
	view := b.currentView()
	if b.evacuating && view.State.AcceptsCalls() {
		view = b.endEvacuation(view)
	}
	if view.Start.Instance == "" {
		return
	}
	b.updateGateWarmth(view)
	view.ColdUntil = 0 // a change of this field alone is not announced to the mesh
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

// currentView returns the state of the back end, or EndpointEvacuated if the zone is evacuated and
// the back end would otherwise accept calls. A back end that accepts none keeps its own state, so
// that it does not accept calls when the evacuation ends. The lock is held.
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

// endEvacuation runs onEvacuationEnd when the back end is about to accept calls again after an
// evacuation. It returns the view to publish, which onEvacuationEnd may have changed by assuming the
// back end to be cold. The lock is held.
func (b *backendMonitor) endEvacuation(view backend.View) backend.View {
	b.evacuating = false
	if b.config.onEvacuationEnd == nil {
		return view
	}
	b.config.onEvacuationEnd()
	return b.currentView()
}

// publishViewAsync publishes the view after a change of the evacuation orders. It does not block.
func (b *backendMonitor) publishViewAsync() {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.publishView()
	}()
}

// checkPeriodically publishes changes of the view that are caused by time alone.
func (b *backendMonitor) checkPeriodically() {
	defer b.running.Done()
	for pause.For(b.context, backendCheckInterval) {
		b.mutex.Lock()
		b.publishView()
		b.mutex.Unlock()
	}
}
