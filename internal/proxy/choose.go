package proxy

import (
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
)

// choose picks the endpoint of the next attempt. First attempts may go to a canary.
func (c *callerCall) chooseEndpoint(among *pool, belief quarantine.State, now time.Duration) *endpoint.Endpoint {
	set := among.set
	if belief == quarantine.Suspected {
		return set.ChooseByContentHash(now, c.suspicion.signature.Key(), c.triedEndpoints)
	}
	if len(c.triedEndpoints) == 0 {
		chosen := among.canary.choose(now, c.proxy.random(), c.proxy.random())
		if chosen != nil && c.retries.ReserveTrialRetry(now) {
			return chosen
		}
	}
	if c.requestKey != "" {
		return set.ChooseByRequestKey(now, c.requestKeyHash, c.triedEndpoints)
	}
	if own := c.localEndpoint(set, now); own != nil {
		return own
	}
	if c.proxy.config.Baseline.RoundRobin {
		return set.ChooseRoundRobin(now, c.proxy.roundRobinCount.Add(1), c.triedEndpoints)
	}
	if chosen := set.Choose(now, c.proxy.random(), c.triedEndpoints); chosen != nil {
		return chosen
	}
	return set.ChooseCold(now, c.proxy.random(), c.triedEndpoints, c.priorityClass())
}

// class is the class of the call's priority at the gates of cold back ends.
func (c *callerCall) priorityClass() int { return int(c.route.Resource.Priority) }

// nothingChosen is the outcome of an attempt that no endpoint of a set may take. Of several
// reasons it tells the first of: an order of operators, a wait that ends, a restriction.
func (c *callerCall) noEndpointOutcome(set *endpoint.Set, now time.Duration) retry.Outcome {
	refused := retry.Outcome{Kind: retry.Refused, Ran: result.RanNo}
	refused.RetryAfter = set.ColdWait(now)
	switch {
	case set.BlockedByEvacuation():
		refused.Code = result.ZoneEvacuated
	case refused.RetryAfter > 0:
		refused.Code = result.WarmingUp
	case c.regions.Restricted():
		refused.Code = result.RegionNotAllowed
	default:
		return retry.Outcome{Kind: retry.NoEndpoint}
	}
	return refused
}
