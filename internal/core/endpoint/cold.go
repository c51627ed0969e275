package endpoint

import (
	"math/bits"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/warmup"
)

// minColdShare is the minimum of coldCapacityShare. It is above 0 because the load of an endpoint is
// divided by this share.
const minColdShare = 0.02

// isCold reports whether the endpoint is warming up and its service configures a cold rate.
func (e *Endpoint) isCold() bool { return e.ColdRate > 0 && e.State == protocol.EndpointWarming }

// RecordColdRefusal records that the gate refused a call because its back end is cold, and the
// time until it accepts one of the same class. Until then it refuses lower classes as well.
func (e *Endpoint) RecordColdRefusal(now, wait time.Duration, class int) {
	until := int64(now + min(max(wait, 0), notAcceptingPeriod))
	for refusedClass := range warmup.ClampClass(class) + 1 {
		e.stats.coldUntil[refusedClass].Store(until)
	}
}

// coldWait returns how long the gate of a cold back end refuses calls of a class; 0 if it
// may accept one.
func (e *Endpoint) coldWait(now time.Duration, class int) time.Duration {
	return max(time.Duration(e.stats.coldUntil[warmup.ClampClass(class)].Load())-now, 0)
}

// refusesCalls reports whether the gate has refused all new calls or, because its back end is
// cold, those of the lowest class, and that refusal still applies.
func (e *Endpoint) refusesCalls(now time.Duration) bool {
	return e.isNotAccepting(now) || e.coldWait(now, 0) > 0
}

// coldCapacityShare returns the capacity of a cold endpoint as a fraction of its capacity when
// warm.
func (e *Endpoint) coldCapacityShare() float64 {
	if !e.isCold() {
		return 1
	}
	serviceTime := time.Duration(e.stats.serviceTime.Load())
	if serviceTime <= 0 {
		return initialShare
	}
	return min(max(e.ColdRate*serviceTime.Seconds()/float64(max(e.Slots, 1)), minColdShare), 1)
}

// callRate returns the calls per second that the endpoint receives from all callers, by Little's
// law: the number of calls divided by the service time. 0 means unknown.
func (e *Endpoint) callRate(now time.Duration) float64 {
	serviceTime := time.Duration(e.stats.serviceTime.Load())
	if serviceTime <= 0 {
		return 0
	}
	return e.calls(now) / serviceTime.Seconds()
}

// pickWarmOrCold picks between a cold endpoint and a warm one. Each endpoint is in a pair drawn
// by betterOfTwo about twice as often as a warm endpoint is chosen. The cold endpoint
// therefore receives ColdRate if it is picked from its pairs with the probability ColdRate
// divided by twice the call rate of the warm endpoint.
func pickWarmOrCold(first, second *Endpoint, now time.Duration, random uint64) *Endpoint {
	warm, cold := first, second
	if first.isCold() {
		warm, cold = second, first
	}
	probability := initialShare
	if rate := warm.callRate(now); rate > 0 {
		probability = cold.ColdRate / rate / 2
	}
	if uniformFloat(bits.RotateLeft64(random, 16)) < probability {
		return cold
	}
	return warm
}

// ColdWait returns the shortest time until a cold endpoint may accept a call of the lowest
// class; 0 if an endpoint may accept one now or if none is left. Ejected endpoints and those
// that accept no calls are ignored.
func (s *Set) ColdWait(now time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if candidate.isNotAccepting(now) || candidate.Ejected(now) {
				continue
			}
			wait := candidate.coldWait(now, 0)
			if wait == 0 {
				return 0
			}
			if shortest == 0 || wait < shortest {
				shortest = wait
			}
		}
	}
	return shortest
}

// ChooseCold picks a cold endpoint whose gate has refused only calls of lower classes and
// may still accept one of this class. It is for calls that no other endpoint accepts. The
// search runs by distance, within a tier from a random position. It returns nil if there
// is none.
func (s *Set) ChooseCold(now time.Duration, random uint64, tried Tried, class int) *Endpoint {
	for _, tier := range s.tiers {
		for step := range tier {
			candidate := tier[(int(random>>32)+step)%len(tier)]
			if !tried.contains(candidate) && candidate.refusesOnlyLowerClasses(now, class) {
				return candidate
			}
		}
	}
	return nil
}

// refusesOnlyLowerClasses reports whether the gate has refused calls of lower classes as cold, but may
// accept one of this class.
func (e *Endpoint) refusesOnlyLowerClasses(now time.Duration, class int) bool {
	return !e.isNotAccepting(now) && !e.Ejected(now) && e.coldWait(now, 0) > 0 && e.coldWait(now, class) == 0
}
