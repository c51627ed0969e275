package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
)

// simulatedOrder simulates one order in virtual time with a decider, a service that receives
// requests at a fixed rate, and a target version that may turn bad.
type simulatedOrder struct {
	target version
	// badFrom is the time at which the target turns bad.
	badFrom         time.Duration
	duration        time.Duration
	requestsPerStep int
	sharedFailures  float64
	random          *rand.Rand
}

// simulationResult is the result of a simulated order.
type simulationResult struct {
	outcome   Stage
	outcomeAt time.Duration
	// exposedRequests is the number of requests sent to the target, badAnswers the number of its bad
	// answers, and lastRequestDelay the time from its 50th bad answer to the last request sent to
	// it.
	exposedRequests  int
	requests         int
	badAnswers       int
	lastRequestDelay time.Duration
}

const (
	simulationStep = 100 * time.Millisecond
	// applyDelay is the delay until daemons apply a stage.
	applyDelay = 600 * time.Millisecond
	// canaryShare is the fraction of the calls that the canary receives.
	canaryShare = 0.07
)

// run simulates the order until it has an outcome, for at most four times its duration.
func (o simulatedOrder) run() simulationResult {
	decider := &Decider{}
	record := Record{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}, Duration: o.duration, Stage: StageCanary}
	targetEvidence, stableEvidence := Evidence{}, Evidence{}
	result := simulationResult{}
	applied, changedAt := StageCanary, time.Duration(0)
	fiftiethBadAt := time.Duration(0)
	for now := time.Duration(0); now < 4*o.duration; now += simulationStep {
		if now-changedAt >= applyDelay {
			applied = record.Stage
		}
		result.requests += o.requestsPerStep
		for range o.requestsPerStep {
			class := o.random.IntN(len(meanLatencies))
			if !o.selectsTarget(applied) {
				goodVersion.answer(o.random, stableEvidence, class, o.sharedFailures)
				continue
			}
			result.exposedRequests++
			version := goodVersion
			if now >= o.badFrom {
				version = o.target
			}
			if version.answer(o.random, targetEvidence, class, o.sharedFailures) {
				result.badAnswers++
			}
			if result.badAnswers == 50 && fiftiethBadAt == 0 {
				fiftiethBadAt = now
			}
			if fiftiethBadAt > 0 {
				result.lastRequestDelay = now - fiftiethBadAt
			}
		}
		observation := Observation{Stable: stableEvidence.Clone(), Target: targetEvidence.Clone(), StableSlots: 100, TargetSlots: 100, StableKnown: true}
		if applied == StageCanary {
			observation.StableRunning = 10
		}
		decision := decider.Step(now, record, now, observation)
		if decision.Stage != record.Stage {
			record.Stage = decision.Stage
			changedAt = now
		}
		if record.Stage.Final() && applied == record.Stage {
			result.outcome, result.outcomeAt = record.Stage, now
			return result
		}
	}
	return result
}

func (o simulatedOrder) selectsTarget(stage Stage) bool {
	switch stage {
	case StageCanary:
		return o.random.Float64() < canaryShare
	case StageShift, StageCompleted:
		return true
	}
	return false
}

// Roll-outs of good versions complete in time, even with failures that affect both versions.
func TestRolloutsOfGoodVersionsCompleteInTime(t *testing.T) {
	check := is.New(t)
	completed, orderCount := 0, 0
	for seed := range uint64(60) {
		for _, duration := range []time.Duration{12 * time.Second, 20 * time.Second, time.Minute} {
			for _, sharedFailures := range []float64{0, 0.06, 0.3} {
				result := simulatedOrder{
					target: goodVersion, duration: duration, requestsPerStep: 60, sharedFailures: sharedFailures, random: rand.New(rand.NewPCG(seed, 3)),
				}.run()
				orderCount++
				if result.outcome == StageCompleted && result.outcomeAt <= duration {
					completed++
				}
			}
		}
	}
	check.True(float64(completed) >= 0.98*float64(orderCount))
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
			for _, badFrom := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
				order := simulatedOrder{
					target: bad, badFrom: badFrom, duration: 20 * time.Second, requestsPerStep: 60, sharedFailures: 0.02,
					random: rand.New(rand.NewPCG(seed, 4)),
				}
				result := order.run()
				check.Equal(result.outcome, StageRolledBack)
				check.True(result.lastRequestDelay <= 5*time.Second)
				requests := float64(order.requestsPerStep) * float64(order.duration/simulationStep)
				check.True(float64(result.exposedRequests) <= exposureShare*requests+exposureSlack)
			}
		}
	}
}

func TestAnOrderWithoutCapacityIsHaltedAtItsDeadline(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	record := Record{Service: testService, Target: "v2", Duration: 10 * time.Second, Stage: StageCanary}
	observation := Observation{StableSlots: 100, TargetSlots: 10}
	check.Equal(decider.Step(0, record, 9*time.Second, observation).Stage, StageCanary)
	check.Equal(decider.Step(0, record, 10*time.Second, observation).Stage, StageHalted)
	record.Stage = StageHalted
	check.Equal(decider.Step(0, record, 10*time.Second, observation).Stage, StageRolledBack)
}

func TestAnOrderIsCompletedIfOnlyTheTargetIsRunning(t *testing.T) {
	check := is.New(t)
	record := Record{Service: testService, Target: "v2", Duration: 10 * time.Second, Stage: StageCanary}
	observation := Observation{TargetSlots: 10}
	check.Equal((&Decider{}).Step(0, record, time.Second, observation).Stage, StageCanary)
	check.Equal((&Decider{}).Step(0, record, 2*time.Second, observation).Stage, StageCompleted)
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
func TestASuspectedVersionIsObservedForLonger(t *testing.T) {
	check := is.New(t)
	const duration = 20 * time.Second
	record := Record{Service: testService, Target: "v2", Duration: duration, Stage: StageCanary}
	observe := func(failures uint32) Observation {
		return Observation{
			Stable: Evidence{1: {Answers: 2000, Failures: 440}}, Target: Evidence{1: {Answers: 100, Failures: failures}},
			StableSlots: 100, TargetSlots: 100,
		}
	}
	suspected, unsuspicious := observe(36), observe(25)
	check.Equal((&Decider{}).Step(0, record, ShiftDelay(duration), unsuspicious).Stage, StageShift)
	decider := &Decider{}
	check.Equal(decider.Step(0, record, ShiftDelay(duration), suspected).Stage, StageCanary)
	check.Equal(decider.Step(time.Second, record, ShiftDelay(duration)+time.Second, unsuspicious).Stage, StageShift)
	check.Equal((&Decider{}).Step(0, record, duration-deadlineMargin-propagationTime, suspected).Stage, StageHalted)
}
