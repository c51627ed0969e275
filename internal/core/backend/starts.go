package backend

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// endedLimit bounds the ended starts that are remembered: many more than there are within
	// the time for which a heartbeat may be held up.
	endedLimit = 32
	// persistentBeats is how many heartbeats in a row, over as many intervals, a start must
	// send that seems older than a silent one to be taken for the one that runs: a clock was
	// wrong then. Heartbeats that were held up come together, and are fewer.
	persistentBeats = 8
	// leavingBeats is the same for a start that may be one that left, where only a time is
	// known by which that one had begun: several times as long as a back end lives on after
	// it has left.
	leavingBeats = 120
)

// endedStart is a start that gets no work any more.
type endedStart struct {
	start protocol.BackendStart
	// orEarlier says that it may have been any earlier start under the name.
	orEarlier bool
}

// hasEnded tells whether a start is known to have left or been replaced.
func (t *Tracker) hasEnded(start protocol.BackendStart) bool {
	return slices.ContainsFunc(t.ended, func(known endedStart) bool { return known.start == start })
}

// beatsNeeded is how many heartbeats in a row make a start that seems older the one that runs.
func (t *Tracker) beatsNeeded(start protocol.BackendStart) int {
	mayHaveLeft := slices.ContainsFunc(t.ended, func(known endedStart) bool {
		return known.orEarlier && known.start.Instance == start.Instance && start.Born < known.start.Born
	})
	if mayHaveLeft {
		return leavingBeats
	}
	return persistentBeats
}

// end remembers a start that gets no work any more, once.
func (t *Tracker) end(ended endedStart) {
	if !slices.Contains(t.ended, ended) {
		t.ended = appendBounded(t.ended, endedLimit, ended)
	}
}

// isOlder tells whether a start is older than another one known under its name.
func (t *Tracker) isOlder(start protocol.BackendStart) bool {
	if t.running.Instance == start.Instance && start.Born < t.running.Born {
		return true
	}
	if at := t.candidateAt(start.Instance); at >= 0 && start.Born < t.candidates[at].Born {
		return true
	}
	return slices.ContainsFunc(t.ended, func(known endedStart) bool {
		return known.start.Instance == start.Instance && start.Born < known.start.Born
	})
}

// newestOf is the newest start known under a name; empty where none is.
func (t *Tracker) newestOf(instance string) protocol.BackendStart {
	var newest protocol.BackendStart
	note := func(start protocol.BackendStart) {
		if start.Instance == instance && (newest.Instance == "" || start.Born > newest.Born) {
			newest = start
		}
	}
	note(t.running)
	for _, held := range t.candidates {
		note(held.Start())
	}
	for _, known := range t.ended {
		note(known.start)
	}
	return newest
}

// persistence follows a start that seems older than a known one and goes on reporting. Times
// of starts come from clocks that may be wrong, and a start that lives must not be locked out
// by an absurd time that another one has told.
type persistence struct {
	start    protocol.BackendStart
	sequence uint64
	// reports is how many reports in a row have come, the first of them at since.
	reports int
	since   time.Duration
}

// persists takes a report of an older start, with the time at which the running one last
// reported. It tells whether the older one has gone on for so many beats, over as many
// intervals, while the running one was silent.
func (p *persistence) persists(now, interval, runningAt time.Duration, beats int, report Report) bool {
	if p.start != report.Start() || runningAt >= p.since && p.reports > 0 {
		*p = persistence{start: report.Start(), since: now}
	}
	if p.reports > 0 && report.Sequence <= p.sequence {
		return false
	}
	p.sequence = report.Sequence
	p.reports++
	return p.reports >= beats && now-p.since >= time.Duration(beats)*interval
}

// alone tells whether a start that seems older has reported again while the running one, which
// last reported at runningAt, was silent. A single report may have been held up.
func (p *persistence) alone(start protocol.BackendStart, runningAt time.Duration) bool {
	return p.start == start && p.reports > 1 && runningAt < p.since
}

// appendBounded appends to a list that forgets its oldest entry at a limit.
func appendBounded[Entry any](list []Entry, limit int, entry Entry) []Entry {
	if len(list) >= limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, entry)
}
