// Package backend tracks the state of the back end next to a daemon from its heartbeats, health
// probes and calls: which start of it runs, and whether it may receive work. A start is one run of
// the back-end process, identified by the name of the instance and the time at which it began. A
// back end announces its end by a heartbeat that says it drains, or by a leave. Both are
// acknowledged and therefore binding: that start receives no more work, whatever it reports later.
// Reports may arrive late, repeatedly, out of order and from a start that has ended. The package
// performs no input or output and reads no clock.
package backend

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// maxMissedHeartbeats is the number of missed heartbeats, without an answered call, after which a
// start counts as down. A busy machine may lose or delay a few of them.
const maxMissedHeartbeats = 4

// Tracker tracks the state of the back end next to one daemon. It is not safe for concurrent use.
type Tracker struct {
	interval time.Duration

	// running is the start to which calls are sent unless it is unconfirmed, draining or down. It
	// is the latest one that was confirmed or has replaced another of its instance.
	running protocol.BackendStart
	// unconfirmed is true if the running start has reported but has not answered a probe yet. It
	// receives no calls until it has.
	unconfirmed bool
	// previousCrashed is true if the start that received calls before the running one ended without
	// a drain or leave, so that none of its calls can still be running.
	previousCrashed bool
	// sequence, slots and software are those of the latest report of the running start.
	sequence  uint64
	slots     int
	software  string
	coldTimes coldTimes
	// callRate is the number of calls per second that the running start states to accept; 0 if none.
	callRate float64
	// draining is true once the running start has reported that it drains or leaves. It is never
	// reset for the same start.
	draining bool
	// down is true if the start taken as running is unconfirmed, has refused a connection, or may
	// not be the one to which calls go (see markDownIfOlderRuns). If that start is unconfirmed, only
	// its answer to a probe resets down; otherwise its next report does.
	down bool
	// lastActivityAt is the time of the running start's latest report or answered call,
	// lastReportAt the time of its latest report.
	lastActivityAt time.Duration
	lastReportAt   time.Duration
	// candidates holds the latest reports of unconfirmed starts, one for each instance, oldest
	// first. The answer to a probe shows which of them runs.
	candidates []Report
	// endedStarts holds starts that have left or been replaced, oldest first.
	endedStarts []endedStart
	// olderStart tracks a start that appears to be older than a known one.
	olderStart olderStartTracker
	outlier    outlierDetector
}

// NewTracker returns a tracker of a back end that reports once per interval.
func NewTracker(interval time.Duration) *Tracker { return &Tracker{interval: interval} }

// HandleReport processes a report. It returns true if the back end must be probed before its start
// may replace the running one, since the first report of a new start cannot be distinguished from a
// late report of an ended one.
func (t *Tracker) HandleReport(now time.Duration, report Report) (probe bool) {
	start := report.Start()
	if t.isEnded(start) {
		return false
	}
	if start == t.running && !t.unconfirmed {
		t.applyIfNewer(now, report)
		return false
	}
	if start != t.running && t.isOlderThanKnown(start) && !t.handleOlderReport(now, report) {
		return false
	}
	return t.handleUnconfirmedStart(now, report)
}

// handleOlderReport processes a report of a start that appears to be older than a known one. It
// returns true if that start has reported for long enough to be considered running. The start then
// replaces the candidate of the same instance.
func (t *Tracker) handleOlderReport(now time.Duration, report Report) bool {
	required := t.requiredHeartbeats(report.Start())
	if !t.olderStart.recordReport(now, t.interval, t.lastReportAt, required, report) {
		t.recordEndIfDraining(report)
		if report.Draining {
			t.markDownIfOlderRuns(report.Start())
		}
		t.assumeColdIfOlderRuns(now, report)
		return false
	}
	t.dropCandidates(func(candidate Report) bool { return candidate.Instance == report.Instance })
	return true
}

// markDownIfOlderRuns processes the end of a start that appears to be older than the running one of
// the same instance. If only the older one has been reporting, a clock may have been wrong and
// calls may in fact reach the older one. The running start is therefore marked down until it
// reports again.
func (t *Tracker) markDownIfOlderRuns(ended protocol.BackendStart) {
	if ended.Instance == t.running.Instance && t.olderStart.isOnlyReporter(ended, t.lastReportAt) {
		t.down = true
	}
}

// assumeColdIfOlderRuns processes the warm-up time of a start that appears to be older than the
// running one of the same instance. If only the older one has been reporting, calls may in fact
// reach it, so the back end is assumed to be cold. The answer to a probe is more reliable and
// replaces this assumption.
func (t *Tracker) assumeColdIfOlderRuns(now time.Duration, report Report) {
	if report.WarmUp > 0 && report.Instance == t.running.Instance && t.olderStart.isOnlyReporter(report.Start(), t.lastReportAt) {
		t.AssumeCold(now, report.WarmUp)
	}
}

// applyIfNewer applies a report of the running start unless a later one has been applied already. A
// drain takes effect in either case, because it has been acknowledged.
func (t *Tracker) applyIfNewer(now time.Duration, report Report) {
	if report.Sequence > t.sequence {
		t.applyReport(now, report)
	}
	t.draining = t.draining || report.Draining
}

// handleUnconfirmedStart processes a report of a start that has not answered a probe yet. If the
// start has the same instance name as the running one, it replaces it, because the running one must
// have ended. It may be cold, so it receives no calls until it has answered a probe.
func (t *Tracker) handleUnconfirmedStart(now time.Duration, report Report) (probe bool) {
	start := report.Start()
	sameInstance := t.running.Instance == start.Instance
	if report.Draining && (sameInstance || t.running.Instance == "") {
		t.HandleLeave(start, 0) // no probe is needed to stop sending calls
		return false
	}
	if sameInstance {
		t.lastReportAt = now
		t.setRunning(start)
	}
	t.addCandidate(report)
	return true
}

// applyReport applies a report of the running start. It never resets a drain, which has been
// acknowledged.
func (t *Tracker) applyReport(now time.Duration, report Report) {
	t.sequence = report.Sequence
	t.slots = report.Slots
	t.software = report.Software
	t.coldTimes.setByReport(now, report.WarmUp)
	t.draining = t.draining || report.Draining
	t.down = false
	t.lastActivityAt = now
	t.lastReportAt = now
}

// setRunning makes a start the running one, unconfirmed and down until it has answered a probe. Of
// the previous start's state it keeps only the time until which the back end is assumed to be cold,
// and the count of successful calls.
func (t *Tracker) setRunning(start protocol.BackendStart) {
	if start == t.running {
		return
	}
	if t.running.Instance != "" && !t.unconfirmed {
		t.previousCrashed = !t.draining
	}
	otherInstance := t.running.Instance != start.Instance
	if t.running.Instance != "" && (otherInstance || t.draining) {
		t.recordEnded(endedStart{start: t.running})
	}
	t.running = start
	t.unconfirmed = true
	t.sequence = 0
	t.coldTimes = coldTimes{byAssumption: t.coldTimes.byAssumption}
	t.callRate = 0
	t.draining = false
	t.down = true
	t.outlier = outlierDetector{succeeded: t.outlier.succeeded}
}

// HandleProbeResult processes the answer to a probe. A candidate that answers replaces the running
// start if it is healthy or has reported that it drains. The answer names only the instance, but
// starts of one instance never run at the same time. The start that answered is therefore the newest
// one that has reported, or a newer one that has not reported yet and will then replace it.
func (t *Tracker) HandleProbeResult(now time.Duration, result ProbeResult) {
	index := t.candidateIndex(result.Instance)
	if index < 0 {
		t.updateWarmUp(now, result)
		return
	}
	confirmed := t.candidates[index]
	if !result.Healthy && !confirmed.Draining {
		return // the instance is leaving or failing: its next report triggers another probe
	}
	t.setRunning(confirmed.Start())
	t.unconfirmed = false
	t.applyReport(now, confirmed)
	t.updateWarmUp(now, result)
	for _, candidate := range slices.Delete(t.candidates, index, index+1) {
		t.recordEndIfDraining(candidate)
	}
	t.candidates = nil
}

// HandleLeave processes a leave: the notice of a start that it accepts no more work. If no start is known
// yet, the start that leaves becomes the running one, so that peers store the leave and can restore
// it after a restart of this daemon. If start.Born is 0, the newest known start of the instance is
// meant. If there is none, sentAt, the time of the notice in Unix milliseconds, is stored as an
// upper bound of the start time (see endedStart.mayBeEarlier).
func (t *Tracker) HandleLeave(start protocol.BackendStart, sentAt int64) {
	newest := t.newestStart(start.Instance)
	unknown := start.Born == 0 && newest.Instance == ""
	switch {
	case unknown:
		start.Born = sentAt
	case start.Born == 0:
		start = newest
	}
	t.stopWork(endedStart{start: start, mayBeEarlier: unknown})
}

// RestoreLeave processes a leave that a peer has stored: an earlier process of this daemon had
// acknowledged it, so it remains binding. If the back end had not reported its start time, the
// stored time is that of the notice, so an earlier start may be meant.
func (t *Tracker) RestoreLeave(start protocol.BackendStart) {
	t.stopWork(endedStart{start: start, mayBeEarlier: true})
}

// stopWork stops sending work to a start and drops the candidates that are the same start or older.
func (t *Tracker) stopWork(ended endedStart) {
	start := ended.start
	if t.running.Instance == "" || t.running.Instance == start.Instance && start.Born > t.running.Born {
		t.setRunning(start)
	}
	if start == t.running {
		t.draining = true
	}
	t.recordEnded(ended)
	t.markDownIfOlderRuns(start)
	t.dropCandidates(func(candidate Report) bool {
		return t.isEnded(candidate.Start()) || t.isOlderThanKnown(candidate.Start())
	})
}

// MarkUnreachable marks a start that has refused a connection as down until its next report.
func (t *Tracker) MarkUnreachable(start protocol.BackendStart) {
	if start == t.running {
		t.down = true
	}
}

// RecordFailure records a failed call of a start, with the total count of successful calls so far.
// It reports whether the failure ejects the back end. Failures of an earlier start are ignored.
func (t *Tracker) RecordFailure(now time.Duration, start protocol.BackendStart, succeeded uint64) bool {
	return start == t.running && t.outlier.recordFailure(now, succeeded)
}

// SetCallRate sets the number of calls per second that a start states to accept; 0 if it states none.
// The statement of another start than the running one is ignored.
func (t *Tracker) SetCallRate(start protocol.BackendStart, perSecond float64) {
	if start == t.running {
		t.callRate = perSecond
	}
}

// RecordAnswer records that the back end has answered a call.
func (t *Tracker) RecordAnswer(now time.Duration) { t.lastActivityAt = max(t.lastActivityAt, now) }

// IsDraining reports whether the running start drains or has left.
func (t *Tracker) IsDraining() bool { return t.draining }

// View is the state of the back end at a given time, for the gate and for the members of the mesh.
type View struct {
	// Start is the running start (see Tracker); Slots and Software are those of its latest report.
	Start    protocol.BackendStart
	Slots    int
	Software string
	State    protocol.EndpointState
	// ColdUntil is the time, on the daemon's clock, until which the start is cold; 0 if it is warm.
	ColdUntil time.Duration
	// CallRate is the number of calls per second that the start states to accept; 0 if none.
	CallRate float64
	// EarlierCrashed is true if the start was confirmed as the replacement of one that had ended
	// without a drain or leave. No call sent to that earlier one can still be running.
	EarlierCrashed bool
}

// View returns the state at a given time. If several states apply, it returns the most restrictive
// one.
func (t *Tracker) View(now time.Duration) View {
	view := View{
		Start: t.running, Slots: t.slots, Software: t.software, CallRate: t.callRate,
		EarlierCrashed: t.previousCrashed && !t.unconfirmed,
	}
	if until := t.coldTimes.coldUntil(); now < until {
		view.ColdUntil = until
	}
	switch {
	case t.running.Instance == "":
		view.State = protocol.EndpointNone
	case t.draining:
		view.State = protocol.EndpointDraining
	case t.down || now-t.lastActivityAt > maxMissedHeartbeats*t.interval:
		view.State = protocol.EndpointDown
	case t.outlier.isEjected(now):
		view.State = protocol.EndpointDegraded
	case view.ColdUntil > 0:
		view.State = protocol.EndpointWarming
	default:
		view.State = protocol.EndpointReady
	}
	return view
}
