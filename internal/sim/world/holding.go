package world

import (
	"fmt"
	"strings"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// holdingOf describes what a proxy put in force, as its data path sees it.
func holdingOf(s *slot, held *snapshot.Snapshot) oracle.Holding {
	holding := oracle.Holding{
		Version: uint64(held.Version),
		Scope:   s.scopeName(),
	}
	for _, partner := range s.scope().Partners {
		holding.Partners = append(holding.Partners, string(partner))
	}
	for _, service := range held.Services {
		marker := strings.TrimPrefix(service.HealthPath, "/")
		holding.Resources = append(holding.Resources, resourceOf(service.Key(), marker))
	}
	for _, secret := range held.Secrets {
		holding.Resources = append(holding.Resources, resourceOf(secret.Key(), secret.Value.Reveal()))
	}
	for _, backends := range held.Backends {
		for _, backend := range backends {
			described := resourceOf(backend.Key(), markerOfAddress(backend.Address))
			described.Of = backend.ServiceRef().Key().String()
			holding.Resources = append(holding.Resources, described)
		}
	}
	for _, route := range held.Routes {
		holding.Resources = append(holding.Resources, routeOf(route))
	}
	return holding
}

func resourceOf(key resource.Key, marker string) oracle.Resource {
	return oracle.Resource{
		Key:    key.String(),
		File:   oracle.FileName(string(key.Partner) + "/" + key.Name),
		Marker: marker,
	}
}

func routeOf(route resource.Route) oracle.Resource {
	path := route.Match.PathPrefix
	described := resourceOf(route.Key(), path[strings.LastIndexByte(path, '/')+1:])
	described.Owner = string(route.Partner)
	for _, destination := range route.Split {
		described.Needs = append(described.Needs, destination.Service.Key().String())
	}
	if route.Secret != nil {
		secret := resource.Key{Partner: route.Partner, Kind: resource.KindSecret, Name: route.Secret.Name}
		described.Needs = append(described.Needs, secret.String())
	}
	return described
}

// markerOfAddress undoes markerAddress.
func markerOfAddress(address string) string {
	var high, middle, low int
	_, err := fmt.Sscanf(address, "10.%d.%d.%d:9000", &high, &middle, &low)
	if err != nil {
		return address
	}
	return markerText((high-100)<<16 | middle<<8 | low)
}
