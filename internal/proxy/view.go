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
	snapshot  *snapshot.Snapshot
	routes    *routing.Table
	meshState MeshState
	services  map[resource.ServiceRef]*service
	// upstreams holds the connections by gate address.
	upstreams map[string]*upstream
}

// service is the data that calls to one service share.
type service struct {
	name string
	// allEndpoints holds every endpoint of the service.
	allEndpoints *endpoint.Set
	// pool holds the endpoints for calls that may run in any region; restricted holds the
	// pools for the region restrictions of the view's routes.
	pool
	restricted  []restrictedPool
	retryBudget *retry.Budget
}

// MeshState is the state of the mesh as the daemon has received it, apart from the configuration.
type MeshState struct {
	Members []protocol.Member
	// Splits are the divisions of services' back ends by software version during roll-outs.
	Splits VersionSplits
	// Evacuations are the zones that must receive no calls.
	Evacuations evacuation.Orders
}

// findRoute returns the route of a request, or nil.
func (v *view) findRoute(request *http.Request, place hostPath) *routing.Route {
	return v.routes.Find(routing.Query{
		Method: request.Method, Host: place.host, Path: place.path, Header: request.Header.Get,
	})
}

// buildView returns the view for a configuration snapshot and the state of the mesh.
// Endpoint statistics, retry budgets and connections carry over from the previous view.
func (p *Proxy) buildView(previous *view, snap *snapshot.Snapshot, state MeshState) *view {
	next := &view{
		snapshot:  snap,
		routes:    previous.routes,
		meshState: state,
		services:  map[resource.ServiceRef]*service{},
		upstreams: map[string]*upstream{},
	}
	if snap == nil {
		return next
	}
	if snap != previous.snapshot {
		next.routes = p.compileRoutes(snap)
	}
	now := p.config.Clock()
	budgetLimits := p.retryLimits(len(state.Members))
	members := endpoint.NewMemberIndex(state.Members)
	locality := endpoint.Locality{
		Region: p.config.Region, Zone: p.config.Zone, TrustStates: p.config.Reported, Spill: p.config.Spill,
		Evacuations: state.Evacuations,
	}
	for reference, backends := range p.backendsOf(snap, state.Members) {
		built := &service{name: reference.String()}
		var previousSet *endpoint.Set
		if previousService := previous.services[reference]; previousService != nil {
			previousSet = previousService.allEndpoints
			built.retryBudget = previousService.retryBudget
			built.retryBudget.SetMinimumRetries(budgetLimits.Part)
		} else {
			built.retryBudget = retry.NewBudgetWithLimits(budgetLimits)
		}
		locality.ColdRate = snap.Services[reference].WarmUp.PerSecond
		built.allEndpoints = endpoint.BuildIndexed(previousSet, locality, backends, members, now)
		built.applySplit(state.Splits[reference])
		built.buildRestrictedPools(next.routes.RestrictionsOf(reference))
		next.services[reference] = built
		p.assignUpstreams(previous, next, built.allEndpoints)
	}
	return next
}

// compileRoutes returns the routing table of a snapshot. With an Edge, it matches hosts and
// paths as they were sent.
func (p *Proxy) compileRoutes(snap *snapshot.Snapshot) *routing.Table {
	if p.config.Edge != nil {
		return routing.CompileVerbatim(snap)
	}
	return routing.Compile(snap)
}

// retryLimits returns the limits of each retry budget in a mesh of the given number of
// daemons.
func (p *Proxy) retryLimits(daemonCount int) retry.Limits {
	if p.config.RetryBudget == nil {
		return retry.DefaultLimits()
	}
	return p.config.RetryBudget(daemonCount)
}

// backendsOf returns the back ends of each service: those that the snapshot declares or, if
// back ends report themselves, those in the member records.
func (p *Proxy) backendsOf(snap *snapshot.Snapshot, members []protocol.Member) map[resource.ServiceRef][]resource.Backend {
	if !p.config.Reported {
		return snap.Backends
	}
	counts := make(map[resource.ServiceRef]int, len(snap.Services))
	for index := range members {
		counts[members[index].Service]++
	}
	backends := make(map[resource.ServiceRef][]resource.Backend, len(snap.Services))
	for reference := range snap.Services {
		backends[reference] = make([]resource.Backend, 0, counts[reference])
	}
	for _, member := range members {
		if _, known := snap.Services[member.Service]; !known || member.Backend == "" {
			continue
		}
		backends[member.Service] = append(backends[member.Service], resource.Backend{
			Partner: member.Service.Partner, Name: member.Backend, Service: member.Service.Name,
			Address: member.DataAddress, Region: member.Region, Zone: member.Zone, Slots: member.Slots,
		})
	}
	return backends
}

// assignUpstreams sets the upstream of every endpoint of a set in the next view: that of the
// previous view or, for a new address, a new upstream.
func (p *Proxy) assignUpstreams(previous, next *view, set *endpoint.Set) {
	for _, candidate := range set.All {
		if candidate.Address == "" || next.upstreams[candidate.Address] != nil {
			continue
		}
		gateUpstream := previous.upstreams[candidate.Address]
		if gateUpstream == nil {
			gateUpstream = newUpstream(candidate.Address, p.limits, p.limits.UpstreamIdle)
			gateUpstream.tlsConfig = p.config.PeerTLS
			gateUpstream.roundTrip = p.config.RoundTrip
			if !p.config.Reported && candidate.Zone == p.config.Zone && candidate.Region == p.config.Region {
				gateUpstream.openSpares(1)
			}
		}
		if earlier := gateUpstream.incarnation.Swap(uint64(candidate.Incarnation)); earlier != 0 && earlier != uint64(candidate.Incarnation) {
			gateUpstream.closeIdle()
		}
		next.upstreams[candidate.Address] = gateUpstream
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
	for _, service := range next.services {
		p.closeIdleToStopping(next, service.allEndpoints)
	}
}

// closeIdleToStopping closes the idle connections to endpoints that drain or are down, so
// that no call is sent on a connection while the other side closes it.
func (p *Proxy) closeIdleToStopping(next *view, set *endpoint.Set) {
	for _, candidate := range set.All {
		if candidate.State == protocol.EndpointDraining || candidate.State == protocol.EndpointDown {
			if gateUpstream := next.upstreams[candidate.Address]; gateUpstream != nil {
				gateUpstream.closeIdle()
			}
		}
	}
}
