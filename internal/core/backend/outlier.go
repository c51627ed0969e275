package backend

import (
	"math"
	"time"
)

// Parameters of outlier detection.
const (
	// failureHalfLife is the time in which the weight of a call's result is halved.
	failureHalfLife = 1500 * time.Millisecond
	// A back end is ejected if at least minFailureShare of its recent calls failed and there were
	// at least minCalls of them (decayed counts). In normal operation a few calls in a thousand
	// fail.
	minFailureShare = 0.25
	minCalls        = 6
	// firstEjection is the duration of the first ejection. It doubles, up to maxEjection, with each
	// further ejection that begins within ejectionResetTime of the end of the previous one.
	firstEjection     = 2 * time.Second
	maxEjection       = 16 * time.Second
	ejectionResetTime = 5 * time.Second
)

// outlierDetector detects a back end that fails many of its calls while its health checks succeed.
// The gate provides the counts because it sees all calls of the back end; a single caller sees too
// few.
type outlierDetector struct {
	// succeeded is the count of successful calls at the latest update.
	succeeded uint64
	// calls and failures are weighted counts that decay exponentially.
	calls     float64
	failures  float64
	updatedAt time.Duration
	// ejectedUntil is the end of the present or latest ejection, ejections the number of ejections
	// of which each began within ejectionResetTime of the end of the previous one.
	ejectedUntil time.Duration
	ejections    int
}

// recordFailure records one failed call, with the total count of successful calls so far, and
// reports whether it ejects the back end.
func (o *outlierDetector) recordFailure(now time.Duration, succeeded uint64) bool {
	if now < o.ejectedUntil {
		o.succeeded = succeeded
		return false
	}
	o.decay(now)
	o.calls += float64(succeeded-o.succeeded) + 1
	o.succeeded = succeeded
	o.failures++
	if o.calls < minCalls || o.failures < minFailureShare*o.calls {
		return false
	}
	o.eject(now)
	return true
}

func (o *outlierDetector) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-o.updatedAt) / float64(failureHalfLife))
	o.calls *= factor
	o.failures *= factor
	o.updatedAt = now
}

func (o *outlierDetector) eject(now time.Duration) {
	if now-o.ejectedUntil > ejectionResetTime {
		o.ejections = 0
	}
	o.ejectedUntil = now + min(firstEjection<<min(o.ejections, 8), maxEjection)
	o.ejections++
	o.calls = 0
	o.failures = 0
}

// isEjected reports whether the back end is ejected at a given time.
func (o *outlierDetector) isEjected(now time.Duration) bool { return now < o.ejectedUntil }
