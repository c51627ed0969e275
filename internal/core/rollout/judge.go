package rollout

import (
	"fmt"
	"math"

	"github.com/springstack/springstack/internal/core/callclass"
)

const (
	// slowTail is the share of the stable version's answers that may count as slow: an
	// answer of the target counts as slow when it took longer than all but so many. By
	// the experiment a twentieth finds slow versions sooner than a fiftieth (last call
	// after the 50th bad answer 7.6 s for 16.2 s at the most).
	slowTail = 0.05
	// slowBuckets is by how many classes of latency an answer must be beyond that tail's
	// start: one is a half as long again, so that a busy canary is not taken for slow.
	slowBuckets = 1
	// fewBad is the least number of bad answers that condemn a version.
	fewBad = 4
	// baseShare is the share of bad answers that is never held against a version;
	// baseAlone is the same where the stable version gets no calls any more, so that
	// trouble that would hit both can't be told.
	baseShare = 0.01
	baseAlone = 0.15
	// expectedLimit is the most that is expected, for a share of 1 tells nothing.
	expectedLimit = 0.95
	// deviations is by how many standard deviations of its estimate the stable version's
	// share of bad answers is taken to be larger than it shows.
	deviations = 2
	// condemnedAt is the evidence, in natural logarithms, from which a version is
	// condemned: an e^5th, one in 150, that chance alone brings so many bad answers at a
	// look. With suspectedAt it gives up 60 of 7,068 good versions of the experiment and
	// overlooks none of 13,932 bad ones.
	condemnedAt = 5
	// suspectedAt is the evidence from which a version does not get all calls yet, but is
	// watched for longer: one in four that chance alone brings so many bad answers. Once it
	// has all calls nothing is left to compare it with. See docs/design/rollouts.md for what
	// it buys.
	suspectedAt = 1.5
)

// Sign is what is held against a version.
type Sign int

// The signs. Each is judged by itself: taken together, trouble that fails the answers of
// both versions would hide that the target is slow.
const (
	// Failing: answers fail. All answers are counted.
	Failing Sign = iota
	// Slow: answers take much longer than the stable version's. Those that did not fail are
	// counted.
	Slow
)

var signNames = [...]string{Failing: "failed", Slow: "slow"}

// Finding says why a version is condemned.
type Finding struct {
	Sign  Sign
	Class callclass.Class
	// Answers and Bad are the target's, of which Expected share would be bad were it as
	// good as the stable version.
	Answers  int
	Bad      int
	Expected float64
	// All says that all classes together are meant.
	All bool
}

// String puts the finding into a log line.
func (f Finding) String() string {
	return fmt.Sprintf("%d of %d answers %s, %.3f expected", f.Bad, f.Answers, signNames[f.Sign], f.Expected)
}

// Judge compares the answers of a target version with those of the stable one in the
// same time, by class of calls and over all, by each sign, and returns the finding with most
// evidence. Faults that hit both versions alike are evidence against neither. Base is the
// share of bad answers that is not held against the target.
//
// The number of bad answers is held against a binomial distribution of the share that
// the stable version shows, with some tolerance for how little is known of it: by Chernoff's
// bound, the chance of a share q where p is expected is at most exp(-n KL(q, p)).
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

// stronger is the one of two findings with more evidence.
func stronger(one, other Finding) Finding {
	if other.Significance() > one.Significance() {
		return other
	}
	return one
}

// findingOf is what one class of calls shows by a sign.
func findingOf(sign Sign, target, stable Counts, base float64) Finding {
	limit := slowFrom(stable)
	answers, bad := target.showing(sign, limit)
	stableAnswers, stableBad := stable.showing(sign, limit)
	share := float64(stableBad+1) / float64(stableAnswers+2)
	if stableAnswers == 0 {
		share = 0 // nothing to compare with: failures alone count
	}
	uncertain := deviations * math.Sqrt(share*(1-share)/float64(stableAnswers+2))
	return Finding{Sign: sign, Answers: answers, Bad: bad, Expected: min(share+uncertain+base, expectedLimit)}
}

// showing counts the answers that can show a sign, and those that do.
func (c Counts) showing(sign Sign, slowFrom int) (answers, bad int) {
	if sign == Failing {
		return int(c.Answers), int(c.Failures)
	}
	return int(c.Answers - c.Failures), c.slowerThan(slowFrom)
}

// Evidence is how little chance explains the bad answers, in natural logarithms; 0 where it
// does, or where they are too few to tell.
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

// Condemns tells whether a version is given up for what was found.
func (f Finding) RequiresHalt() bool { return f.Significance() > condemnedAt }

// Suspects tells whether what was found, though it condemns no version, is too much to send it
// all calls.
func (f Finding) DelaysShift() bool { return f.Significance() > suspectedAt }

// slowFrom is the class of latency from which an answer counts as slow.
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

// divergence is the Kullback-Leibler divergence of two Bernoulli distributions, in nats.
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
