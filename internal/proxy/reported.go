package proxy

import (
	"strconv"
	"sync/atomic"

	"github.com/springstack/springstack/internal/core/protocol"
)

// BackendReport is the state that the daemon's own back end reports.
type BackendReport struct {
	// Start is the current start of the back end.
	Start protocol.BackendStart
	// Slots is how many calls the back end runs at once.
	Slots int
	// Software is the version of the back end's software; empty if not reported.
	Software string
	State    protocol.EndpointState
	// EarlierCrashed is set if Start replaces a start that ended without announcing it.
	EarlierCrashed bool
}

// reportedBackend holds the newest report, which calls read.
type reportedBackend struct {
	currentReport atomic.Pointer[BackendReport]
	// replaced is closed when another start of the back end is reported; nil before the first
	// report.
	replaced atomic.Pointer[chan struct{}]
}

// set puts a report in force and only then closes replaced. So if a reader loads replaced and
// afterwards still finds the earlier start in force, its channel will be closed later.
func (r *reportedBackend) set(report *BackendReport) {
	previous := r.currentReport.Swap(report)
	if previous != nil && previous.Start == report.Start {
		return
	}
	next := make(chan struct{})
	if previousReplaced := r.replaced.Swap(&next); previousReplaced != nil {
		close(*previousReplaced)
	}
}

// replacedChannel returns a channel that is closed when the given start of the back end no longer
// gets calls. It is nil if the back end does not report, because no start is replaced then.
func (p *Proxy) replacedChannel(start protocol.BackendStart) <-chan struct{} {
	replaced := p.reportedBackend.replaced.Load()
	if p.backendStart() != start {
		return closedChannel
	}
	if replaced == nil {
		return nil
	}
	return *replaced
}

// closedChannel is the result of replacedChannel for a start that calls are no longer sent to.
var closedChannel = func() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// backendInstance returns the name by which calling daemons address the back end.
func (p *Proxy) backendInstance() string {
	if !p.config.Reported {
		return p.config.Backend
	}
	if report := p.reportedBackend.currentReport.Load(); report != nil {
		return report.Start.Instance
	}
	return ""
}

// backendStart returns the start of the back end that calls are sent to now.
func (p *Proxy) backendStart() protocol.BackendStart {
	if !p.config.Reported {
		return protocol.BackendStart{Instance: p.config.Backend}
	}
	if report := p.reportedBackend.currentReport.Load(); report != nil {
		return report.Start
	}
	return protocol.BackendStart{}
}

// bornField returns the log field that identifies one start of an instance.
func bornField(start protocol.BackendStart) EventField {
	return textField("born", strconv.FormatInt(start.Born, 10))
}

// ReportBackend puts a report of the back end in force at the gate. If the back end accepts no
// calls, then on return no new call is sent to it and the queued calls have been refused.
// ReportBackend must not be called concurrently.
func (p *Proxy) ReportBackend(report BackendReport) {
	previous := p.reportedBackend.currentReport.Load()
	if previous != nil && previous.Start != report.Start {
		// Connections to an earlier start can't be used again.
		p.backend.retire()
		p.rolloutAnswers.Reset()
		p.hangDetector.missingCalls.Reset()
		p.backendLimits.foundStart.Store(nil)
		p.gate.ClearOrphanedCalls(p.config.Clock())
	}
	if report.EarlierCrashed && (previous == nil || !previous.EarlierCrashed || previous.Start != report.Start) {
		p.endCrashedCalls(report.Start)
	}
	if previous == nil || previous.Software != report.Software {
		p.backendEnds.succeededBeforeVersion.Store(p.counters.succeededCalls.Load())
	}
	acceptsCalls := report.State.AcceptsCalls()
	switch {
	case report.State == protocol.EndpointEvacuated:
		p.gate.Evacuate()
	case !acceptsCalls:
		p.gate.Drain()
	}
	p.reportedBackend.set(&report)
	p.resetNotices(report.Start) // answers of an earlier start no longer count
	if report.Slots > 0 {
		p.backendLimits.slots.Store(int64(report.Slots))
		p.updateCallLimit()
	}
	if previous == nil {
		p.backendLimits.foundStart.Store(&report.Start)
		p.expectOrphanedCalls()
	}
	if acceptsCalls {
		p.gate.Resume()
	}
	p.logEvent("backend_state", EventField{Key: "backend", Value: report.Start.Instance}, bornField(report.Start),
		EventField{Key: "state", Value: report.State.String()})
}

// isWarming reports whether the back end reports that it is still slow after its start.
func (p *Proxy) isWarming() bool {
	report := p.reportedBackend.currentReport.Load()
	return report != nil && report.State == protocol.EndpointWarming
}
