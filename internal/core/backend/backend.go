// Package backend follows the back end beside a daemon by what it reports
// itself: which start of it runs, and whether it may get work. Reports may
// come late, twice, out of order and from a start that has ended. It does
// no input or output and reads no clock.
package backend

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// silentBeats is how many heartbeats must be missing, without an answered call, before a start
// counts as down: a busy machine may lose or delay a few of them.
const silentBeats = 4

// Tracker is what one daemon knows of the back end beside it. It is not safe
// for concurrent use.
type Tracker struct {
	interval time.Duration

	// running is the start that gets the calls, or got them last.
	running protocol.BackendStart
	// unconfirmed says that the running start has told of itself and has not answered yet: it
	// gets no call until it has.
	unconfirmed bool
	// crashed says that the start which got calls before the running one had not said that it
	// leaves, so that none of its runs can go on.
	crashed bool
	// sequence, slots and software are by the newest report of the running start.
	sequence uint64
	slots    int
	software string
	warmth   warmth
	// draining says that the running start has said that it leaves; it never takes that back.
	draining bool
	// down says that the running start is not confirmed, took no connection or is doubted; its
	// next report that counts ends that.
	down bool
	// heardAt is when the running start last reported or answered a call, reportedAt when it
	// last reported.
	heardAt    time.Duration
	reportedAt time.Duration
	// candidates are the newest reports of starts that have not been confirmed, one for each
	// instance, oldest first. The back end's answer to a probe tells which of them runs.
	candidates []Report
	// ended are starts that have left or been replaced, oldest first.
	ended []endedStart
	// older follows a start that seems older than one that is known.
	older   persistence
	outlier outlier
}

// NewTracker returns a tracker of back ends that report each interval.
func NewTracker(interval time.Duration) *Tracker { return &Tracker{interval: interval} }

// Reported takes a report, and tells whether the back end must be probed before the start is
// taken for the one that runs: the first report of a new start looks like a late one of a
// start that has ended.
func (t *Tracker) HandleReport(now time.Duration, report Report) (probe bool) {
	start := report.Start()
	if t.hasEnded(start) {
		return false
	}
	if start == t.running && !t.unconfirmed {
		t.takeLater(now, report)
		return false
	}
	if start != t.running && t.isOlder(start) && !t.reportedOlder(now, report) {
		return false
	}
	return t.reportedAnother(now, report)
}

// reportedOlder takes a report of a start that seems older than a known one, and tells
// whether it is taken for one that lives. It then replaces what waits under its name.
func (t *Tracker) reportedOlder(now time.Duration, report Report) bool {
	beats := t.beatsNeeded(report.Start())
	if !t.older.persists(now, t.interval, t.reportedAt, beats, report) {
		t.forget(report)
		if report.Draining {
			t.doubtRunning(report.Start())
		}
		t.heedWarmUp(now, report)
		return false
	}
	t.dropCandidates(func(held Report) bool { return held.Instance == report.Instance })
	return true
}

// doubtRunning takes the end of a start that seems older than the running one under its
// name. Where it alone goes on reporting, a clock may have been wrong and the calls may reach
// it: nothing is sent there before the running one has reported again.
func (t *Tracker) doubtRunning(ended protocol.BackendStart) {
	if ended.Instance == t.running.Instance && t.older.alone(ended, t.reportedAt) {
		t.down = true
	}
}

// heedWarmUp takes a start that seems older than the running one under its name at its word that it
// is cold, where it alone goes on reporting: the calls may reach it. A probe tells better.
func (t *Tracker) heedWarmUp(now time.Duration, report Report) {
	if report.WarmUp > 0 && report.Instance == t.running.Instance && t.older.alone(report.Start(), t.reportedAt) {
		t.AssumeCold(now, report.WarmUp)
	}
}

// takeLater takes a report of the running start unless a later one has come. That it drains
// was acknowledged all the same, and binds.
func (t *Tracker) takeLater(now time.Duration, report Report) {
	if report.Sequence > t.sequence {
		t.take(now, report)
	}
	t.draining = t.draining || report.Draining
}

// reportedAnother takes a report of a start that does not run yet. One that is newer under
// the name of the running one shows that that has ended, and may be cold: nothing is sent to
// it before it has answered.
func (t *Tracker) reportedAnother(now time.Duration, report Report) (probe bool) {
	start := report.Start()
	sameName := t.running.Instance == start.Instance
	if report.Draining && (sameName || t.running.Instance == "") {
		t.HandleLeave(start, 0) // no probe is needed for taking no work
		return false
	}
	if sameName {
		t.reportedAt = now
		t.begin(start)
	}
	t.addCandidate(report)
	return true
}

// take puts a report of the running start in force. A drain stays: it was acknowledged.
func (t *Tracker) take(now time.Duration, report Report) {
	t.sequence = report.Sequence
	t.slots = report.Slots
	t.software = report.Software
	t.warmth.reported(now, report.WarmUp)
	t.draining = t.draining || report.Draining
	t.down = false
	t.heardAt = now
	t.reportedAt = now
}

// begin makes a start the running one, unconfirmed and down until it has answered. Nothing
// that was known of the one before it counts but until when it was assumed to be cold.
func (t *Tracker) begin(start protocol.BackendStart) {
	if start == t.running {
		return
	}
	if t.running.Instance != "" && !t.unconfirmed {
		t.crashed = !t.draining
	}
	renamed := t.running.Instance != start.Instance
	if t.running.Instance != "" && (renamed || t.draining) {
		t.end(endedStart{start: t.running})
	}
	t.running = start
	t.unconfirmed = true
	t.sequence = 0
	t.warmth = warmth{assumed: t.warmth.assumed}
	t.draining = false
	t.down = true
	t.outlier = outlier{answered: t.outlier.answered}
}

// Probed takes the answer of a probe. A candidate that answers replaces the start that ran
// before it. The answer names the instance and not the start, but starts under one name never
// run at once: what answers is the newest that has reported, or a newer one whose report will
// replace it.
func (t *Tracker) HandleProbe(now time.Duration, probe ProbeResult) {
	at := t.candidateAt(probe.Instance)
	if at < 0 {
		t.learnWarmth(now, probe)
		return
	}
	confirmed := t.candidates[at]
	if !probe.Healthy && !confirmed.Draining {
		return // it is leaving, or fails: the next report asks again
	}
	t.begin(confirmed.Start())
	t.unconfirmed = false
	t.take(now, confirmed)
	t.learnWarmth(now, probe)
	for _, held := range slices.Delete(t.candidates, at, at+1) {
		t.forget(held)
	}
	t.candidates = nil
}

// Left takes a start's word, said at a time in Unix milliseconds, that it gets no more work.
// Where no start is known yet, it counts as the one that runs, so that peers hear of it and
// can remind the next start of this daemon. A word that does not tell its start is that of
// the newest one known under the name, or else of any that had begun by then.
func (t *Tracker) HandleLeave(start protocol.BackendStart, saidAt int64) {
	known := t.newestOf(start.Instance)
	unknown := start.Born == 0 && known.Instance == ""
	switch {
	case unknown:
		start.Born = saidAt
	case start.Born == 0:
		start = known
	}
	t.leave(endedStart{start: start, orEarlier: unknown})
}

// Remembered takes what a peer remembers: an earlier start of this daemon acknowledged that a
// start of the back end is leaving, which binds this one. Where the back end had not told when
// it started, the peer's time is that of its word, so an earlier start may be meant.
func (t *Tracker) RestoreLeave(start protocol.BackendStart) {
	t.leave(endedStart{start: start, orEarlier: true})
}

// leave gives a start no more work, nor the candidates that are it or older.
func (t *Tracker) leave(left endedStart) {
	start := left.start
	if t.running.Instance == "" || t.running.Instance == start.Instance && start.Born > t.running.Born {
		t.begin(start)
	}
	if start == t.running {
		t.draining = true
	}
	t.end(left)
	t.doubtRunning(start)
	t.dropCandidates(func(held Report) bool {
		return t.hasEnded(held.Start()) || t.isOlder(held.Start())
	})
}

// Unreachable is called when a call found that a start takes no connections. Its next report
// ends that.
func (t *Tracker) MarkUnreachable(start protocol.BackendStart) {
	if start == t.running {
		t.down = true
	}
}

// Failed is called when a start has failed a call, with the count of all calls so far that
// went well. It tells whether the back end is ejected by it. Calls that an earlier start has
// failed say nothing of the present one.
func (t *Tracker) RecordFailure(now time.Duration, start protocol.BackendStart, answered uint64) bool {
	return start == t.running && t.outlier.failed(now, answered)
}

// Answered is called when the back end has answered a call.
func (t *Tracker) RecordAnswer(now time.Duration) { t.heardAt = max(t.heardAt, now) }

// Leaving tells whether the running start drains or has left.
func (t *Tracker) IsDraining() bool { return t.draining }

// View is the state of the back end at a time, for the gate and the mesh.
type View struct {
	// Start is the start that gets the calls, or got them last; Slots and Software are by its
	// newest report.
	Start    protocol.BackendStart
	Slots    int
	Software string
	State    protocol.EndpointState
	// ColdUntil is until when the start is cold, on the daemon's clock; 0 when it is warm.
	ColdUntil time.Duration
	// EarlierCrashed says that the start was confirmed in place of one that had not said that
	// it leaves: nothing that was sent to that one can still run.
	EarlierCrashed bool
}

// View returns the state at a time. Of several that hold the one that bars most work is shown.
func (t *Tracker) View(now time.Duration) View {
	view := View{
		Start: t.running, Slots: t.slots, Software: t.software,
		EarlierCrashed: t.crashed && !t.unconfirmed,
	}
	if until := t.warmth.until(); now < until {
		view.ColdUntil = until
	}
	switch {
	case t.running.Instance == "":
		view.State = protocol.EndpointNone
	case t.draining:
		view.State = protocol.EndpointDraining
	case t.down || now-t.heardAt > silentBeats*t.interval:
		view.State = protocol.EndpointDown
	case t.outlier.ejected(now):
		view.State = protocol.EndpointDegraded
	case view.ColdUntil > 0:
		view.State = protocol.EndpointWarming
	default:
		view.State = protocol.EndpointReady
	}
	return view
}
