package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
)

// trial simulates one order in virtual time with a decider, a service that receives requests at a
// fixed rate, and a target version that may turn bad.
type trial struct {
	target version
	// badFrom is the time at which the target turns bad.
	badFrom  time.Duration
	duration time.Duration
	perStep  int
	trouble  float64
	random   *rand.Rand
}

// trialResult is the result of a simulated order.
type trialResult struct {
	outcome Stage
	at      time.Duration
	// exposed is the number of requests sent to the target, bad the number of those that it
	// answered badly, and lastAfter the time from its 50th bad answer to the last request sent to
	// it.
	exposed   int
	requests  int
	bad       int
	lastAfter time.Duration
}

const (
	trialStep = 100 * time.Millisecond
	// hearing is the delay until daemons apply a stage.
	hearing    = 600 * time.Millisecond
	trialShare = 0.07
)

// play steps the order until it has an outcome.
func (t trial) play() trialResult {
	decider := &Decider{}
	record := Record{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}, Duration: t.duration, Stage: StageCanary}
	ofTarget, ofStable := Evidence{}, Evidence{}
	result := trialResult{}
	heeded, changedAt := StageCanary, time.Duration(0)
	fiftieth := time.Duration(0)
	for now := time.Duration(0); now < 4*t.duration; now += trialStep {
		if now-changedAt >= hearing {
			heeded = record.Stage
		}
		result.requests += t.perStep
		for range t.perStep {
			class := t.random.IntN(len(testMeans))
			if !t.toTarget(heeded) {
				good.answer(t.random, ofStable, class, t.trouble)
				continue
			}
			result.exposed++
			drawn := good
			if now >= t.badFrom {
				drawn = t.target
			}
			if drawn.answer(t.random, ofTarget, class, t.trouble) {
				result.bad++
			}
			if result.bad == 50 && fiftieth == 0 {
				fiftieth = now
			}
			if fiftieth > 0 {
				result.lastAfter = now - fiftieth
			}
		}
		seen := Observation{Stable: ofStable.Clone(), Target: ofTarget.Clone(), StableSlots: 100, TargetSlots: 100, StableKnown: true}
		if heeded == StageCanary {
			seen.StableRunning = 10
		}
		decision := decider.Step(now, record, now, seen)
		if decision.Stage != record.Stage {
			record.Stage = decision.Stage
			changedAt = now
		}
		if record.Stage.Final() && heeded == record.Stage {
			result.outcome, result.at = record.Stage, now
			return result
		}
	}
	return result
}

func (t trial) toTarget(stage Stage) bool {
	switch stage {
	case StageCanary:
		return t.random.Float64() < trialShare
	case StageShift, StageCompleted:
		return true
	}
	return false
}

// Good versions are completed in time, even with failures that affect both versions.
func TestGoodVersionsAreCompletedInTime(t *testing.T) {
	check := is.New(t)
	completed, all := 0, 0
	for seed := range uint64(60) {
		for _, duration := range []time.Duration{12 * time.Second, 20 * time.Second, time.Minute} {
			for _, trouble := range []float64{0, 0.06, 0.3} {
				got := trial{
					target: good, duration: duration, perStep: 60, trouble: trouble, random: rand.New(rand.NewPCG(seed, 3)),
				}.play()
				all++
				if got.outcome == StageCompleted && got.at <= duration {
					completed++
				}
			}
		}
	}
	check.True(float64(completed) >= 0.98*float64(all))
}

// Bad versions are rolled back before they exceed their share of requests, and receive no request
// later than 5 s after their 50th bad answer.
func TestBadVersionsAreRolledBackInTime(t *testing.T) {
	check := is.New(t)
	const exposureShare, exposureSlack = 0.1, 50
	for seed := range uint64(60) {
		for _, bad := range []version{
			{failing: 0.3, onlyClass: -1}, {slow: 0.6, onlyClass: -1}, {failing: 0.6, onlyClass: 1}, {slow: 0.9, onlyClass: 0},
		} {
			for _, from := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
				order := trial{
					target: bad, badFrom: from, duration: 20 * time.Second, perStep: 60, trouble: 0.02,
					random: rand.New(rand.NewPCG(seed, 4)),
				}
				got := order.play()
				check.Equal(got.outcome, StageRolledBack)
				check.True(got.lastAfter <= 5*time.Second)
				requests := float64(order.perStep) * float64(order.duration/trialStep)
				check.True(float64(got.exposed) <= exposureShare*requests+exposureSlack)
			}
		}
	}
}

func TestAnOrderWithoutRoomIsGivenUpAtItsDeadline(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	record := Record{Service: testService, Target: "v2", Duration: 10 * time.Second, Stage: StageCanary}
	few := Observation{StableSlots: 100, TargetSlots: 10}
	check.Equal(decider.Step(0, record, 9*time.Second, few).Stage, StageCanary)
	check.Equal(decider.Step(0, record, 10*time.Second, few).Stage, StageHalted)
	record.Stage = StageHalted
	check.Equal(decider.Step(0, record, 10*time.Second, few).Stage, StageRolledBack)
}

func TestATargetThatAloneIsLeftIsComplete(t *testing.T) {
	check := is.New(t)
	record := Record{Service: testService, Target: "v2", Duration: 10 * time.Second, Stage: StageCanary}
	alone := Observation{TargetSlots: 10}
	check.Equal((&Decider{}).Step(0, record, time.Second, alone).Stage, StageCanary)
	check.Equal((&Decider{}).Step(0, record, 2*time.Second, alone).Stage, StageCompleted)
}

// The completion waits for calls at other versions, for as long as they may run.
func TestCompletionWaitsForCallsAtOtherVersions(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	record := Record{Service: testService, Target: "v2", Duration: 20 * time.Second, Stage: StageShift}
	busy := Observation{StableSlots: 10, TargetSlots: 10, StableKnown: true, StableRunning: 1}
	idle, unknown := busy, busy
	idle.StableRunning = 0
	unknown.StableRunning, unknown.StableKnown = 0, false
	check.Equal(decider.Step(0, record, 0, idle).Stage, StageShift) // not all daemons have received the stage
	check.Equal(decider.Step(2*time.Second, record, 0, busy).Stage, StageShift)
	check.Equal(decider.Step(3*time.Second, record, 0, unknown).Stage, StageShift)
	check.Equal(decider.Step(3*time.Second, record, 0, idle).Stage, StageCompleted)
	check.Equal(decider.Step(7*time.Second, record, 0, busy).Stage, StageCompleted)
}

// A version with too much evidence against it to receive all traffic, but too little to be halted,
// is observed for longer, and halted if no time is left.
func TestASuspectedVersionIsWatchedForLonger(t *testing.T) {
	check := is.New(t)
	const duration = 20 * time.Second
	record := Record{Service: testService, Target: "v2", Duration: duration, Stage: StageCanary}
	seen := func(failures uint32) Observation {
		return Observation{
			Stable: Evidence{1: {Answers: 2000, Failures: 440}}, Target: Evidence{1: {Answers: 100, Failures: failures}},
			StableSlots: 100, TargetSlots: 100,
		}
	}
	suspected, cleared := seen(36), seen(25)
	check.Equal((&Decider{}).Step(0, record, ShiftDelay(duration), cleared).Stage, StageShift)
	decider := &Decider{}
	check.Equal(decider.Step(0, record, ShiftDelay(duration), suspected).Stage, StageCanary)
	check.Equal(decider.Step(time.Second, record, ShiftDelay(duration)+time.Second, cleared).Stage, StageShift)
	check.Equal((&Decider{}).Step(0, record, duration-deadlineMargin-settleTime, suspected).Stage, StageHalted)
}
