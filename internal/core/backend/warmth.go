package backend

import "time"

// longestWarmUp bounds what a back end may say of itself, so that a senseless number does not
// hold calls back for good.
const longestWarmUp = 10 * time.Minute

// warmth is until when an instance is cold, by each source. Health answers may lie, and
// heartbeats may be late, so the longer counts.
type warmth struct {
	byReport time.Duration
	byProbe  time.Duration
	// assumed counts until the instance itself was asked.
	assumed time.Duration
}

// until is when the instance is warm.
func (w warmth) until() time.Duration { return max(w.byReport, w.byProbe, w.assumed) }

// reported takes what a heartbeat says.
func (w *warmth) reported(now, left time.Duration) { w.byReport = now + bounded(left) }

// probed takes what the instance answered when it was asked.
func (w *warmth) probed(now, left time.Duration) {
	w.byProbe = now + bounded(left)
	w.assumed = 0
}

// bounded makes sense of any number.
func bounded(left time.Duration) time.Duration { return min(max(left, 0), longestWarmUp) }

// learnWarmth takes what a probe tells of the warm-up of the instance that runs. One that
// failed or tells nothing changes nothing.
func (t *Tracker) learnWarmth(now time.Duration, probe Probe) {
	if probe.Instance == t.running.Instance && t.running.Instance != "" && !t.unconfirmed && probe.TellsWarmUp {
		t.warmth.probed(now, probe.WarmUp)
	}
}

// AssumeCold has the instance count as cold for a time, unless it says otherwise when it is
// asked: it may have become cold unseen.
func (t *Tracker) AssumeCold(now, duration time.Duration) {
	t.warmth.assumed = now + bounded(duration)
}

// AwaitsWarmth tells whether the instance is assumed to be cold and has not been asked since.
func (t *Tracker) AwaitsWarmth(now time.Duration) bool {
	return t.running.Instance != "" && now < t.warmth.assumed
}

// DoubtsWarmth tells whether the instance is to be asked again how long it is cold: it has not
// answered what was assumed, or its reports say that it is warm while its last answer holds it
// for cold. Without that one false answer would hold calls back for as long as it said.
func (t *Tracker) DoubtsWarmth(now time.Duration) bool {
	contradicted := t.warmth.byReport <= now && now < t.warmth.byProbe
	return t.AwaitsWarmth(now) || contradicted
}
