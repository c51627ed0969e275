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

// restrictedPool is where calls go that may run in some regions only.
type restrictedPool struct {
	allowed region.Set
	pool    *pool
}

// within is the part of a pool in allowed regions. A roll-out's stage for the whole service binds
// there too: a call is refused where the regions have no back end of a version that may take it.
func (p *pool) inRegions(allowed region.Set) pool {
	made := pool{set: p.set.InRegions(allowed)}
	if p.canary.allTargets != nil && made.set.UsableCount() > 0 {
		made.canary = newCanary(p.canary.allTargets.InRegions(allowed), made.set.UsableCount(), p.canary.share)
	}
	return made
}

// restrict makes the pools of the lists of regions that the service's routes name, so that
// calls find them made. Lists that differ only in regions without its back ends share one:
// there are as many pools as the back ends' regions make, however many lists routes name.
func (s *service) buildRestrictedPools(lists []region.Set) {
	if len(lists) == 0 {
		return
	}
	present := region.NewAllowed(lo.Map(s.allEndpoints.All, func(one *endpoint.Endpoint, _ int) string { return one.Region }))
	var made []restrictedPool
	for _, allowed := range lists {
		reachable := present.Intersect(allowed)
		shared, found := lo.Find(made, func(one restrictedPool) bool { return one.allowed.Equal(reachable) })
		if !found {
			part := s.inRegions(reachable)
			shared = restrictedPool{allowed: reachable, pool: &part}
			made = append(made, shared)
		}
		s.restricted = append(s.restricted, restrictedPool{allowed: allowed, pool: shared.pool})
	}
}

// poolOf is where a call goes. A pool is made for it only where it is bound by two versions
// that allow different regions, while one of them is on its way.
func (s *service) poolFor(allowed region.Set) *pool {
	if !allowed.Restricted() {
		return &s.pool
	}
	for index := range s.restricted {
		if s.restricted[index].allowed.Equal(allowed) {
			return s.restricted[index].pool
		}
	}
	made := s.inRegions(allowed)
	return &made
}

// bind has the call keep what the version in force now allows besides what bound it before:
// a restriction that is set while the call waits or is tried again holds for its next
// attempt, and one that is lifted stays with the call until it ends.
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

// bindAsGate has the call keep what a gate has refused it by, whose version may be newer: a
// daemon that is out of touch learns of a restriction call by call.
func (c *callerCall) applyGateRegions(answer *http.Response) {
	if values := answer.Header[headerRegions]; len(values) > 0 {
		c.regions = c.regions.Intersect(parseRegions(values[0]))
	}
}

// checkRegion refuses a call that may not run in this gate's region by the version of the view.
// The version of its sender may be older; what that bars its sender has kept.
func (p *Proxy) checkRegion(current *view, request *http.Request) (Refusal, bool) {
	if !current.routes.HasRestrictions() {
		return Refusal{}, true
	}
	located, refusal, fine := p.locate(request)
	if !fine {
		return refusal, false
	}
	route := current.findRoute(request, located)
	if route == nil || route.Regions.Has(p.config.Region) {
		return Refusal{}, true
	}
	return Refusal{Code: result.RegionNotAllowed, Regions: []string{formatRegions(route.Regions)}}, false
}

// checkRegionAgain refuses a call whose body and turn were waited for, up to some seconds, if
// by a version that came meanwhile it may not run here.
func (c *gateCall) recheckRegion() (Refusal, bool) {
	current := c.proxy.view.Load()
	if current.routes == c.table {
		return Refusal{}, true
	}
	return c.proxy.checkRegion(current, c.request)
}

// regionsSeparator stands between the names in headerRegions; it is escaped within them.
const regionsSeparator = ","

// regionsText writes a restriction for headerRegions.
func formatRegions(allowed region.Set) string {
	escaped := lo.Map(allowed.Names(), func(name string, _ int) string { return url.QueryEscape(name) })
	return strings.Join(escaped, regionsSeparator)
}

// parseRegions reads headerRegions. A name that can't be read allows nothing.
func parseRegions(text string) region.Set {
	names := []string{}
	for escaped := range strings.SplitSeq(text, regionsSeparator) {
		if name, err := url.QueryUnescape(escaped); err == nil && name != "" {
			names = append(names, name)
		}
	}
	return region.NewAllowed(names)
}
