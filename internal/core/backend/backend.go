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

// Report is a heartbeat of a back end.
type Report struct {
	// Instance is the name of the back end, which several starts may bear.
	Instance string
	// Born is when it started by its own word, in Unix milliseconds; 0 when it does not tell.
	Born int64
	// Service is the name of the service that it belongs to.
	Service string
	// Sequence grows with each report of a start, and begins anew with the next one.
	Sequence uint64
	// Draining says that the instance is about to end.
	Draining bool
	// WarmUp is how much longer the instance is slow.
	WarmUp time.Duration
	// Slots is how many calls it runs at once.
	Slots int
	// Software is the version of its software.
	Software string
}

// Start is the start that reports.
func (r Report) Start() protocol.BackendStart {
	return protocol.BackendStart{Instance: r.Instance, Born: r.Born}
}

// Probe is what the back end itself answered when it was asked.
type Probe struct {
	// Instance is the one that answered; empty when there was no answer.
	Instance string
	// Healthy says that the instance takes work.
	Healthy bool
	// TellsWarmUp says that the answer told how much longer the instance is cold, which is
	// WarmUp.
	TellsWarmUp bool
	WarmUp      time.Duration
	// TellsHeld says that the answer told how many calls the instance holds, which is Held.
	TellsHeld bool
	Held      int
}

// candidateLimit bounds the unconfirmed instances: one that starts, and a few before it that
// have crashed within the time for which heartbeats may be held up.
const candidateLimit = 4

// silentBeats is how many heartbeats must be missing, without an answered
// call, before an instance counts as down.
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
	crashed  bool
	sequence uint64
	slots    int
	software string
	warmth   warmth
	draining bool
	down     bool
	// heardAt is when the running start last reported or answered a call, reportedAt when it
	// last reported.
	heardAt    time.Duration
	reportedAt time.Duration
	// candidates are the newest reports of starts that have not been confirmed, one for each
	// instance, oldest first. A heartbeat that was held up may come from one that has crashed
	// since, after that of its successor; the back end's own answer tells which instance runs.
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
// taken for the one that runs: a late report of a start that has ended can't be told from the
// first one of a new instance.
func (t *Tracker) Reported(now time.Duration, report Report) (probe bool) {
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

// dropCandidates gives up the reports that match.
func (t *Tracker) dropCandidates(matches func(Report) bool) {
	for _, held := range t.candidates {
		if matches(held) {
			t.forget(held)
		}
	}
	t.candidates = slices.DeleteFunc(t.candidates, matches)
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
		t.Left(start, 0) // no probe is needed for taking no work
		return false
	}
	if sameName {
		t.reportedAt = now
		t.begin(start)
	}
	t.addCandidate(report)
	return true
}

// addCandidate keeps a report unless a newer one of its instance is held.
func (t *Tracker) addCandidate(report Report) {
	at := t.candidateAt(report.Instance)
	if at < 0 {
		if len(t.candidates) == candidateLimit {
			t.forget(t.candidates[0])
		}
		t.candidates = appendBounded(t.candidates, candidateLimit, report)
		return
	}
	held := t.candidates[at]
	switch {
	case held.Born == report.Born:
		drains := report.Draining || held.Draining // what was acknowledged binds
		if held.Sequence < report.Sequence {
			t.candidates[at] = report
		}
		t.candidates[at].Draining = drains
	case held.Born != report.Born && !t.isOlder(report.Start()):
		t.forget(held)
		t.candidates[at] = report
	}
}

// forget gives up a report. That its start drains was acknowledged, and binds.
func (t *Tracker) forget(report Report) {
	if report.Draining {
		t.end(endedStart{start: report.Start()})
	}
}

// candidateAt is the index of an instance's report, or -1.
func (t *Tracker) candidateAt(instance string) int {
	return slices.IndexFunc(t.candidates, func(held Report) bool { return held.Instance == instance })
}

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

// begin makes a start the running one, with nothing that was known of the one before it.
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

// Probed takes the answer of a probe. A candidate that answers itself replaces the start that
// ran before. The answer names the instance only. Of two starts under one name the newer one
// has told of itself, and they never run at once, so what answers is the newer one or one
// that is newer still, whose report then replaces it.
func (t *Tracker) Probed(now time.Duration, probe Probe) {
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

// Unconfirmed tells whether a report waits for a probe.
func (t *Tracker) Unconfirmed() bool { return len(t.candidates) > 0 }

// Left takes the word of a start that it gets no more work, said at a time in Unix
// milliseconds. Where no start is known yet it is taken for the one that runs, so that peers
// hear of it: what was acknowledged binds the next start of this daemon as well. A word
// without the time of the start is that of the newest start known under the name, or else of
// whichever had begun when it was said.
func (t *Tracker) Left(start protocol.BackendStart, saidAt int64) {
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

// Remembered takes a peer's memory that an earlier start of this daemon had acknowledged that
// a start of the back end is leaving. That one never comes back, so what it says of itself
// after that counts for nothing. The peer may know the time of the start as that of its word.
func (t *Tracker) Remembered(start protocol.BackendStart) {
	t.leave(endedStart{start: start, orEarlier: true})
}

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
func (t *Tracker) Unreachable(start protocol.BackendStart) {
	if start == t.running {
		t.down = true
	}
}

// Failed is called when a start has failed a call, with the count of all calls so far that
// went well. It tells whether the back end is ejected by it. Calls that an earlier start has
// failed say nothing of the present one.
func (t *Tracker) Failed(now time.Duration, start protocol.BackendStart, answered uint64) bool {
	return start == t.running && t.outlier.failed(now, answered)
}

// Answered is called when the instance has answered a call.
func (t *Tracker) Answered(now time.Duration) { t.heardAt = max(t.heardAt, now) }

// Leaving tells whether the instance that ran last is draining or has left.
func (t *Tracker) Leaving() bool { return t.draining }

// View is the present state of the back end.
type View struct {
	Start    protocol.BackendStart
	Slots    int
	Software string
	State    protocol.EndpointState
	// ColdUntil is until when the instance is cold; 0 when it is warm.
	ColdUntil time.Duration
	// EarlierCrashed says that the start runs in place of one that had not said that it leaves:
	// nothing that was sent to that one can still run.
	EarlierCrashed bool
}

// View returns the state at a time.
func (t *Tracker) View(now time.Duration) View {
	view := View{Start: t.running, Slots: t.slots, Software: t.software, EarlierCrashed: t.crashed && !t.unconfirmed}
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
