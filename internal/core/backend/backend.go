// Package backend follows the back end beside a daemon by what it reports
// itself: which instance of it runs, and whether it may get work. Reports may
// come late, twice, out of order and from an instance that has ended. It does
// no input or output and reads no clock.
package backend

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Report is a heartbeat of a back end.
type Report struct {
	// Instance identifies one start of the back end.
	Instance string
	// Born is when it started by its own word, in Unix milliseconds; 0 when it does not tell.
	Born int64
	// Service is the name of the service that it belongs to.
	Service string
	// Sequence grows with each report of an instance.
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
}

// candidateLimit bounds the unconfirmed instances: one that starts, and a few before it that
// have crashed within the time for which heartbeats may be held up.
const candidateLimit = 4

// endedLimit bounds the ended instances that are remembered.
const endedLimit = 32

// silentBeats is how many heartbeats must be missing, without an answered
// call, before an instance counts as down.
const silentBeats = 4

// Tracker is what one daemon knows of the back end beside it. It is not safe
// for concurrent use.
type Tracker struct {
	interval time.Duration

	instance string
	sequence uint64
	slots    int
	software string
	warmAt   time.Duration
	draining bool
	down     bool
	heardAt  time.Duration
	// candidates are the newest reports of instances that have not been confirmed, oldest
	// first. A heartbeat that was held up may come from one that has crashed since, after
	// that of its successor; the back end's own answer tells which of them runs.
	candidates []Report
	// ended are instances that have left or been replaced, oldest first.
	ended   []string
	outlier outlier
}

// NewTracker returns a tracker of back ends that report each interval.
func NewTracker(interval time.Duration) *Tracker { return &Tracker{interval: interval} }

// Reported takes a report, and tells whether the instance must be probed before
// it is taken for the one that runs: a late report of an ended instance can't
// be told from the first one of a new instance.
func (t *Tracker) Reported(now time.Duration, report Report) (probe bool) {
	if slices.Contains(t.ended, report.Instance) {
		return false
	}
	if report.Instance != t.instance {
		if t.instance == "" && report.Draining {
			t.Left(report.Instance) // no probe is needed for taking no work
			return false
		}
		t.addCandidate(report)
		return true
	}
	if report.Sequence <= t.sequence {
		// It was acknowledged although a later one overtook it, and nothing ends a drain.
		t.draining = t.draining || report.Draining
		return false
	}
	t.take(now, report)
	return false
}

// addCandidate keeps a report unless a newer one of its instance is held.
func (t *Tracker) addCandidate(report Report) {
	at := t.candidateAt(report.Instance)
	switch {
	case at >= 0 && t.candidates[at].Sequence < report.Sequence:
		t.candidates[at] = report
	case at >= 0:
	default:
		t.candidates = appendBounded(t.candidates, candidateLimit, report)
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
	t.warmAt = now + report.WarmUp
	t.draining = t.draining || report.Draining
	t.down = false
	t.heardAt = now
}

// Probed takes the answer of a probe. A candidate that answers itself replaces
// the instance that ran before.
func (t *Tracker) Probed(now time.Duration, probe Probe) {
	at := t.candidateAt(probe.Instance)
	if at < 0 {
		return
	}
	confirmed := t.candidates[at]
	if !probe.Healthy && !confirmed.Draining {
		return // it is leaving, or fails: the next report asks again
	}
	if t.instance != "" {
		t.end(t.instance)
	}
	t.instance = confirmed.Instance
	t.draining = false
	t.outlier = outlier{answered: t.outlier.answered}
	t.take(now, confirmed)
	t.candidates = nil
}

// Unconfirmed tells whether a report waits for a probe.
func (t *Tracker) Unconfirmed() bool { return len(t.candidates) > 0 }

// Left takes the word of an instance that it gets no more work. Where no instance is known
// yet it is taken for the one that runs, so that peers hear of it: what was acknowledged
// binds the next start of this daemon as well.
func (t *Tracker) Left(instance string) {
	if t.instance == "" {
		t.instance = instance
	}
	if at := t.candidateAt(instance); at >= 0 {
		t.candidates = slices.Delete(t.candidates, at, at+1)
	}
	if instance == t.instance {
		t.draining = true
	}
	t.end(instance)
}

// Remembered takes a peer's memory that an earlier start of this daemon had
// acknowledged that an instance is leaving. Instances that leave never come
// back, so what the instance says of itself after that counts for nothing.
func (t *Tracker) Remembered(instance string) { t.Left(instance) }

func (t *Tracker) end(instance string) {
	if slices.Contains(t.ended, instance) {
		return
	}
	t.ended = appendBounded(t.ended, endedLimit, instance)
}

// appendBounded appends to a list that forgets its oldest entry at a limit.
func appendBounded[Entry any](list []Entry, limit int, entry Entry) []Entry {
	if len(list) >= limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, entry)
}

// Unreachable is called when a call found that the instance takes no
// connections. Its next report ends that.
func (t *Tracker) Unreachable(instance string) {
	if instance == t.instance {
		t.down = true
	}
}

// Failed is called when an instance has failed a call, with the count of all
// calls so far that went well. It tells whether the instance is ejected by it.
func (t *Tracker) Failed(now time.Duration, instance string, answered uint64) bool {
	return instance == t.instance && t.outlier.failed(now, answered)
}

// Answered is called when the instance has answered a call.
func (t *Tracker) Answered(now time.Duration) { t.heardAt = max(t.heardAt, now) }

// Leaving tells whether the instance that ran last is draining or has left.
func (t *Tracker) Leaving() bool { return t.draining }

// View is the present state of the back end.
type View struct {
	Instance string
	Slots    int
	Software string
	State    protocol.EndpointState
}

// View returns the state at a time.
func (t *Tracker) View(now time.Duration) View {
	view := View{Instance: t.instance, Slots: t.slots, Software: t.software}
	switch {
	case t.instance == "":
		view.State = protocol.EndpointNone
	case t.draining:
		view.State = protocol.EndpointDraining
	case t.down || now-t.heardAt > silentBeats*t.interval:
		view.State = protocol.EndpointDown
	case t.outlier.ejected(now):
		view.State = protocol.EndpointDegraded
	case now < t.warmAt:
		view.State = protocol.EndpointWarming
	default:
		view.State = protocol.EndpointReady
	}
	return view
}
