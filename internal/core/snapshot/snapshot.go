// Package snapshot holds what one proxy has in force: built whole, checked,
// immutable and swapped by one pointer. It also selects scopes, and makes and
// applies the deltas that lead from one version to another.
package snapshot

import (
	"bytes"
	"slices"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Snapshot is everything that a proxy holds at one version. It is never
// changed after it was built, so readers need no lock.
type Snapshot struct {
	// Version is the configuration version.
	Version protocol.Version
	// Digest covers the sorted keys and digests of all resources held.
	Digest resource.Digest
	// Services, Backends, Secrets and Routes are the decoded resources.
	Services map[resource.ServiceRef]resource.Service
	// Backends are grouped by the service that they belong to, sorted by name.
	Backends map[resource.ServiceRef][]resource.Backend
	Secrets  map[resource.Key]resource.Secret
	// Routes are sorted by key.
	Routes []resource.Route
	// Encoded are the resources as received, sorted by key.
	Encoded []resource.Encoded
	// decoded holds what each of Encoded decodes to, in the same order.
	decoded []resource.Resource
}

// Build decodes the resources and returns the snapshot of the version. It
// fails with a *result.Error when a resource does not decode (DigestMismatch,
// UnknownFormat) or when a route names a service or secret that is not among
// them (FileBadReference): no proxy ever gets a route that leads nowhere (I2).
func Build(version protocol.Version, encoded []resource.Encoded) (*Snapshot, error) {
	return Rebuild(nil, version, encoded)
}

// Rebuild is Build with the work in proportion to what changed: resources
// whose key, digest and payload are those of previous, which may be nil, are
// taken from there instead of being decoded again. The result does not depend
// on previous.
func Rebuild(previous *Snapshot, version protocol.Version, encoded []resource.Encoded) (*Snapshot, error) {
	sorted := slices.Clone(encoded)
	resource.SortEncoded(sorted)
	built := &Snapshot{
		Version:  version,
		Digest:   DigestOf(sorted),
		Services: map[resource.ServiceRef]resource.Service{},
		Backends: map[resource.ServiceRef][]resource.Backend{},
		Secrets:  map[resource.Key]resource.Secret{},
		Encoded:  sorted,
		decoded:  make([]resource.Resource, 0, len(sorted)),
	}
	known := earlier{from: previous}
	if previous != nil && len(previous.decoded) != len(previous.Encoded) {
		known.from = nil // it was not built here
	}
	for _, one := range sorted {
		decoded, err := known.decode(one)
		if err != nil {
			return nil, errors.Trace(err)
		}
		built.decoded = append(built.decoded, decoded)
		built.add(decoded)
	}
	if err := built.checkReferences(); err != nil {
		return nil, errors.Trace(err)
	}
	return built, nil
}

// earlier walks over an earlier snapshot in the order of keys.
type earlier struct {
	from *Snapshot
	next int
}

// decode returns what a resource decodes to. Keys must come in order.
func (e *earlier) decode(one resource.Encoded) (resource.Resource, error) {
	if e.from == nil {
		return resource.Decode(one)
	}
	for e.next < len(e.from.Encoded) && e.from.Encoded[e.next].Key.Less(one.Key) {
		e.next++
	}
	if e.next == len(e.from.Encoded) {
		return resource.Decode(one)
	}
	candidate := e.from.Encoded[e.next]
	same := candidate.Key == one.Key && candidate.Digest == one.Digest && bytes.Equal(candidate.Payload, one.Payload)
	if !same {
		return resource.Decode(one)
	}
	return e.from.decoded[e.next], nil
}

// AtVersion returns the same content at another version. It serves a scope
// that the versions in between did not touch.
func (s *Snapshot) WithVersion(version protocol.Version) *Snapshot {
	moved := *s
	moved.Version = version
	return &moved
}

// Empty returns the snapshot that holds nothing.
func Empty() *Snapshot {
	empty, _ := Build(0, nil)
	return empty
}

func (s *Snapshot) add(decoded resource.Resource) {
	switch value := decoded.(type) {
	case resource.Service:
		s.Services[resource.ServiceRef{Partner: value.Partner, Name: value.Name}] = value
	case resource.Backend:
		s.Backends[value.ServiceRef()] = append(s.Backends[value.ServiceRef()], value)
	case resource.Secret:
		s.Secrets[value.Key()] = value
	case resource.Route:
		s.Routes = append(s.Routes, value)
	}
}

func (s *Snapshot) checkReferences() error {
	for _, route := range s.Routes {
		for _, destination := range route.Split {
			if _, found := s.Services[destination.Service]; !found {
				return result.New(result.FileBadReference, "route %s leads to service %s, which is not held", route.Key(), destination.Service)
			}
		}
		if route.Secret == nil {
			continue
		}
		secret := secretKey(route)
		if _, found := s.Secrets[secret]; !found {
			return result.New(result.FileBadReference, "route %s uses %s, which is not held", route.Key(), secret)
		}
	}
	return nil
}

// secretKey returns the key of the secret that a route uses. Secrets are only
// used by routes of their own partner.
func secretKey(route resource.Route) resource.Key {
	return resource.Key{Partner: route.Partner, Kind: resource.KindSecret, Name: route.Secret.Name}
}
