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
	// olderStartHeartbeats is the number of consecutive heartbeats, over as many intervals, after
	// which a start that appears to be older than a silent one is considered running: a clock must
	// have been wrong. Delayed heartbeats arrive together and are fewer.
	olderStartHeartbeats = 8
	// olderStartHeartbeatsAfterLeave replaces olderStartHeartbeats for a start that may be the one
	// that has left: a start of its instance has left, and only an upper bound of the start time is
	// known. It is several times as long as a back end keeps running after its leave.
	olderStartHeartbeatsAfterLeave = 120
)

// endedStart is a start that receives no more work.
type endedStart struct {
	start protocol.BackendStart
	// mayBeEarlier is true if start.Born is only an upper bound, so that an earlier start of the
	// same instance may have ended instead.
	mayBeEarlier bool
}

// isEnded reports whether a start is known to have left or been replaced.
func (t *Tracker) isEnded(start protocol.BackendStart) bool {
	return slices.ContainsFunc(t.endedStarts, func(ended endedStart) bool { return ended.start == start })
}

// requiredHeartbeats returns the number of consecutive heartbeats after which a start that appears
// to be older is considered running.
func (t *Tracker) requiredHeartbeats(start protocol.BackendStart) int {
	mayHaveLeft := slices.ContainsFunc(t.endedStarts, func(ended endedStart) bool {
		return ended.mayBeEarlier && ended.start.Instance == start.Instance && start.Born < ended.start.Born
	})
	if mayHaveLeft {
		return olderStartHeartbeatsAfterLeave
	}
	return olderStartHeartbeats
}

// recordEnded records a start that receives no more work, without duplicates.
func (t *Tracker) recordEnded(ended endedStart) {
	if !slices.Contains(t.endedStarts, ended) {
		t.endedStarts = appendBounded(t.endedStarts, endedLimit, ended)
	}
}

// isOlderThanKnown reports whether a start is older than another known start of the same instance.
func (t *Tracker) isOlderThanKnown(start protocol.BackendStart) bool {
	if t.running.Instance == start.Instance && start.Born < t.running.Born {
		return true
	}
	if index := t.candidateIndex(start.Instance); index >= 0 && start.Born < t.candidates[index].Born {
		return true
	}
	return slices.ContainsFunc(t.endedStarts, func(ended endedStart) bool {
		return ended.start.Instance == start.Instance && start.Born < ended.start.Born
	})
}

// newestStart returns the newest known start of an instance; the zero value if there is none.
func (t *Tracker) newestStart(instance string) protocol.BackendStart {
	var newest protocol.BackendStart
	consider := func(start protocol.BackendStart) {
		if start.Instance == instance && (newest.Instance == "" || start.Born > newest.Born) {
			newest = start
		}
	}
	consider(t.running)
	for _, candidate := range t.candidates {
		consider(candidate.Start())
	}
	for _, ended := range t.endedStarts {
		consider(ended.start)
	}
	return newest
}

// olderStartTracker tracks a start that appears to be older than a known one and keeps reporting.
// Start times come from clocks that may be wrong, and a running start must not be locked out by a
// wrong start time of another start.
type olderStartTracker struct {
	start    protocol.BackendStart
	sequence uint64
	// reports is the number of consecutive reports, the first of which arrived at firstReportAt.
	reports       int
	firstReportAt time.Duration
}

// recordReport records a report of the older start. runningReportedAt is the time of the running
// start's latest report. It returns whether the older start has sent the given number of
// heartbeats, over as many intervals, while the running one was silent.
func (o *olderStartTracker) recordReport(now, interval, runningReportedAt time.Duration, required int, report Report) bool {
	if o.start != report.Start() || runningReportedAt >= o.firstReportAt && o.reports > 0 {
		*o = olderStartTracker{start: report.Start(), firstReportAt: now}
	}
	if o.reports > 0 && report.Sequence <= o.sequence {
		return false
	}
	o.sequence = report.Sequence
	o.reports++
	return o.reports >= required && now-o.firstReportAt >= time.Duration(required)*interval
}

// isOnlyReporter reports whether the older start has reported more than once while the running one,
// whose latest report arrived at runningReportedAt, was silent. A single report may have been
// delayed.
func (o *olderStartTracker) isOnlyReporter(start protocol.BackendStart, runningReportedAt time.Duration) bool {
	return o.start == start && o.reports > 1 && runningReportedAt < o.firstReportAt
}

// appendBounded appends an entry and removes the oldest one if the list has reached its limit.
func appendBounded[Entry any](list []Entry, limit int, entry Entry) []Entry {
	if len(list) >= limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, entry)
}
