package backend

import (
	"math"
	"time"
)

// The rules of outlier detection.
const (
	// failureHalfLife is the time in which what calls met counts half.
	failureHalfLife = 1500 * time.Millisecond
	// failureShare of the calls must fail, of at least failureCalls, for a back
	// end to be ejected. Back ends fail a few in a thousand in ordinary times.
	failureShare = 0.25
	failureCalls = 6
	// ejectionUnit is the first ejection. Each one that follows within
	// ejectionMemory of the end of another doubles, up to ejectionLimit.
	ejectionUnit   = 2 * time.Second
	ejectionLimit  = 16 * time.Second
	ejectionMemory = 5 * time.Second
)

// outlier detects a back end that fails many of its calls while its health says
// that it is well. The counts come from the gate, which sees all its calls; a
// single caller sees too few.
type outlier struct {
	// answered is the count of calls that went well when it was last looked at.
	answered uint64
	// calls and failures are weights that fade with time.
	calls    float64
	failures float64
	updated  time.Duration
	// until is when the present or last ejection ends, ejections how many came
	// one upon another.
	until     time.Duration
	ejections int
}

// failed takes one failed call, with the count of all calls so far that went
// well, and tells whether the back end is ejected by it.
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

// ejected tells whether the back end is ejected at a time.
func (o *outlier) ejected(now time.Duration) bool { return now < o.until }
