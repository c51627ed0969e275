package endpoint

import (
	"math/bits"
	"time"
)

const (
	// maxServiceRatio caps the ratio of two service times in a comparison.
	maxServiceRatio = 4
	// reportServiceTimes is the number of service times for which a load report counts as
	// current. After that, a back end with several slots is running other calls.
	reportServiceTimes = 2
)

// preferredOver reports whether a call is better sent to this endpoint than to another:
// by expected completion time if both service times are known, otherwise by load. A
// call queues only when all slots are occupied, so load below that costs no time.
//
// In a large mesh a daemon seldom calls one endpoint, so its load report is often
// outdated. If the faster of two endpoints then got every call, the fastest would
// receive twice its share, whatever its capacity. Such a call is instead assigned at
// random, with probabilities inversely proportional to the squares of the expected
// times. With two candidates drawn at random, each endpoint then receives calls
// roughly in proportion to its speed.
func (e *Endpoint) preferredOver(other *Endpoint, now time.Duration, random uint64) bool {
	myTime, theirTime, known := e.expectedTimes(other, now)
	if !known || myTime == theirTime {
		return e.load(now) <= other.load(now)
	}
	faster := e
	if theirTime < myTime {
		faster = other
	}
	if faster.hasCurrentReport(now) || faster.isOverloaded(now) {
		return faster == e
	}
	mySquare, theirSquare := myTime*myTime, theirTime*theirTime
	return uniformFloat(random) < theirSquare/(mySquare+theirSquare)
}

// expectedTimes returns the expected completion times of a call at two endpoints,
// comparable only with each other; known is false if a service time is unknown.
func (e *Endpoint) expectedTimes(other *Endpoint, now time.Duration) (myTime, theirTime float64, known bool) {
	myServiceTime := e.stats.serviceTime.Load()
	theirServiceTime := other.stats.serviceTime.Load()
	if myServiceTime <= 0 || theirServiceTime <= 0 {
		return 0, 0, false
	}
	myTime = max(e.load(now), 1) * float64(max(myServiceTime, theirServiceTime/maxServiceRatio))
	theirTime = max(other.load(now), 1) * float64(max(theirServiceTime, myServiceTime/maxServiceRatio))
	return myTime, theirTime, true
}

// hasCurrentReport reports whether the last load report is current.
func (e *Endpoint) hasCurrentReport(now time.Duration) bool {
	age := now - time.Duration(e.stats.reportedAt.Load())
	return age < reportServiceTimes*time.Duration(e.stats.serviceTime.Load())
}

// uniformFloat maps a uniform random number to [0, 1). The multiplication decorrelates
// the result from the two halves of random, which select the endpoints.
func uniformFloat(random uint64) float64 {
	const multiplier = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(random, multiplier)
	const precision = 53 // bits of a float64 mantissa
	return float64((high^low)>>(64-precision)) / (1 << precision)
}
