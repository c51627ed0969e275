package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/callclass"
)

// version generates answers of one software version.
type version struct {
	// failing and slow are the fractions of answers that fail and that take five times as long.
	// They apply to the class onlyClass, or to all classes if it is -1.
	failing   float64
	slow      float64
	onlyClass int
}

var meanLatencies = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 780 * time.Millisecond}

// answer adds one random answer of a class to the evidence. sharedFailures is the fraction of
// answers that fail regardless of the version.
func (v version) answer(random *rand.Rand, evidence Evidence, class int, sharedFailures float64) (bad bool) {
	counts := evidence[callclass.Class(class)]
	counts.Answers++
	affected := v.onlyClass < 0 || v.onlyClass == class
	latency := time.Duration(float64(meanLatencies[class]) * (0.4 + random.ExpFloat64()*0.6))
	slow := affected && random.Float64() < v.slow
	if slow {
		latency *= 5
	}
	if random.Float64() < sharedFailures || (affected && random.Float64() < v.failing) {
		counts.Failures++
		bad = true
	} else {
		counts.Latency[latencyBucket(latency)]++
	}
	evidence[callclass.Class(class)] = counts
	return bad || slow
}

var goodVersion = version{onlyClass: -1}

// answersUntilHalt simulates answers of both versions until the target is halted, and returns the
// number of the target's answers by then; 0 if it never is.
func answersUntilHalt(seed uint64, target version, sharedFailures float64, maxAnswers int) int {
	random := rand.New(rand.NewPCG(seed, 1))
	targetEvidence, stableEvidence := Evidence{}, Evidence{}
	for count := 1; count <= maxAnswers; count++ {
		class := random.IntN(len(meanLatencies))
		target.answer(random, targetEvidence, class, sharedFailures)
		for range 10 {
			goodVersion.answer(random, stableEvidence, random.IntN(len(meanLatencies)), sharedFailures)
		}
		if count%20 != 0 {
			continue
		}
		if Evaluate(targetEvidence, stableEvidence, toleratedFraction).RequiresHalt() {
			return count
		}
	}
	return 0
}

// A version that fails or is slow is detected within a few hundred answers, even if only one class
// of calls is affected.
func TestBadVersionsAreHalted(t *testing.T) {
	check := is.New(t)
	for seed := range uint64(100) {
		for _, bad := range []version{
			{failing: 0.3, onlyClass: -1}, {slow: 0.5, onlyClass: -1},
			{failing: 0.5, onlyClass: 2}, {slow: 0.8, onlyClass: 1},
		} {
			check.True(answersUntilHalt(seed, bad, 0, 400) > 0)
			check.True(answersUntilHalt(seed, bad, 0.06, 600) > 0) // with failures of both versions
		}
	}
}

// Failures that affect both versions lead to the halt of a good one in fewer than 1 of 100 orders.
func TestSharedFailuresDoNotHaltAGoodVersion(t *testing.T) {
	check := is.New(t)
	halted := 0
	for seed := range uint64(300) {
		for _, sharedFailures := range []float64{0, 0.06, 0.4} {
			if answersUntilHalt(seed, goodVersion, sharedFailures, 600) > 0 {
				halted++
			}
		}
	}
	check.True(halted < 9)
}

// A fixed threshold for the fraction of bad answers, the alternative to the statistical test, halts
// good versions if both versions fail.
func TestAFixedThresholdHaltsGoodVersionsUnderSharedFailures(t *testing.T) {
	check := is.New(t)
	halted := 0
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		evidence := Evidence{}
		for range 200 {
			goodVersion.answer(random, evidence, random.IntN(len(meanLatencies)), 0.4)
		}
		if total := evidence.Total(); float64(total.Failures) > 0.2*float64(total.Answers) {
			halted++
		}
	}
	check.Equal(halted, 100)
}

func TestLatencyBucketsGrow(t *testing.T) {
	check := is.New(t)
	previousBucket := -1
	for milliseconds := 1; milliseconds < 100_000; milliseconds = milliseconds*3/2 + 1 {
		bucket := latencyBucket(time.Duration(milliseconds) * time.Millisecond)
		check.True(bucket >= previousBucket)
		check.True(bucket < latencyBuckets)
		previousBucket = bucket
	}
	check.Equal(latencyBucket(0), 0)
	check.Equal(latencyBucket(time.Hour), latencyBuckets-1)
}

func TestATallyCountsOnlyAfterItsStart(t *testing.T) {
	check := is.New(t)
	tally := &Tally{}
	tally.Record(1, true, true, time.Second)
	check.Equal(tally.Evidence().Total().Answers, uint32(0))
	tally.Start()
	tally.Record(1, false, true, 10*time.Millisecond)
	tally.Record(1, true, false, 0)
	tally.Record(2, false, false, time.Second) // a success whose latency is not representative is not counted
	for class := range callclass.Class(3 * classLimit) {
		tally.Record(class, false, true, time.Millisecond) // more classes than are counted separately
	}
	evidence := tally.Evidence()
	check.Equal(evidence[1].Answers, uint32(3))
	check.Equal(evidence[1].Failures, uint32(1))
	check.Equal(len(evidence), classLimit)
	tally.Start() // has no effect while counting
	check.Equal(tally.Evidence()[1].Answers, uint32(3))
	tally.Reset()
	check.Equal(tally.Evidence().Total().Answers, uint32(0))
}

func TestEvidenceSinceAnEarlierState(t *testing.T) {
	check := is.New(t)
	earlierEvidence := Evidence{1: Counts{Answers: 5, Failures: 2}}
	now := Evidence{1: Counts{Answers: 9, Failures: 3}, 2: Counts{Answers: 1}}
	check.Equal(now.Since(earlierEvidence), Evidence{1: Counts{Answers: 4, Failures: 1}, 2: Counts{Answers: 1}})
	restarted := Evidence{1: Counts{Answers: 1}}
	check.Equal(restarted.Since(earlierEvidence), restarted)
}

// A slow version is detected despite failures that affect both versions. If slow and failed answers
// were counted together, the failures would conceal it.
func TestSharedFailuresDoNotConcealASlowVersion(t *testing.T) {
	check := is.New(t)
	for seed := range uint64(100) {
		slow := version{slow: 0.45, onlyClass: -1}
		answers := answersUntilHalt(seed, slow, 0.28, 200)
		check.True(answers > 0)
	}
}
