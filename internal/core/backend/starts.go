package backend

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// endedLimit bounds the number of ended starts that are kept. It is far higher than the number
	// of starts within the time for which a heartbeat may be delayed.
	endedLimit = 32
	// persistentBeats is the number of consecutive heartbeats, over as many intervals, after which
	// a start that appears to be older than a silent one is considered running: a clock must have
	// been wrong. Delayed heartbeats arrive together and are fewer.
	persistentBeats = 8
	// leavingBeats replaces persistentBeats for a start that may be one that left, if only an upper
	// bound of the start time of the one that left is known. It is several times as long as a back
	// end keeps running after its leave.
	leavingBeats = 120
)

// endedStart is a start that receives no more work.
type endedStart struct {
	start protocol.BackendStart
	// orEarlier is true if an earlier start of the same instance may be meant.
	orEarlier bool
}

// hasEnded reports whether a start is known to have left or been replaced.
func (t *Tracker) hasEnded(start protocol.BackendStart) bool {
	return slices.ContainsFunc(t.ended, func(known endedStart) bool { return known.start == start })
}

// beatsNeeded returns the number of consecutive heartbeats after which a start that appears to be
// older is considered running.
func (t *Tracker) beatsNeeded(start protocol.BackendStart) int {
	mayHaveLeft := slices.ContainsFunc(t.ended, func(known endedStart) bool {
		return known.orEarlier && known.start.Instance == start.Instance && start.Born < known.start.Born
	})
	if mayHaveLeft {
		return leavingBeats
	}
	return persistentBeats
}

// end records a start that receives no more work, without duplicates.
func (t *Tracker) end(ended endedStart) {
	if !slices.Contains(t.ended, ended) {
		t.ended = appendBounded(t.ended, endedLimit, ended)
	}
}

// isOlder reports whether a start is older than another known start of the same instance.
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

// newestOf returns the newest known start of an instance; the zero value if there is none.
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

// persistence tracks a start that appears to be older than a known one and keeps reporting. Start
// times come from clocks that may be wrong, and a running start must not be locked out by a wrong
// start time of another one.
type persistence struct {
	start    protocol.BackendStart
	sequence uint64
	// reports is the number of consecutive reports, the first of which arrived at since.
	reports int
	since   time.Duration
}

// persists records a report of the older start, given the time of the running start's latest
// report. It reports whether the older start has sent the given number of heartbeats, over as many
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

// alone reports whether the older start has reported more than once while the running one, whose
// latest report arrived at runningAt, was silent. A single report may have been delayed.
func (p *persistence) alone(start protocol.BackendStart, runningAt time.Duration) bool {
	return p.start == start && p.reports > 1 && runningAt < p.since
}

// appendBounded appends an entry and removes the oldest one if the list has reached its limit.
func appendBounded[Entry any](list []Entry, limit int, entry Entry) []Entry {
	if len(list) >= limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, entry)
}
