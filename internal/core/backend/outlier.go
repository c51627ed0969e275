package backend

import (
	"math"
	"time"
)

// Parameters of outlier detection.
const (
	// failureHalfLife is the time in which the weight of a call's result is halved.
	failureHalfLife = 1500 * time.Millisecond
	// A back end is ejected if at least failureShare of its calls fail, of at least failureCalls.
	// In normal operation a few calls in a thousand fail.
	failureShare = 0.25
	failureCalls = 6
	// ejectionUnit is the duration of the first ejection. It doubles, up to ejectionLimit, with
	// each further ejection that begins within ejectionMemory of the end of the previous one.
	ejectionUnit   = 2 * time.Second
	ejectionLimit  = 16 * time.Second
	ejectionMemory = 5 * time.Second
)

// outlier detects a back end that fails many of its calls while its health checks succeed. The gate
// provides the counts because it sees all calls of the back end; a single caller sees too few.
type outlier struct {
	// answered is the count of successful calls at the latest update.
	answered uint64
	// calls and failures are weighted counts that decay exponentially.
	calls    float64
	failures float64
	updated  time.Duration
	// until is the end of the present or latest ejection, ejections the number of ejections in a
	// row.
	until     time.Duration
	ejections int
}

// failed records one failed call, with the total count of successful calls so far, and reports
// whether it ejects the back end.
func (o *outlier) failed(now time.Duration, answered uint64) bool {
	if now < o.until {
		o.answered = answered
		return false
	}
	o.fade(now)
	o.calls += float64(answered-o.answered) + 1
	o.answered = answered
	o.failures++
	if o.calls < failureCalls || o.failures < failureShare*o.calls {
		return false
	}
	o.eject(now)
	return true
}

func (o *outlier) fade(now time.Duration) {
	factor := math.Exp2(-float64(now-o.updated) / float64(failureHalfLife))
	o.calls *= factor
	o.failures *= factor
	o.updated = now
}

func (o *outlier) eject(now time.Duration) {
	if now-o.until > ejectionMemory {
		o.ejections = 0
	}
	o.until = now + min(ejectionUnit<<min(o.ejections, 8), ejectionLimit)
	o.ejections++
	o.calls = 0
	o.failures = 0
}

// ejected reports whether the back end is ejected at a given time.
func (o *outlier) ejected(now time.Duration) bool { return now < o.until }
