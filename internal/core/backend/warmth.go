package backend

import "time"

// maxColdTime bounds the time for which a start counts as cold because of a single report, probe or
// assumption, so that an implausible value does not block calls permanently.
const maxColdTime = 10 * time.Minute

// coldTimes holds the times until which a start is cold, by source, on the daemon's clock. Health
// answers may be wrong and heartbeats may be late, so the latest of these times applies.
type coldTimes struct {
	byReport time.Duration
	byProbe  time.Duration
	// byAssumption applies until the back end answers a later probe.
	byAssumption time.Duration
}

// coldUntil returns the time at which the start is warm according to all sources.
func (c coldTimes) coldUntil() time.Duration { return max(c.byReport, c.byProbe, c.byAssumption) }

// setByReport records the remaining warm-up time of a heartbeat.
func (c *coldTimes) setByReport(now, remaining time.Duration) {
	c.byReport = now + clampWarmUp(remaining)
}

// setByProbe records the remaining warm-up time of the answer to a probe.
func (c *coldTimes) setByProbe(now, remaining time.Duration) {
	c.byProbe = now + clampWarmUp(remaining)
	c.byAssumption = 0
}

// clampWarmUp limits a received duration to the range from 0 to maxColdTime.
func clampWarmUp(remaining time.Duration) time.Duration { return min(max(remaining, 0), maxColdTime) }

// updateWarmUp records the warm-up time of the running start from the answer to a probe. A failed
// probe, or an answer of another instance, changes nothing.
func (t *Tracker) updateWarmUp(now time.Duration, result ProbeResult) {
	if result.Instance == t.running.Instance && t.running.Instance != "" && !t.unconfirmed && result.TellsWarmUp {
		t.coldTimes.setByProbe(now, result.WarmUp)
	}
}

// AssumeCold treats the back end as cold for a given time, unless a probe shows otherwise: it may
// have become cold unnoticed.
func (t *Tracker) AssumeCold(now, duration time.Duration) {
	t.coldTimes.byAssumption = now + clampWarmUp(duration)
}

// IsAssumedCold reports whether the back end is assumed to be cold and has not answered a probe
// since.
func (t *Tracker) IsAssumedCold(now time.Duration) bool {
	return t.running.Instance != "" && now < t.coldTimes.byAssumption
}

// NeedsWarmthProbe reports whether the back end must be probed again: either it is assumed to be
// cold, or its reports say that it is warm while its latest answer to a probe said that it is cold.
// Without the second case, a single wrong answer would make the back end count as cold for the
// whole time stated in that answer.
func (t *Tracker) NeedsWarmthProbe(now time.Duration) bool {
	contradicted := t.coldTimes.byReport <= now && now < t.coldTimes.byProbe
	return t.IsAssumedCold(now) || contradicted
}
