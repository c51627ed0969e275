package proxy

import (
	"net/http"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// view is an immutable snapshot of the data by which calls are routed. It is replaced as a
// whole.
type view struct {
	// snapshot is nil until the first configuration is in force.
	snapshot *snapshot.Snapshot
	routes   *routing.Table
	mesh     MeshState
	services map[resource.ServiceRef]*service
	// upstreams holds the connections by gate address.
	upstreams map[string]*upstream
}

// service is the data that calls to one service share.
type service struct {
	name string
	// allEndpoints holds every endpoint of the service.
	allEndpoints *endpoint.Set
	// pool holds the endpoints for calls that may run in any region, restricted those for
	// other calls, by the region restrictions of the view's routes.
	pool
	restricted  []restrictedPool
	retryBudget *retry.Budget
}

// MeshState is what a daemon knows about the mesh besides the configuration.
type MeshState struct {
	Members []protocol.Member
	// Splits are the divisions of services' back ends by software version during roll-outs.
	Splits VersionSplits
	// Evacuations are the zones that must receive no calls.
	Evacuations evacuation.Orders
}

// findRoute returns the route of a request, or nil.
func (v *view) findRoute(request *http.Request, located hostPath) *routing.Route {
	return v.routes.Find(routing.Query{
		Method: request.Method, Host: located.host, Path: located.path, Header: request.Header.Get,
	})
}

// buildView returns the view for a configuration snapshot and the state of the mesh.
// Endpoint statistics, retry budgets and connections carry over from the previous view.
func (p *Proxy) buildView(previous *view, held *snapshot.Snapshot, state MeshState) *view {
	next := &view{
		snapshot:  held,
		routes:    previous.routes,
		mesh:      state,
		services:  map[resource.ServiceRef]*service{},
		upstreams: map[string]*upstream{},
	}
	if held == nil {
		return next
	}
	if held != previous.snapshot {
		next.routes = p.compileRoutes(held)
	}
	now := p.config.Clock()
	budget := p.retryLimits(len(state.Members))
	index := endpoint.NewMemberIndex(state.Members)
	self := endpoint.Locality{
		Region: p.config.Region, Zone: p.config.Zone, TrustStates: p.config.Reported, Spill: p.config.Spill,
		Evacuations: state.Evacuations,
	}
	for reference, backends := range p.backendsOf(held, state.Members) {
		made := &service{name: reference.String()}
		var oldSet *endpoint.Set
		if old := previous.services[reference]; old != nil {
			oldSet = old.allEndpoints
			made.retryBudget = old.retryBudget
			made.retryBudget.SetMinimumRetries(budget.Part)
		} else {
			made.retryBudget = retry.NewBudgetWithLimits(budget)
		}
		self.ColdRate = held.Services[reference].WarmUp.PerSecond
		made.allEndpoints = endpoint.BuildIndexed(oldSet, self, backends, index, now)
		made.applySplit(state.Splits[reference])
		made.buildRestrictedPools(next.routes.RestrictionsOf(reference))
		next.services[reference] = made
		p.assignUpstreams(previous, next, made.allEndpoints)
	}
	return next
}

// compileRoutes returns the routing table of a snapshot. With an Edge, it matches hosts and
// paths as they were sent.
func (p *Proxy) compileRoutes(held *snapshot.Snapshot) *routing.Table {
	if p.config.Edge != nil {
		return routing.CompileVerbatim(held)
	}
	return routing.Compile(held)
}

// retryLimits returns the limits of each retry budget in a mesh of the given number of
// daemons.
func (p *Proxy) retryLimits(daemons int) retry.Limits {
	if p.config.RetryBudget == nil {
		return retry.DefaultLimits()
	}
	return p.config.RetryBudget(daemons)
}

// backendsOf returns the back ends of each service: those that the snapshot declares or, if
// back ends report themselves, those in the member records.
func (p *Proxy) backendsOf(held *snapshot.Snapshot, members []protocol.Member) map[resource.ServiceRef][]resource.Backend {
	if !p.config.Reported {
		return held.Backends
	}
	counts := make(map[resource.ServiceRef]int, len(held.Services))
	for index := range members {
		counts[members[index].Service]++
	}
	backends := make(map[resource.ServiceRef][]resource.Backend, len(held.Services))
	for reference := range held.Services {
		backends[reference] = make([]resource.Backend, 0, counts[reference])
	}
	for _, member := range members {
		if _, known := held.Services[member.Service]; !known || member.Backend == "" {
			continue
		}
		backends[member.Service] = append(backends[member.Service], resource.Backend{
			Partner: member.Service.Partner, Name: member.Backend, Service: member.Service.Name,
			Address: member.DataAddress, Region: member.Region, Zone: member.Zone, Slots: member.Slots,
		})
	}
	return backends
}

// assignUpstreams sets the upstream of every endpoint of a set in the next view: the one of
// the previous view or, for a new address, a new one.
func (p *Proxy) assignUpstreams(previous, next *view, set *endpoint.Set) {
	for _, one := range set.All {
		if one.Address == "" || next.upstreams[one.Address] != nil {
			continue
		}
		kept := previous.upstreams[one.Address]
		if kept == nil {
			kept = newUpstream(one.Address, p.limits, p.limits.UpstreamIdle)
			kept.tlsConfig = p.config.PeerTLS
			kept.roundTrip = p.config.RoundTrip
			if !p.config.Reported && one.Zone == p.config.Zone && one.Region == p.config.Region {
				kept.openSpares(1)
			}
		}
		if before := kept.incarnation.Swap(uint64(one.Incarnation)); before != 0 && before != uint64(one.Incarnation) {
			kept.closeIdle()
		}
		next.upstreams[one.Address] = kept
	}
}

// publishView puts a view in force, wakes the calls that wait for it, and then closes
// connections that are no longer needed.
func (p *Proxy) publishView(next *view) {
	previous := p.view.Swap(next)
	p.starting.wakeAll()
	for address, old := range previous.upstreams {
		if next.upstreams[address] == nil {
			old.close()
		}
	}
	for _, one := range next.services {
		p.closeIdleToStopping(next, one.allEndpoints)
	}
}

// closeIdleToStopping closes the idle connections to endpoints that drain or are down, so
// that no call is sent on a connection while the other side closes it.
func (p *Proxy) closeIdleToStopping(next *view, set *endpoint.Set) {
	for _, one := range set.All {
		if one.State == protocol.EndpointDraining || one.State == protocol.EndpointDown {
			if leaving := next.upstreams[one.Address]; leaving != nil {
				leaving.closeIdle()
			}
		}
	}
}
