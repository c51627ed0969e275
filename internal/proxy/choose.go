package proxy

import (
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// chooseEndpoint chooses the endpoint of the next attempt; nil if there is none. Only a first
// attempt may go to a canary.
func (c *callerCall) chooseEndpoint(candidates *pool, state quarantine.State, now time.Duration) *endpoint.Endpoint {
	set := candidates.set
	if state == quarantine.Suspected {
		return set.ChooseByContentHash(now, c.suspicion.signature.Key(), c.triedEndpoints)
	}
	if len(c.triedEndpoints) == 0 {
		chosen := candidates.canary.choose(now, c.proxy.random(), c.proxy.random())
		if chosen != nil && c.retries.ReserveTrialRetry(now) {
			return chosen
		}
	}
	if c.requestKey != "" {
		return set.ChooseByRequestKey(now, c.requestKeyHash, c.triedEndpoints)
	}
	if local := c.localEndpoint(set, now); local != nil {
		return local
	}
	if c.proxy.config.Baseline.RoundRobin {
		return set.ChooseRoundRobin(now, c.proxy.roundRobinCount.Add(1), c.triedEndpoints)
	}
	if chosen := set.Choose(now, c.proxy.random(), c.triedEndpoints); chosen != nil {
		return chosen
	}
	return set.ChooseCold(now, c.proxy.random(), c.triedEndpoints, c.priorityClass())
}

// priorityClass returns the class of the call by which the gates of cold back ends limit calls.
func (c *callerCall) priorityClass() int { return int(c.priority().Class()) }

// noEndpointOutcome returns the outcome of an attempt for which no endpoint of a set could be
// chosen. If several reasons apply, it names the first of: an evacuation of the zone, cold back
// ends, a region restriction.
func (c *callerCall) noEndpointOutcome(set *endpoint.Set, now time.Duration) retry.Outcome {
	outcome := retry.Outcome{Kind: retry.Refused, Ran: result.RanNo}
	outcome.RetryAfter = set.ColdWait(now)
	switch {
	case set.BlockedByEvacuation():
		outcome.Code = result.ZoneEvacuated
	case outcome.RetryAfter > 0 && set.StatesCallRate():
		outcome.Code = result.BackendLimited
	case outcome.RetryAfter > 0:
		outcome.Code = result.WarmingUp
	case c.regions.Restricted():
		outcome.Code = result.RegionNotAllowed
	default:
		return retry.Outcome{Kind: retry.NoEndpoint}
	}
	return outcome
}
