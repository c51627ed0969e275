package rollout

import (
	"fmt"
	"time"
)

const (
	// settleTime is the time after a change of stage by which all daemons have received it,
	// including those that receive it only when they compare records with a peer.
	settleTime = 1500 * time.Millisecond
	// drainLimit is the longest wait for calls at the stable version to finish. It exceeds the time
	// that any call started there may run, unless a longer one is configured.
	drainLimit = 5 * time.Second
	// deadlineMargin is the time before its deadline by which an outcome is to be written. It is as
	// long as the receipt of an order may be delayed.
	deadlineMargin = 1500 * time.Millisecond
	// canaryPart is the minimum fraction of an order's duration for which the canary is observed
	// before all traffic shifts.
	canaryPart = 0.4
	// capacityShare is the fraction of the stable version's slots that the target must have before
	// all traffic shifts. The slots are then used somewhat more fully for the same load.
	capacityShare = 0.7
	// recentSpan is the period whose answers are also evaluated separately, so that a version that
	// turns bad is detected in spite of earlier good answers.
	recentSpan = 2500 * time.Millisecond
	// fewStable is the number of recent answers of the stable version below which all of its
	// answers are used for the comparison.
	fewStable = 50
)

// Observation is the input of a decider: the present state of a service.
type Observation struct {
	// Stable and Target hold what gates have counted since the order was received.
	Stable Evidence
	Target Evidence
	// StableRunning is the number of calls running or queued at the stable version. StableKnown is
	// true if all of its gates have reported theirs.
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
	shiftedAt time.Duration
	shifting  bool
	// history holds the observations of the last recentSpan, oldest first.
	history []sample
}

// sample holds the counts at one time.
type sample struct {
	at     time.Duration
	stable Evidence
	target Evidence
}

// ShiftAt returns the time after the receipt of an order at which all traffic shifts to the target.
// It is as late as the time for calls at the stable version to finish allows, because a version may
// turn bad at any time.
func ShiftDelay(duration time.Duration) time.Duration {
	late := duration - deadlineMargin - settleTime - drainLimit
	return max(late, time.Duration(float64(duration)*canaryPart))
}

// Step returns the decision on an order that was first received the given elapsed time ago.
func (d *Decider) Step(now time.Duration, record Record, elapsed time.Duration, seen Observation) Decision {
	d.remember(now, seen)
	switch record.Stage {
	case StageCanary:
		d.shifting = false
		return d.watchCanary(now, record, elapsed, seen)
	case StageShift:
		return d.finishShift(now, seen)
	case StageHalted:
		return Decision{Stage: StageRolledBack, Reason: "the target version was halted"}
	}
	return Decision{Stage: record.Stage}
}

func (d *Decider) watchCanary(now time.Duration, record Record, elapsed time.Duration, seen Observation) Decision {
	finding := d.judge(now, seen, baseShare)
	if finding.RequiresHalt() {
		return Decision{Stage: StageHalted, Reason: finding.String()}
	}
	due := elapsed >= ShiftDelay(record.Duration)
	if due && finding.DelaysShift() {
		return watchSuspected(record, elapsed, finding)
	}
	switch {
	case seen.TargetSlots > 0 && seen.StableSlots == 0 && elapsed >= settleTime:
		return Decision{Stage: StageCompleted, Reason: "no other version has back ends that accept work"}
	case due && float64(seen.TargetSlots) >= capacityShare*float64(max(seen.StableSlots, 1)):
		return Decision{Stage: StageShift, Reason: fmt.Sprintf("no significant failures or slowness; the target has %d slots, the stable version %d", seen.TargetSlots, seen.StableSlots)}
	case elapsed >= record.Duration:
		return Decision{Stage: StageHalted, Reason: fmt.Sprintf("too few target slots at the deadline: the target has %d, the stable version %d", seen.TargetSlots, seen.StableSlots)}
	}
	return Decision{Stage: StageCanary}
}

// watchSuspected extends the canary stage of a version that is due to receive all traffic, and
// halts it if no time is left for the shift.
func watchSuspected(record Record, elapsed time.Duration, finding Finding) Decision {
	if elapsed >= record.Duration-deadlineMargin-settleTime {
		return Decision{Stage: StageHalted, Reason: "suspected until the deadline: " + finding.String()}
	}
	return Decision{Stage: StageCanary}
}

func (d *Decider) finishShift(now time.Duration, seen Observation) Decision {
	if !d.shifting {
		d.shifting = true
		d.shiftedAt = now
	}
	if finding := d.judge(now, seen, baseAlone); finding.RequiresHalt() {
		return Decision{Stage: StageHalted, Reason: finding.String()}
	}
	waited := now - d.shiftedAt
	drained := seen.StableKnown && seen.StableRunning == 0
	switch {
	case waited >= settleTime && drained:
		return Decision{Stage: StageCompleted, Reason: "all calls at other versions have finished"}
	case waited >= settleTime+drainLimit:
		return Decision{Stage: StageCompleted, Reason: "calls at other versions did not finish within the drain limit"}
	}
	return Decision{Stage: StageShift}
}

// judge evaluates all answers and the recent ones separately, and returns the stronger finding.
func (d *Decider) judge(now time.Duration, seen Observation, base float64) Finding {
	finding := Evaluate(seen.Target, seen.Stable, base)
	for _, one := range d.history {
		if now-one.at > recentSpan {
			continue
		}
		recent := seen.Stable.Since(one.stable)
		if recent.Total().Answers < fewStable {
			recent = seen.Stable
		}
		return stronger(finding, Evaluate(seen.Target.Since(one.target), recent, base))
	}
	return finding
}

// remember adds an observation to the history and removes those older than recentSpan.
func (d *Decider) remember(now time.Duration, seen Observation) {
	for len(d.history) > 0 && now-d.history[0].at > recentSpan {
		d.history = d.history[1:]
	}
	d.history = append(d.history, sample{at: now, stable: seen.Stable, target: seen.Target})
}
