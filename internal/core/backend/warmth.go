package backend

import "time"

// longestCold bounds for how long a start counts as cold by one word of its own or one
// assumption, so that a senseless number does not hold calls back for good.
const longestCold = 10 * time.Minute

// warmth is until when a start is cold, by each source, on the daemon's clock. Health answers
// may lie, and heartbeats may be late, so the longer counts.
type warmth struct {
	byReport time.Duration
	byProbe  time.Duration
	// assumed counts until the back end has answered a probe that was asked afterwards.
	assumed time.Duration
}

// until is when the start is warm by all sources.
func (w warmth) until() time.Duration { return max(w.byReport, w.byProbe, w.assumed) }

// reported takes what a heartbeat says.
func (w *warmth) reported(now, left time.Duration) { w.byReport = now + bounded(left) }

// probed takes what the instance answered when it was asked.
func (w *warmth) probed(now, left time.Duration) {
	w.byProbe = now + bounded(left)
	w.assumed = 0
}

// bounded brings a time that may be any number within 0 and longestCold.
func bounded(left time.Duration) time.Duration { return min(max(left, 0), longestCold) }

// learnWarmth takes what a probe tells of the warm-up of the running start. One that failed,
// or was answered by another instance, changes nothing.
func (t *Tracker) learnWarmth(now time.Duration, probe ProbeResult) {
	if probe.Instance == t.running.Instance && t.running.Instance != "" && !t.unconfirmed && probe.TellsWarmUp {
		t.warmth.probed(now, probe.WarmUp)
	}
}

// AssumeCold has the back end count as cold for a time, unless it says otherwise when it is
// probed: it may have become cold unseen.
func (t *Tracker) AssumeCold(now, duration time.Duration) {
	t.warmth.assumed = now + bounded(duration)
}

// AwaitsWarmth tells whether the back end is assumed to be cold and has not answered since.
func (t *Tracker) IsAssumedCold(now time.Duration) bool {
	return t.running.Instance != "" && now < t.warmth.assumed
}

// DoubtsWarmth tells whether the back end is to be probed again: it has not answered since it
// was assumed to be cold, or its reports call it warm while its last answer calls it cold.
// Without the latter one false answer would hold calls back for as long as it said.
func (t *Tracker) NeedsWarmthProbe(now time.Duration) bool {
	contradicted := t.warmth.byReport <= now && now < t.warmth.byProbe
	return t.IsAssumedCold(now) || contradicted
}
