package rollout

import (
	"fmt"
	"math"

	"github.com/springstack/springstack/internal/core/callclass"
)

const (
	// slowFraction is the fraction of the stable version's answers that form the tail of its
	// latency histogram: an answer is slow if it took longer than the answers outside this tail
	// (see slowBucketMargin). In the experiment, 0.05 detected slow versions sooner than 0.02: the
	// last call to them came at most 7.6 s after their 50th bad answer, instead of 16.2 s.
	slowFraction = 0.05
	// slowBucketMargin is the number of latency buckets by which an answer must exceed the start of
	// that tail to count as slow. One bucket is up to 1.5 times the latency, so that a busy canary
	// does not count as slow.
	slowBucketMargin = 1
	// minBadAnswers is the minimum number of bad answers for a finding.
	minBadAnswers = 4
	// toleratedFraction is the fraction of bad answers that is always tolerated.
	// toleratedFractionAlone replaces it once the stable version receives no more calls, because
	// failures that would affect both versions can then no longer be recognised.
	toleratedFraction      = 0.01
	toleratedFractionAlone = 0.15
	// maxExpected is the maximum expected fraction of bad answers. With an expectation of 1 no
	// number of bad answers would be significant.
	maxExpected = 0.95
	// uncertaintyDeviations is how many standard deviations are added to the estimated fraction of
	// bad answers of the stable version.
	uncertaintyDeviations = 2
	// haltThreshold is the significance, in nats, above which a version is halted: at 5 the
	// probability that so many bad answers occur by chance at one evaluation is at most e^-5, one
	// in 150. Together with delayThreshold, it halts 60 of 7,068 good versions of the experiment
	// and misses none of 13,932 bad ones.
	haltThreshold = 5
	// delayThreshold is the significance, in nats, above which a version does not receive all
	// traffic yet but is observed for longer: the probability that so many bad answers occur by
	// chance is at most one in four. Once the version receives all traffic, no other version
	// is left to compare it with. The effect is described in docs/design/rollouts.md.
	delayThreshold = 1.5
)

// Sign is a kind of evidence against a version.
type Sign int

// The signs are evaluated separately. If they were combined, failures that affect both versions
// would conceal that the target is slow.
const (
	// Failing counts failed answers among all answers.
	Failing Sign = iota
	// Slow counts answers that took much longer than the stable version's, among those that did not
	// fail.
	Slow
)

var signNames = [...]string{Failing: "failed", Slow: "slow"}

// Finding is the result of the comparison of two versions.
type Finding struct {
	Sign  Sign
	Class callclass.Class
	// Answers and Bad are the counts of the target. Expected is the fraction of bad answers up to
	// which the target is considered as good as the stable version: the latter's estimated
	// fraction, plus tolerances.
	Answers  int
	Bad      int
	Expected float64
	// All is true if the finding covers all classes of calls together.
	All bool
}

// String returns the finding as text for logs and for the reason of a decision.
func (f Finding) String() string {
	return fmt.Sprintf("%d of %d answers %s, expected fraction %.3f", f.Bad, f.Answers, signNames[f.Sign], f.Expected)
}

// Evaluate compares the answers of the target version with those of the stable version in the same
// period. It does so for each sign, within each class of calls and over all classes together, and
// returns the finding of the highest significance. Failures that affect both versions alike do not
// count against the target. toleratedShare is the fraction of bad answers that is always accepted.
//
// The number of bad answers is tested against a binomial distribution with the stable version's
// fraction of bad answers, plus a tolerance for the uncertainty of that estimate. By the Chernoff
// bound, if a fraction p of n answers is expected to be bad, the probability that a larger fraction
// q or more is bad is at most exp(-n KL(q, p)).
func Evaluate(target, stable Evidence, toleratedShare float64) Finding {
	return stronger(evaluateSign(Failing, target, stable, toleratedShare), evaluateSign(Slow, target, stable, toleratedShare))
}

func evaluateSign(sign Sign, target, stable Evidence, toleratedShare float64) Finding {
	all, strongest := Finding{Sign: sign, All: true}, Finding{Sign: sign}
	expectedBad := 0.0
	for class, counts := range target {
		finding := evaluateClass(sign, counts, stable[class], toleratedShare)
		finding.Class = class
		strongest = stronger(strongest, finding)
		all.Bad += finding.Bad
		all.Answers += finding.Answers
		expectedBad += finding.Expected * float64(finding.Answers)
	}
	if all.Answers == 0 {
		return strongest
	}
	all.Expected = expectedBad / float64(all.Answers)
	return stronger(strongest, all)
}

// stronger returns the finding with the higher significance.
func stronger(first, second Finding) Finding {
	if second.Significance() > first.Significance() {
		return second
	}
	return first
}

// evaluateClass evaluates one class of calls for a sign.
func evaluateClass(sign Sign, target, stable Counts, toleratedShare float64) Finding {
	slowFrom := slowBucket(stable)
	answers, bad := target.countBad(sign, slowFrom)
	stableAnswers, stableBad := stable.countBad(sign, slowFrom)
	share := float64(stableBad+1) / float64(stableAnswers+2)
	if stableAnswers == 0 {
		share = 0 // nothing to compare with: only failures count, beyond the tolerated fraction
	}
	uncertainty := uncertaintyDeviations * math.Sqrt(share*(1-share)/float64(stableAnswers+2))
	return Finding{Sign: sign, Answers: answers, Bad: bad, Expected: min(share+uncertainty+toleratedShare, maxExpected)}
}

// countBad returns the number of answers that are relevant to a sign, and the number of bad ones
// among them.
func (c Counts) countBad(sign Sign, slowFrom int) (answers, bad int) {
	if sign == Failing {
		return int(c.Answers), int(c.Failures)
	}
	return int(c.Answers - c.Failures), c.countFromBucket(slowFrom)
}

// Significance returns the strength of the evidence that the bad answers did not occur by chance,
// in nats. It is 0 if there are too few of them or no more than expected.
func (f Finding) Significance() float64 {
	if f.Bad < minBadAnswers {
		return 0
	}
	share := float64(f.Bad) / float64(f.Answers)
	if share <= f.Expected {
		return 0
	}
	return float64(f.Answers) * klDivergence(share, f.Expected)
}

// RequiresHalt reports whether the version must be halted because of the finding.
func (f Finding) RequiresHalt() bool { return f.Significance() > haltThreshold }

// DelaysShift reports whether the finding is significant enough to delay the shift of all traffic
// to the version. The threshold is below that of RequiresHalt.
func (f Finding) DelaysShift() bool { return f.Significance() > delayThreshold }

// slowBucket returns the latency bucket from which an answer counts as slow.
func slowBucket(stable Counts) int {
	successful := stable.Answers - stable.Failures
	if successful == 0 {
		return latencyBuckets
	}
	tailAnswers := uint32(0)
	for bucket := latencyBuckets - 1; bucket >= 0; bucket-- {
		tailAnswers += stable.Latency[bucket]
		if float64(tailAnswers) > slowFraction*float64(successful) {
			return bucket + 1 + slowBucketMargin
		}
	}
	return latencyBuckets
}

func (c Counts) countFromBucket(bucket int) (count int) {
	for index := bucket; index < latencyBuckets; index++ {
		count += int(c.Latency[index])
	}
	return count
}

// klDivergence returns the Kullback-Leibler divergence of two Bernoulli distributions, in nats.
func klDivergence(q, p float64) float64 {
	sum := 0.0
	if q > 0 {
		sum += q * math.Log(q/p)
	}
	if q < 1 {
		sum += (1 - q) * math.Log((1-q)/(1-p))
	}
	return sum
}
