package snapshot

import (
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/tenancy"
)

// FromDecoded returns the snapshot of services, routes and tenants that are already
// decoded, for example by an external configuration authority. Like Build, it fails
// if a route refers to a service that is not among them (invariant I2 of docs/INVARIANTS.md). The
// result has no back ends or secrets, and no Digest or Encoded.
func FromDecoded(version protocol.Version, services []resource.Service, routes []resource.Route, tenants []tenancy.Tenant) (*Snapshot, error) {
	built := &Snapshot{
		Version:  version,
		Services: make(map[resource.ServiceRef]resource.Service, len(services)),
		Backends: map[resource.ServiceRef][]resource.Backend{},
		Secrets:  map[resource.Key]resource.Secret{},
		Routes:   routes,
	}
	for _, service := range services {
		built.add(service)
	}
	if err := built.checkReferences(); err != nil {
		return nil, errors.Trace(err)
	}
	directory, err := tenancy.NewDirectory(tenants)
	if err != nil {
		return nil, errors.Trace(err)
	}
	built.Tenants = directory
	return built, nil
}
