package rollout

import (
	"fmt"
	"math"

	"github.com/springstack/springstack/internal/core/callclass"
)

const (
	// slowTail is the fraction of the stable version's answers that count as slow: an answer of the
	// target is slow if it took longer than all but this fraction of them. In the experiment, 0.05
	// detected slow versions sooner than 0.02: the last call to them came at most 7.6 s after their
	// 50th bad answer, instead of 16.2 s.
	slowTail = 0.05
	// slowBuckets is the number of latency buckets by which an answer must exceed the start of that
	// tail. One bucket is up to 1.5 times the latency, so that a busy canary does not count as
	// slow.
	slowBuckets = 1
	// fewBad is the minimum number of bad answers for a finding.
	fewBad = 4
	// baseShare is the fraction of bad answers that is always tolerated. baseAlone replaces it once
	// the stable version receives no more calls, because failures that would affect both versions
	// can then no longer be recognised.
	baseShare = 0.01
	baseAlone = 0.15
	// expectedLimit is the maximum expected fraction of bad answers. With an expectation of 1 no
	// number of bad answers would be significant.
	expectedLimit = 0.95
	// deviations is the number of standard deviations of its estimate that are added to the stable
	// version's fraction of bad answers.
	deviations = 2
	// condemnedAt is the evidence, in nats, above which a version is halted: at 5 the probability
	// that so many bad answers occur by chance at one evaluation is at most e^-5, one in 150.
	// Together with suspectedAt, it halts 60 of 7,068 good versions of the experiment and misses
	// none of 13,932 bad ones.
	condemnedAt = 5
	// suspectedAt is the evidence, in nats, above which a version does not receive all traffic yet
	// but is observed for longer: the probability that so many bad answers occur by chance is at
	// most one in four. Once the version receives all traffic, there is nothing left to compare it
	// with. The effect is described in docs/design/rollouts.md.
	suspectedAt = 1.5
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
	// which the target is considered as good as the stable version.
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

// Judge compares the answers of a target version with those of the stable one in the same period,
// for each class of calls, for all classes together and for each sign, and returns the finding with
// the strongest evidence. Failures that affect both versions alike do not count against the target.
// base is the tolerated fraction of bad answers.
//
// The number of bad answers is tested against a binomial distribution with the stable version's
// fraction of bad answers, plus a tolerance for the uncertainty of that estimate. By the Chernoff
// bound, the probability of a fraction q where p is expected is at most exp(-n KL(q, p)).
func Evaluate(target, stable Evidence, base float64) Finding {
	return stronger(judgeBy(Failing, target, stable, base), judgeBy(Slow, target, stable, base))
}

func judgeBy(sign Sign, target, stable Evidence, base float64) Finding {
	all, strongest := Finding{Sign: sign, All: true}, Finding{Sign: sign}
	expected := 0.0
	for class, counts := range target {
		finding := findingOf(sign, counts, stable[class], base)
		finding.Class = class
		strongest = stronger(strongest, finding)
		all.Bad += finding.Bad
		all.Answers += finding.Answers
		expected += finding.Expected * float64(finding.Answers)
	}
	if all.Answers == 0 {
		return strongest
	}
	all.Expected = expected / float64(all.Answers)
	return stronger(strongest, all)
}

// stronger returns the finding with more evidence.
func stronger(one, other Finding) Finding {
	if other.Significance() > one.Significance() {
		return other
	}
	return one
}

// findingOf evaluates one class of calls for a sign.
func findingOf(sign Sign, target, stable Counts, base float64) Finding {
	limit := slowFrom(stable)
	answers, bad := target.showing(sign, limit)
	stableAnswers, stableBad := stable.showing(sign, limit)
	share := float64(stableBad+1) / float64(stableAnswers+2)
	if stableAnswers == 0 {
		share = 0 // without a stable version for comparison, no bad answers are expected beyond base
	}
	uncertain := deviations * math.Sqrt(share*(1-share)/float64(stableAnswers+2))
	return Finding{Sign: sign, Answers: answers, Bad: bad, Expected: min(share+uncertain+base, expectedLimit)}
}

// showing returns the number of answers that are relevant to a sign, and the number of bad ones
// among them.
func (c Counts) showing(sign Sign, slowFrom int) (answers, bad int) {
	if sign == Failing {
		return int(c.Answers), int(c.Failures)
	}
	return int(c.Answers - c.Failures), c.slowerThan(slowFrom)
}

// Evidence returns the strength of the evidence that the bad answers did not occur by chance, in
// nats. It is 0 if there are too few of them or no more than expected.
func (f Finding) Significance() float64 {
	if f.Bad < fewBad {
		return 0
	}
	share := float64(f.Bad) / float64(f.Answers)
	if share <= f.Expected {
		return 0
	}
	return float64(f.Answers) * divergence(share, f.Expected)
}

// Condemns reports whether the version must be halted because of the finding.
func (f Finding) RequiresHalt() bool { return f.Significance() > condemnedAt }

// Suspects reports whether the finding is too strong to send all traffic to the version. This
// threshold is below that of Condemns.
func (f Finding) DelaysShift() bool { return f.Significance() > suspectedAt }

// slowFrom returns the latency bucket from which an answer counts as slow.
func slowFrom(stable Counts) int {
	timed := stable.Answers - stable.Failures
	if timed == 0 {
		return latencyBuckets
	}
	beyond := uint32(0)
	for bucket := latencyBuckets - 1; bucket >= 0; bucket-- {
		beyond += stable.Latency[bucket]
		if float64(beyond) > slowTail*float64(timed) {
			return bucket + 1 + slowBuckets
		}
	}
	return latencyBuckets
}

func (c Counts) slowerThan(bucket int) (count int) {
	for at := bucket; at < latencyBuckets; at++ {
		count += int(c.Latency[at])
	}
	return count
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions, in nats.
func divergence(q, p float64) float64 {
	sum := 0.0
	if q > 0 {
		sum += q * math.Log(q/p)
	}
	if q < 1 {
		sum += (1 - q) * math.Log((1-q)/(1-p))
	}
	return sum
}
