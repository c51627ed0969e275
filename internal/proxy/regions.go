package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/result"
)

// restrictedPool holds the endpoints for calls that are restricted to some regions.
type restrictedPool struct {
	allowedRegions region.Set
	pool           *pool
}

// inRegions returns the part of a pool in the allowed regions. The stage of a roll-out applies
// there too: a call is refused if these regions have no back end of a version that may get it.
func (p *pool) inRegions(allowed region.Set) pool {
	restricted := pool{set: p.set.InRegions(allowed)}
	if p.canary.allTargets != nil && restricted.set.UsableCount() > 0 {
		restricted.canary = newCanary(p.canary.allTargets.InRegions(allowed), restricted.set.UsableCount(), p.canary.share)
	}
	return restricted
}

// buildRestrictedPools builds the pools for the region lists of the service's routes in advance, so
// that calls need not. Lists that differ only in regions without back ends of the service share a
// pool: the number of pools depends on the regions of the back ends and not on the number of lists.
func (s *service) buildRestrictedPools(lists []region.Set) {
	if len(lists) == 0 {
		return
	}
	backendRegions := region.NewAllowed(lo.Map(s.allEndpoints.All, func(candidate *endpoint.Endpoint, _ int) string { return candidate.Region }))
	var pools []restrictedPool
	for _, allowed := range lists {
		reachable := backendRegions.Intersect(allowed)
		shared, found := lo.Find(pools, func(candidate restrictedPool) bool { return candidate.allowedRegions.Equal(reachable) })
		if !found {
			part := s.inRegions(reachable)
			shared = restrictedPool{allowedRegions: reachable, pool: &part}
			pools = append(pools, shared)
		}
		s.restricted = append(s.restricted, restrictedPool{allowedRegions: allowed, pool: shared.pool})
	}
}

// poolFor returns the pool for a call. It builds one only if the call is restricted by two
// configuration versions with different regions, which happens while one of them is being
// distributed.
func (s *service) poolFor(allowed region.Set) *pool {
	if !allowed.Restricted() {
		return &s.pool
	}
	for index := range s.restricted {
		if s.restricted[index].allowedRegions.Equal(allowed) {
			return s.restricted[index].pool
		}
	}
	built := s.inRegions(allowed)
	return &built
}

// applyRegions restricts the call to the regions that the version in force allows, in addition to
// earlier restrictions: a restriction that is set while the call waits or is retried applies to its
// next attempt, and a restriction that is lifted still applies to the call until the call ends.
func (c *callerCall) applyRegions(current *view) {
	if current.routes == c.routingTable {
		return
	}
	c.routingTable = current.routes
	if !current.routes.HasRestrictions() {
		return
	}
	if route := current.findRoute(c.request, c.hostPath); route != nil {
		c.regions = c.regions.Intersect(route.Regions)
	}
}

// applyGateRegions restricts the call to the regions that a gate's refusal lists. The gate's
// version may be newer, so a daemon with an older version applies new restrictions at least to
// the calls that were refused.
func (c *callerCall) applyGateRegions(answer *http.Response) {
	if values := answer.Header[headerRegions]; len(values) > 0 {
		c.regions = c.regions.Intersect(parseRegions(values[0]))
	}
}

// checkRegion refuses a call that the view's version does not allow in this gate's region. The
// sender's version may be older; the sender has already applied the restrictions of its own
// version.
func (p *Proxy) checkRegion(current *view, request *http.Request) (Refusal, bool) {
	if !current.routes.HasRestrictions() {
		return Refusal{}, true
	}
	location, refusal, ok := p.locate(request)
	if !ok {
		return refusal, false
	}
	route := current.findRoute(request, location)
	if route == nil || route.Regions.Has(p.config.Region) {
		return Refusal{}, true
	}
	return Refusal{Code: result.RegionNotAllowed, Regions: []string{formatRegions(route.Regions)}}, false
}

// recheckRegion repeats checkRegion if a new version was put in force while the body was read or
// the call was queued, which may take some seconds.
func (c *gateCall) recheckRegion() (Refusal, bool) {
	current := c.proxy.view.Load()
	if current.routes == c.table {
		return Refusal{}, true
	}
	return c.proxy.checkRegion(current, c.request)
}

// regionsSeparator separates the names in headerRegions; within names it is escaped.
const regionsSeparator = ","

// formatRegions formats a restriction for headerRegions.
func formatRegions(allowed region.Set) string {
	escaped := lo.Map(allowed.Names(), func(name string, _ int) string { return url.QueryEscape(name) })
	return strings.Join(escaped, regionsSeparator)
}

// parseRegions parses headerRegions. A name that can't be read is left out, so it allows no region.
func parseRegions(text string) region.Set {
	names := []string{}
	for escaped := range strings.SplitSeq(text, regionsSeparator) {
		if name, err := url.QueryUnescape(escaped); err == nil && name != "" {
			names = append(names, name)
		}
	}
	return region.NewAllowed(names)
}
