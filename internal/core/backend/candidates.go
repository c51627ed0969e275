package backend

import (
	"slices"
)

// candidateLimit bounds the unconfirmed instances: one that starts, and a few before it that
// have crashed within the time for which heartbeats may be held up.
const candidateLimit = 4

// Unconfirmed tells whether a report waits for a probe.
func (t *Tracker) HasCandidates() bool { return len(t.candidates) > 0 }

// addCandidate keeps a report unless a newer one of its instance is held. At the limit the
// oldest candidate is forgotten.
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
	case !t.isOlder(report.Start()):
		t.forget(held)
		t.candidates[at] = report
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

// forget is called for a report that is given up. If its start drains, it stays ended: that
// was acknowledged.
func (t *Tracker) forget(report Report) {
	if report.Draining {
		t.end(endedStart{start: report.Start()})
	}
}

// candidateAt is the index of an instance's report, or -1.
func (t *Tracker) candidateAt(instance string) int {
	return slices.IndexFunc(t.candidates, func(held Report) bool { return held.Instance == instance })
}
