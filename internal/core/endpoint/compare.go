package endpoint

import (
	"math/bits"
	"time"
)

const (
	// serviceRatio bounds how far service times are believed to differ.
	serviceRatio = 4
	// knownTurns is for how many service times a load report says which calls run: a
	// back end of some slots has begun others by then.
	knownTurns = 2
)

// goesBefore tells whether a call is better sent here than to another endpoint: where
// it is expected to be done no later, by service times where both are known, and by
// load. A call waits only where all slots are taken, so below that load costs no time.
//
// An entry among many daemons seldom meets an endpoint, and then does not know the
// load of the faster one. To send it each call that meets both would give the fastest
// twice its part, whatever it can do. Such a call goes to either by chance, in the
// proportion of the squares of the expected times: with two drawn at random each gets
// about what its speed is worth.
func (e *Endpoint) goesBefore(other *Endpoint, now time.Duration, random uint64) bool {
	myTime, theirTime, known := e.expectedTimes(other, now)
	if !known || myTime == theirTime {
		return e.load(now) <= other.load(now)
	}
	sooner := e
	if theirTime < myTime {
		sooner = other
	}
	if sooner.knowsLoad(now) || sooner.refusing(now) {
		return sooner == e
	}
	mine, theirs := myTime*myTime, theirTime*theirTime
	return unitOf(random) < theirs/(mine+theirs)
}

// expectedTimes are the relative times in which a call is expected to be done at two
// endpoints; false means that a service time is not known.
func (e *Endpoint) expectedTimes(other *Endpoint, now time.Duration) (mine, theirs float64, known bool) {
	myService := e.stats.service.Load()
	theirService := other.stats.service.Load()
	if myService <= 0 || theirService <= 0 {
		return 0, 0, false
	}
	mine = max(e.load(now), 1) * float64(max(myService, theirService/serviceRatio))
	theirs = max(other.load(now), 1) * float64(max(theirService, myService/serviceRatio))
	return mine, theirs, true
}

// knowsLoad tells whether the last load report still says which calls run.
func (e *Endpoint) knowsLoad(now time.Duration) bool {
	age := now - time.Duration(e.stats.reportedAt.Load())
	return age < knownTurns*time.Duration(e.stats.service.Load())
}

// unitOf makes a number from 0 to 1 of a uniform random one, independently of its
// halves, which draw the endpoints.
func unitOf(random uint64) float64 {
	const odd = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(random, odd)
	const precision = 53 // bits of a float64's fraction
	return float64((high^low)>>(64-precision)) / (1 << precision)
}
