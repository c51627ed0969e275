package backend

import (
	"slices"
)

// candidateLimit bounds the number of unconfirmed instances: one that starts, and a few earlier
// ones that crashed within the time for which heartbeats may be delayed.
const candidateLimit = 4

// Unconfirmed reports whether there are candidates waiting for a probe.
func (t *Tracker) HasCandidates() bool { return len(t.candidates) > 0 }

// addCandidate stores a report unless it has a newer one of the same instance. At the limit it
// drops the oldest candidate.
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
		drains := report.Draining || held.Draining // a drain has been acknowledged and remains binding
		if held.Sequence < report.Sequence {
			t.candidates[at] = report
		}
		t.candidates[at].Draining = drains
	case !t.isOlder(report.Start()):
		t.forget(held)
		t.candidates[at] = report
	}
}

// dropCandidates removes the reports that match.
func (t *Tracker) dropCandidates(matches func(Report) bool) {
	for _, held := range t.candidates {
		if matches(held) {
			t.forget(held)
		}
	}
	t.candidates = slices.DeleteFunc(t.candidates, matches)
}

// forget must be called for each report that is dropped. If its start drains, that start is
// recorded as ended, because the drain has been acknowledged.
func (t *Tracker) forget(report Report) {
	if report.Draining {
		t.end(endedStart{start: report.Start()})
	}
}

// candidateAt returns the index of the report of an instance, or -1.
func (t *Tracker) candidateAt(instance string) int {
	return slices.IndexFunc(t.candidates, func(held Report) bool { return held.Instance == instance })
}
