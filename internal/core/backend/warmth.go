package backend

import "time"

// longestCold bounds the time for which a start counts as cold because of a single report, probe or
// assumption, so that an absurd value does not block calls permanently.
const longestCold = 10 * time.Minute

// warmth holds the times until which a start is cold, by source, on the daemon's clock. Health
// answers may be wrong and heartbeats may be late, so the latest of these times applies.
type warmth struct {
	byReport time.Duration
	byProbe  time.Duration
	// assumed applies until the back end answers a later probe.
	assumed time.Duration
}

// until returns the time at which the start is warm according to all sources.
func (w warmth) until() time.Duration { return max(w.byReport, w.byProbe, w.assumed) }

// reported records the remaining warm-up time of a heartbeat.
func (w *warmth) reported(now, left time.Duration) { w.byReport = now + bounded(left) }

// probed records the remaining warm-up time of the answer to a probe.
func (w *warmth) probed(now, left time.Duration) {
	w.byProbe = now + bounded(left)
	w.assumed = 0
}

// bounded limits a received duration to the range from 0 to longestCold.
func bounded(left time.Duration) time.Duration { return min(max(left, 0), longestCold) }

// learnWarmth records the warm-up time of the running start from the answer to a probe. A failed
// probe, or an answer of another instance, changes nothing.
func (t *Tracker) learnWarmth(now time.Duration, probe ProbeResult) {
	if probe.Instance == t.running.Instance && t.running.Instance != "" && !t.unconfirmed && probe.TellsWarmUp {
		t.warmth.probed(now, probe.WarmUp)
	}
}

// AssumeCold treats the back end as cold for a given time, unless a probe shows otherwise: it may
// have become cold unnoticed.
func (t *Tracker) AssumeCold(now, duration time.Duration) {
	t.warmth.assumed = now + bounded(duration)
}

// AwaitsWarmth reports whether the back end is assumed to be cold and has not answered a probe
// since.
func (t *Tracker) IsAssumedCold(now time.Duration) bool {
	return t.running.Instance != "" && now < t.warmth.assumed
}

// DoubtsWarmth reports whether the back end must be probed again: either it is assumed to be cold,
// or its reports say that it is warm while its latest answer to a probe said that it is cold.
// Without the second case a single wrong answer would block calls for as long as it stated.
func (t *Tracker) NeedsWarmthProbe(now time.Duration) bool {
	contradicted := t.warmth.byReport <= now && now < t.warmth.byProbe
	return t.IsAssumedCold(now) || contradicted
}
