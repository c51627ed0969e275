package endpoint

import (
	"math/bits"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/warmup"
)

// leastColdShare is the least part of its slots that a cold endpoint counts for: with none it
// would look infinitely loaded.
const leastColdShare = 0.02

// cold tells whether the endpoint is cold and its service states what one bears then.
func (e *Endpoint) cold() bool { return e.ColdRate > 0 && e.State == protocol.EndpointWarming }

// RefusedAsCold is called when the gate has refused a call of a class because its back end is
// cold, with the time until it has a start. It has none for calls of lower classes either.
func (e *Endpoint) RecordColdRefusal(now, wait time.Duration, class int) {
	until := int64(now + min(max(wait, 0), leavingLife))
	for refused := range warmup.ClampClass(class) + 1 {
		e.stats.noStartUntil[refused].Store(until)
	}
}

// coldWait is how long the gate has no start for a call of a class; 0 when it may have one.
func (e *Endpoint) coldWait(now time.Duration, class int) time.Duration {
	return max(time.Duration(e.stats.noStartUntil[warmup.ClampClass(class)].Load())-now, 0)
}

// shut tells whether the gate has said that it takes no call now, or none but urgent ones.
func (e *Endpoint) shut(now time.Duration) bool {
	return e.leaving(now) || e.coldWait(now, 0) > 0
}

// shareWhileCold is what a cold endpoint bears of what its slots would run were it warm.
func (e *Endpoint) shareWhileCold() float64 {
	if !e.cold() {
		return 1
	}
	service := time.Duration(e.stats.service.Load())
	if service <= 0 {
		return coldShare
	}
	return min(max(e.ColdRate*service.Seconds()/float64(max(e.Slots, 1)), leastColdShare), 1)
}

// rate is how many calls a second the endpoint gets from all callers: by Little's law, the calls
// there divided by the time that each runs. 0 means not known.
func (e *Endpoint) rate(now time.Duration) float64 {
	service := time.Duration(e.stats.service.Load())
	if service <= 0 {
		return 0
	}
	return e.calls(now) / service.Seconds()
}

// warmOrCold decides between a cold endpoint and a warm one. A pair of the two is drawn twice
// as often as a warm endpoint is chosen, so the cold one gets its rate when it is taken in half
// the proportion of its rate to what the warm one gets.
func warmOrCold(first, second *Endpoint, now time.Duration, random uint64) *Endpoint {
	warm, cold := first, second
	if first.cold() {
		warm, cold = second, first
	}
	part := coldShare
	if rate := warm.rate(now); rate > 0 {
		part = cold.ColdRate / rate / 2
	}
	if unitOf(bits.RotateLeft64(random, 16)) < part {
		return cold
	}
	return warm
}

// ColdWait is how long no endpoint has a start, since all that answer and take work are cold;
// 0 when one may have.
func (s *Set) ColdWait(now time.Duration) time.Duration {
	least := time.Duration(0)
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if candidate.leaving(now) || candidate.Ejected(now) {
				continue
			}
			wait := candidate.coldWait(now, 0)
			if wait == 0 {
				return 0
			}
			if least == 0 || wait < least {
				least = wait
			}
		}
	}
	return least
}

// ChooseCold picks an endpoint of which the gate has refused only less urgent calls as cold:
// it may hold a start for this one. It is for calls that no other endpoint may take, the
// nearest first, from a random place on; nil when there is none.
func (s *Set) ChooseCold(now time.Duration, random uint64, tried Tried, class int) *Endpoint {
	for _, tier := range s.tiers {
		for step := range tier {
			candidate := tier[(int(random>>32)+step)%len(tier)]
			if !tried.has(candidate) && candidate.keepsStart(now, class) {
				return candidate
			}
		}
	}
	return nil
}

// keepsStart tells whether the gate has refused less urgent calls as cold, but none of a class.
func (e *Endpoint) keepsStart(now time.Duration, class int) bool {
	return !e.leaving(now) && !e.Ejected(now) && e.coldWait(now, 0) > 0 && e.coldWait(now, class) == 0
}
