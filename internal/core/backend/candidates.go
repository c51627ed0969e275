package backend

import (
	"slices"
)

// candidateLimit bounds the number of unconfirmed instances: one that starts, and a few earlier
// ones that crashed within the time for which heartbeats may be delayed.
const candidateLimit = 4

// HasCandidates reports whether there are candidates waiting for a probe.
func (t *Tracker) HasCandidates() bool { return len(t.candidates) > 0 }

// addCandidate stores a report unless it has a newer one of the same instance. At the limit it
// drops the oldest candidate.
func (t *Tracker) addCandidate(report Report) {
	index := t.candidateIndex(report.Instance)
	if index < 0 {
		if len(t.candidates) == candidateLimit {
			t.recordDropped(t.candidates[0])
		}
		t.candidates = appendBounded(t.candidates, candidateLimit, report)
		return
	}
	candidate := t.candidates[index]
	switch {
	case candidate.Born == report.Born:
		draining := report.Draining || candidate.Draining // a drain has been acknowledged and remains binding
		if candidate.Sequence < report.Sequence {
			t.candidates[index] = report
		}
		t.candidates[index].Draining = draining
	case !t.isOlderThanKnown(report.Start()):
		t.recordDropped(candidate)
		t.candidates[index] = report
	}
}

// dropCandidates removes the reports that match.
func (t *Tracker) dropCandidates(matches func(Report) bool) {
	for _, candidate := range t.candidates {
		if matches(candidate) {
			t.recordDropped(candidate)
		}
	}
	t.candidates = slices.DeleteFunc(t.candidates, matches)
}

// recordDropped must be called for each report that is dropped. If its start drains, that start is
// recorded as ended, because the drain has been acknowledged.
func (t *Tracker) recordDropped(report Report) {
	if report.Draining {
		t.recordEnded(endedStart{start: report.Start()})
	}
}

// candidateIndex returns the index of the report of an instance, or -1.
func (t *Tracker) candidateIndex(instance string) int {
	return slices.IndexFunc(t.candidates, func(candidate Report) bool { return candidate.Instance == instance })
}
