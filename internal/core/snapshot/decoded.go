package snapshot

import (
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// FromDecoded returns the snapshot of services and routes that are already
// decoded, for example by an external configuration authority. Like Build, it fails
// if a route refers to a service that is not among them (invariant I2 of docs/INVARIANTS.md). The
// result has no back ends or secrets, and no Digest or Encoded.
func FromDecoded(version protocol.Version, services []resource.Service, routes []resource.Route) (*Snapshot, error) {
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
	return built, nil
}
