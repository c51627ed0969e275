package proxy

import (
	"strconv"
	"sync/atomic"

	"github.com/springstack/springstack/internal/core/protocol"
)

// BackendReport is what the back end beside the daemon has said of itself.
type BackendReport struct {
	// Start is the start of the back end that runs.
	Start protocol.BackendStart
	// Slots is how many calls it runs at once.
	Slots int
	// Software is the version of its software; empty where it is not told.
	Software string
	State    protocol.EndpointState
	// EarlierCrashed says that Start runs in place of a start that had not said that it leaves.
	EarlierCrashed bool
}

// reportedBackend is the newest report, read on the path of a request.
type reportedBackend struct {
	current atomic.Pointer[BackendReport]
	// replaced is closed when another start of the back end is reported; nil before the first.
	replaced atomic.Pointer[chan struct{}]
}

// put puts a report in force, and only then closes replaced. So whoever loads replaced, and then
// still finds the earlier start in force, holds a channel that is closed later.
func (r *reportedBackend) set(report *BackendReport) {
	previous := r.current.Swap(report)
	if previous != nil && previous.Start == report.Start {
		return
	}
	next := make(chan struct{})
	if earlier := r.replaced.Swap(&next); earlier != nil {
		close(*earlier)
	}
}

// startReplaced is closed when a start of the back end is no longer the one that gets calls; nil
// where no back end reports, for none is replaced then.
func (p *Proxy) replacedChannel(start protocol.BackendStart) <-chan struct{} {
	replaced := p.reported.replaced.Load()
	if p.backendStart() != start {
		return closedChannel
	}
	if replaced == nil {
		return nil
	}
	return *replaced
}

// alreadyClosed is a closed channel.
var closedChannel = func() <-chan struct{} {
	made := make(chan struct{})
	close(made)
	return made
}()

// instance is the name by which callers' sides address the back end.
func (p *Proxy) backendInstance() string {
	if !p.config.Reported {
		return p.config.Backend
	}
	if report := p.reported.current.Load(); report != nil {
		return report.Start.Instance
	}
	return ""
}

// backendStart is the start of the back end that calls are sent to now.
func (p *Proxy) backendStart() protocol.BackendStart {
	if !p.config.Reported {
		return protocol.BackendStart{Instance: p.config.Backend}
	}
	if report := p.reported.current.Load(); report != nil {
		return report.Start
	}
	return protocol.BackendStart{}
}

// bornField tells which start of an instance a line speaks of.
func bornField(start protocol.BackendStart) EventField {
	return textField("born", strconv.FormatInt(start.Born, 10))
}

// ReportBackend puts a report of the back end in force at the gate. When it
// returns, a back end that takes no work gets no new call from here, and the
// calls that waited have been refused. One goroutine reports at a time.
func (p *Proxy) ReportBackend(report BackendReport) {
	previous := p.reported.current.Load()
	if previous != nil && previous.Start != report.Start {
		// Connections to an earlier start lead nowhere.
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
		p.backendEnds.succeededBeforeVersion.Store(p.counters.succeeded.Load())
	}
	takesWork := report.State.AcceptsCalls()
	switch {
	case report.State == protocol.EndpointEvacuated:
		p.gate.Evacuate()
	case !takesWork:
		p.gate.Drain()
	}
	p.reported.set(&report)
	if report.Slots > 0 {
		p.backendLimits.slots.Store(int64(report.Slots))
		p.updateCallLimit()
	}
	if previous == nil {
		p.backendLimits.foundStart.Store(&report.Start)
		p.expectOrphanedCalls()
	}
	if takesWork {
		p.gate.Resume()
	}
	p.logEvent("backend_state", EventField{Key: "backend", Value: report.Start.Instance}, bornField(report.Start),
		EventField{Key: "state", Value: report.State.String()})
}

// warming tells whether the back end says that it is still slow from its start.
func (p *Proxy) isWarming() bool {
	report := p.reported.current.Load()
	return report != nil && report.State == protocol.EndpointWarming
}
