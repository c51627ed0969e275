package snapshot

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// scopeKey returns a key that identifies a scope regardless of the order of its lists.
func scopeKey(scope protocol.Scope) string {
	if scope.Relay {
		return "relay"
	}
	partners := lo.Map(scope.Partners, func(partner resource.Partner, _ int) string { return string(partner) })
	services := lo.Map(scope.Services, func(service resource.ServiceRef, _ int) string { return service.String() })
	slices.Sort(partners)
	slices.Sort(services)
	return fmt.Sprintf("%s|%s", strings.Join(partners, ","), strings.Join(services, ","))
}

// Select returns the resources in a scope, sorted by key. It selects the routes of the
// listed partners that refer to a listed service; an empty list matches all partners or
// services. It adds the services and secrets that these routes use, the listed services
// and the back ends of all these services, so that no reference is left dangling. A
// secret is only selected through a route that uses it.
func (s *Snapshot) Select(scope protocol.Scope) []resource.Encoded {
	if scope.Relay {
		return s.Encoded
	}
	wanted := s.keysInScope(scope)
	return lo.Filter(s.Encoded, func(entry resource.Encoded, _ int) bool { return wanted[entry.Key] })
}

// keysInScope returns the keys of the resources that Select returns for a scope.
func (s *Snapshot) keysInScope(scope protocol.Scope) map[resource.Key]bool {
	wanted := map[resource.Key]bool{}
	services := lo.Keyify(scope.Services)
	for _, route := range s.Routes {
		if !inScope(route, scope.Partners, services) {
			continue
		}
		wanted[route.Key()] = true
		if route.Secret != nil {
			wanted[secretKey(route)] = true
		}
		for _, destination := range route.Split {
			s.addServiceKeys(wanted, destination.Service)
		}
	}
	for _, service := range scope.Services {
		s.addServiceKeys(wanted, service)
	}
	return wanted
}

// addServiceKeys adds the keys of a service and of its back ends.
func (s *Snapshot) addServiceKeys(wanted map[resource.Key]bool, service resource.ServiceRef) {
	if wanted[service.Key()] {
		return
	}
	wanted[service.Key()] = true
	for _, backend := range s.Backends[service] {
		wanted[backend.Key()] = true
	}
}

// inScope reports whether a route belongs to a scope's partners and refers to one of its
// services. An empty list matches all.
func inScope(route resource.Route, partners []resource.Partner, services map[resource.ServiceRef]struct{}) bool {
	if len(partners) > 0 && !slices.Contains(partners, route.Partner) {
		return false
	}
	if len(services) == 0 {
		return true
	}
	return slices.ContainsFunc(route.Split, func(destination resource.Destination) bool {
		return lo.HasKey(services, destination.Service)
	})
}
