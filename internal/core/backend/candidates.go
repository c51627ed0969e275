package backend

import (
	"slices"
)

// candidateLimit bounds the number of candidates, one for each unconfirmed instance: an instance
// that starts, and a few earlier ones that crashed within the time for which heartbeats may be
// delayed.
const candidateLimit = 4

// HasCandidates reports whether there are candidates waiting for a probe.
func (t *Tracker) HasCandidates() bool { return len(t.candidates) > 0 }

// addCandidate stores a report unless there is a newer one of the same instance. At the limit it
// drops the oldest candidate.
func (t *Tracker) addCandidate(report Report) {
	index := t.candidateIndex(report.Instance)
	if index < 0 {
		if len(t.candidates) == candidateLimit {
			t.recordEndIfDraining(t.candidates[0])
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
		t.recordEndIfDraining(candidate)
		t.candidates[index] = report
	}
}

// dropCandidates removes the candidates for which matches returns true.
func (t *Tracker) dropCandidates(matches func(Report) bool) {
	for _, candidate := range t.candidates {
		if matches(candidate) {
			t.recordEndIfDraining(candidate)
		}
	}
	t.candidates = slices.DeleteFunc(t.candidates, matches)
}

// recordEndIfDraining records the start of a report as ended if it drains, because the drain has
// been acknowledged. It must be called for each report and each candidate that is dropped.
func (t *Tracker) recordEndIfDraining(report Report) {
	if report.Draining {
		t.recordEnded(endedStart{start: report.Start()})
	}
}

// candidateIndex returns the index of the candidate of an instance, or -1.
func (t *Tracker) candidateIndex(instance string) int {
	return slices.IndexFunc(t.candidates, func(candidate Report) bool { return candidate.Instance == instance })
}
