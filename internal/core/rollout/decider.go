package rollout

import (
	"fmt"
	"time"
)

const (
	// settleTime is how long after a change of stage all daemons have heard of it, those
	// that only a comparison of records reaches included.
	settleTime = 1500 * time.Millisecond
	// drainLimit is how long calls at the stable version are waited for: longer than
	// any that has still begun there may run, where nothing longer is stated.
	drainLimit = 5 * time.Second
	// deadlineMargin is how long before its deadline an outcome is to be written: orders
	// are heard of late by so much.
	deadlineMargin = 1500 * time.Millisecond
	// canaryPart is the least part of an order's duration that is watched before all
	// traffic moves.
	canaryPart = 0.4
	// capacityShare is the share of the stable version's slots that the target must have
	// before all traffic moves: the same work in somewhat fuller slots.
	capacityShare = 0.7
	// recentSpan is the span in which answers are also judged by themselves, so that a
	// version that turns bad is not excused by its past.
	recentSpan = 2500 * time.Millisecond
	// fewStable is the number of recent answers of the stable version below which all of
	// them are compared with.
	fewStable = 50
)

// Observation is what a decider sees of a service now.
type Observation struct {
	// Stable and Target are what gates have counted since the order was heard of.
	Stable Evidence
	Target Evidence
	// StableRunning are the calls that run or wait at the stable version. StableKnown
	// says that all its gates have told.
	StableRunning int
	StableKnown   bool
	// StableSlots and TargetSlots are those of back ends that take work.
	StableSlots int
	TargetSlots int
}

// Decision is the stage that an order should have, and why.
type Decision struct {
	Stage  Stage
	Reason string
}

// Decider follows one order. Every daemon that may decide steps its own, and the store
// takes the first outcome that is written. It is not safe for concurrent use.
type Decider struct {
	shiftedAt time.Duration
	shifting  bool
	// history are the observations of the last recentSpan, oldest first.
	history []sample
}

// sample is what was counted at a time.
type sample struct {
	at     time.Duration
	stable Evidence
	target Evidence
}

// ShiftAt is when all traffic of an order moves, after it was heard of: as late as calls
// at the stable version leave time to end, for a version may turn bad at any time.
func ShiftDelay(duration time.Duration) time.Duration {
	late := duration - deadlineMargin - settleTime - drainLimit
	return max(late, time.Duration(float64(duration)*canaryPart))
}

// Step decides on an order that was heard of elapsed ago.
func (d *Decider) Step(now time.Duration, record Record, elapsed time.Duration, seen Observation) Decision {
	d.remember(now, seen)
	switch record.Stage {
	case StageCanary:
		d.shifting = false
		return d.watchCanary(now, record, elapsed, seen)
	case StageShift:
		return d.finishShift(now, seen)
	case StageHalted:
		return Decision{Stage: StageRolledBack, Reason: "the target version was given up"}
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
		return Decision{Stage: StageCompleted, Reason: "no other version is left"}
	case due && float64(seen.TargetSlots) >= capacityShare*float64(max(seen.StableSlots, 1)):
		return Decision{Stage: StageShift, Reason: fmt.Sprintf("no sign against it; %d slots of %d", seen.TargetSlots, seen.StableSlots)}
	case elapsed >= record.Duration:
		return Decision{Stage: StageHalted, Reason: fmt.Sprintf("%d slots at the deadline, %d are needed", seen.TargetSlots, seen.StableSlots)}
	}
	return Decision{Stage: StageCanary}
}

// watchSuspected goes on watching a version that is due to get all calls, and gives it up
// when there is no time left to move them.
func watchSuspected(record Record, elapsed time.Duration, finding Finding) Decision {
	if elapsed >= record.Duration-deadlineMargin-settleTime {
		return Decision{Stage: StageHalted, Reason: "suspected until the end: " + finding.String()}
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
		return Decision{Stage: StageCompleted, Reason: "no call is left at other versions"}
	case waited >= settleTime+drainLimit:
		return Decision{Stage: StageCompleted, Reason: "calls at other versions have had their time"}
	}
	return Decision{Stage: StageShift}
}

// judge judges all answers, and the latest by themselves, and returns the stronger finding.
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

// remember keeps an observation as long as the latest ones are compared with it.
func (d *Decider) remember(now time.Duration, seen Observation) {
	for len(d.history) > 0 && now-d.history[0].at > recentSpan {
		d.history = d.history[1:]
	}
	d.history = append(d.history, sample{at: now, stable: seen.Stable, target: seen.Target})
}
