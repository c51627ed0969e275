package rig

import (
	"sort"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// staticVersion is the version of the rig's only snapshot.
const staticVersion = 1

// staticSnapshot is what every proxy of the rig holds.
func staticSnapshot(file *resource.File) *snapshot.Snapshot {
	held := &snapshot.Snapshot{
		Version:  staticVersion,
		Services: make(map[resource.ServiceRef]resource.Service),
		Backends: make(map[resource.ServiceRef][]resource.Backend),
		Secrets:  make(map[resource.Key]resource.Secret),
		Routes:   append([]resource.Route(nil), file.Routes...),
	}
	for _, service := range file.Services {
		held.Services[resource.ServiceRef{Partner: service.Partner, Name: service.Name}] = service
	}
	for _, each := range file.Backends {
		held.Backends[each.ServiceRef()] = append(held.Backends[each.ServiceRef()], each)
	}
	sort.Slice(held.Routes, func(i, j int) bool { return held.Routes[i].Key().Less(held.Routes[j].Key()) })
	return held
}
