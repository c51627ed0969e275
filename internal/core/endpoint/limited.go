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

// statedRateOffer is the factor by which callers offer more calls than a back end states to accept.
const statedRateOffer = 2

// isLimited reports whether the gate limits the starts of calls at the endpoint.
func (e *Endpoint) isLimited() bool { return e.limit() > 0 }

// limit returns the calls per second to which the gate limits the endpoint: the rate that the back end
// states, or the cold rate of its service while it is warming up, whichever is lower; 0 if there is no
// limit.
func (e *Endpoint) limit() float64 {
	if e.ColdRate > 0 && e.State == protocol.EndpointWarming && (e.CallRate == 0 || e.ColdRate < e.CallRate) {
		return e.ColdRate
	}
	return e.CallRate
}

// offeredRate returns the calls per second that callers offer to a limited endpoint. Calls arrive at random
// moments, so a rate that a back end states is only used up if some more are offered; what its gate
// refuses goes elsewhere at once.
func (e *Endpoint) offeredRate() float64 {
	if e.CallRate > 0 {
		return e.limit() * statedRateOffer
	}
	return e.limit()
}

// RecordStartRefusal records that the gate refused a call because it limits the starts at its back end,
// and the time until it accepts one of the same class. Until then it refuses lower classes as well.
func (e *Endpoint) RecordStartRefusal(now, wait time.Duration, class int) {
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

// limitedCapacityShare returns the capacity of an endpoint with limited starts as a fraction of its
// capacity without a limit; 1 if it has none.
func (e *Endpoint) limitedCapacityShare() float64 {
	if !e.isLimited() {
		return 1
	}
	serviceTime := time.Duration(e.stats.serviceTime.Load())
	if serviceTime <= 0 {
		return initialShare
	}
	slots := float64(max(e.Slots, 1))
	minShare := minColdShare
	if e.CallRate > 0 {
		minShare = 1 / slots // room for one call, or short calls would all go elsewhere
	}
	return min(max(e.limit()*serviceTime.Seconds()/slots, minShare), 1)
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

// pickWithLimited picks between an endpoint with limited starts and one without. Each endpoint is in a
// pair drawn by betterOfTwo about twice as often as an endpoint without a limit is chosen. The limited
// endpoint therefore receives its offered rate if it is picked from its pairs with the probability of that
// rate divided by twice the call rate of the other one.
func pickWithLimited(first, second *Endpoint, now time.Duration, random uint64) *Endpoint {
	unlimited, limited := first, second
	if first.isLimited() {
		unlimited, limited = second, first
	}
	probability := initialShare
	if rate := unlimited.callRate(now); rate > 0 {
		probability = limited.offeredRate() / rate / 2
	}
	if uniformFloat(bits.RotateLeft64(random, 16)) < probability {
		return limited
	}
	return unlimited
}

// StatesCallRate reports whether the back end of a usable endpoint states how many calls it accepts.
func (s *Set) StatesCallRate() bool {
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if candidate.CallRate > 0 {
				return true
			}
		}
	}
	return false
}

// ColdWait returns the shortest time until an endpoint with limited starts may accept a call of the lowest
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
