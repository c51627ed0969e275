package rollout

import (
	"fmt"
	"time"
)

const (
	// propagationTime is the time after a change of stage by which all daemons have received it,
	// including those that receive it only when they compare records with a peer.
	propagationTime = 1500 * time.Millisecond
	// drainLimit is the longest wait for calls at the stable version to finish. It exceeds the time
	// that any call started there may run, unless a longer one is configured.
	drainLimit = 5 * time.Second
	// deadlineMargin is the time before the deadline of an order by which its outcome is to be
	// written. It is as long as the receipt of the order may be delayed, since the duration is
	// counted from the receipt.
	deadlineMargin = 1500 * time.Millisecond
	// minCanaryDurationFraction is the minimum fraction of an order's duration for which the canary is
	// observed before all traffic shifts.
	minCanaryDurationFraction = 0.4
	// minCapacityFraction is the minimum number of target slots, as a fraction of the stable
	// version's slots, for all traffic to shift. With fewer slots than the stable version, the
	// target's slots are used more fully for the same load.
	minCapacityFraction = 0.7
	// recentPeriod is the period whose answers are also evaluated separately, so that a version
	// that turns bad is detected in spite of earlier good answers.
	recentPeriod = 2500 * time.Millisecond
	// minRecentAnswers is the number of recent answers of the stable version below which all of its
	// answers are used for the comparison.
	minRecentAnswers = 50
)

// Observation is the input of a decider: the present state of a service.
type Observation struct {
	// Stable and Target hold the counts of the answers of each version since the order was received.
	Stable Evidence
	Target Evidence
	// StableRunning is the number of calls running or queued at the stable version. StableKnown is
	// true if all gates of that version have reported their number.
	StableRunning int
	StableKnown   bool
	// StableSlots and TargetSlots count the slots of back ends that accept work.
	StableSlots int
	TargetSlots int
}

// Decision is the stage that an order should have, and the reason.
type Decision struct {
	Stage  Stage
	Reason string
}

// Decider decides on one order. Every daemon that may decide runs its own decider, and the store
// accepts the first outcome that is written. It is not safe for concurrent use.
type Decider struct {
	// shifting is true once a step of the order has begun in StageShift; shiftedAt is the time of the
	// first such step.
	shiftedAt time.Duration
	shifting  bool
	// history holds the counts of the last recentPeriod, oldest first.
	history []sample
}

// sample holds the counts of an observation and its time.
type sample struct {
	at     time.Duration
	stable Evidence
	target Evidence
}

// ShiftDelay returns the time after the receipt of an order at which all traffic shifts to the
// target. The shift is late, because a version may turn bad at any time, but leaves enough time
// before the deadline for calls at the stable version to finish. The canary is always observed for
// minCanaryDurationFraction of the duration.
func ShiftDelay(duration time.Duration) time.Duration {
	latestShift := duration - deadlineMargin - propagationTime - drainLimit
	return max(latestShift, time.Duration(float64(duration)*minCanaryDurationFraction))
}

// Step returns the decision on an order that was first received the given elapsed time ago.
func (d *Decider) Step(now time.Duration, record Record, elapsed time.Duration, observation Observation) Decision {
	d.addToHistory(now, observation)
	switch record.Stage {
	case StageCanary:
		d.shifting = false
		return d.decideCanary(now, record, elapsed, observation)
	case StageShift:
		return d.decideShift(now, observation)
	case StageHalted:
		return Decision{Stage: StageRolledBack, Reason: "the target version was halted"}
	}
	return Decision{Stage: record.Stage}
}

func (d *Decider) decideCanary(now time.Duration, record Record, elapsed time.Duration, observation Observation) Decision {
	finding := d.evaluate(now, observation, toleratedFraction)
	if finding.RequiresHalt() {
		return Decision{Stage: StageHalted, Reason: finding.String()}
	}
	due := elapsed >= ShiftDelay(record.Duration)
	if due && finding.DelaysShift() {
		return decideDelayedShift(record, elapsed, finding)
	}
	switch {
	case observation.TargetSlots > 0 && observation.StableSlots == 0 && elapsed >= propagationTime:
		return Decision{Stage: StageCompleted, Reason: "no other version has back ends that accept work"}
	case due && float64(observation.TargetSlots) >= minCapacityFraction*float64(max(observation.StableSlots, 1)):
		return Decision{Stage: StageShift, Reason: fmt.Sprintf("no significant failures or slowness; the target has %d slots, the stable version %d", observation.TargetSlots, observation.StableSlots)}
	case elapsed >= record.Duration:
		return Decision{Stage: StageHalted, Reason: fmt.Sprintf("too few target slots at the deadline: the target has %d, the stable version %d", observation.TargetSlots, observation.StableSlots)}
	}
	return Decision{Stage: StageCanary}
}

// decideDelayedShift extends the canary stage of a version whose shift is due but delayed by a
// finding against it. It halts the version if no time is left for the shift.
func decideDelayedShift(record Record, elapsed time.Duration, finding Finding) Decision {
	if elapsed >= record.Duration-deadlineMargin-propagationTime {
		return Decision{Stage: StageHalted, Reason: "suspected until the deadline: " + finding.String()}
	}
	return Decision{Stage: StageCanary}
}

func (d *Decider) decideShift(now time.Duration, observation Observation) Decision {
	if !d.shifting {
		d.shifting = true
		d.shiftedAt = now
	}
	if finding := d.evaluate(now, observation, toleratedFractionAlone); finding.RequiresHalt() {
		return Decision{Stage: StageHalted, Reason: finding.String()}
	}
	waited := now - d.shiftedAt
	drained := observation.StableKnown && observation.StableRunning == 0
	switch {
	case waited >= propagationTime && drained:
		return Decision{Stage: StageCompleted, Reason: "all calls at other versions have finished"}
	case waited >= propagationTime+drainLimit:
		return Decision{Stage: StageCompleted, Reason: "calls at other versions did not finish within the drain limit"}
	}
	return Decision{Stage: StageShift}
}

// evaluate evaluates all answers and the recent ones separately, and returns the stronger finding.
func (d *Decider) evaluate(now time.Duration, observation Observation, toleratedShare float64) Finding {
	finding := Evaluate(observation.Target, observation.Stable, toleratedShare)
	for _, earlier := range d.history {
		if now-earlier.at > recentPeriod {
			continue
		}
		recent := observation.Stable.Since(earlier.stable)
		if recent.Total().Answers < minRecentAnswers {
			recent = observation.Stable
		}
		return stronger(finding, Evaluate(observation.Target.Since(earlier.target), recent, toleratedShare))
	}
	return finding
}

// addToHistory adds the counts of an observation to the history and removes those older than
// recentPeriod.
func (d *Decider) addToHistory(now time.Duration, observation Observation) {
	for len(d.history) > 0 && now-d.history[0].at > recentPeriod {
		d.history = d.history[1:]
	}
	d.history = append(d.history, sample{at: now, stable: observation.Stable, target: observation.Target})
}
