// Package snapshot holds the configuration that one proxy applies. A snapshot is
// built and checked as a whole, immutable, and replaced by swapping one pointer. The
// package also selects scopes, and makes and applies deltas between versions.
package snapshot

import (
	"bytes"
	"slices"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/result"
)

// Snapshot is the whole configuration that a proxy holds at one version. It is not
// changed once built, so readers need no lock.
type Snapshot struct {
	// Version is the configuration version that consists of these resources.
	Version protocol.Version
	// Digest covers the sorted keys and digests of all resources; see DigestOf.
	Digest resource.Digest
	// Services, Backends, Secrets and Routes are the decoded resources.
	Services map[resource.ServiceRef]resource.Service
	// Backends are grouped by service and sorted by name.
	Backends map[resource.ServiceRef][]resource.Backend
	Secrets  map[resource.Key]resource.Secret
	// Routes are sorted by key.
	Routes []resource.Route
	// Tenants holds the tenants of an external authority's configuration; nil if there are none.
	Tenants *tenancy.Directory
	// Encoded are the encoded resources, sorted by key.
	Encoded []resource.Encoded
	// decodedResources holds the decoded form of each resource in Encoded, in the same order.
	decodedResources []resource.Resource
}

// Build decodes the resources and returns the snapshot of the version. It
// fails with a *result.Error if a resource can't be decoded (DigestMismatch,
// UnknownFormat) or if a route refers to a service or secret that is not among
// them (FileBadReference), so that no proxy gets a route with a missing service or
// secret (invariant I2 of docs/INVARIANTS.md).
func Build(version protocol.Version, encoded []resource.Encoded) (*Snapshot, error) {
	return Rebuild(nil, version, encoded)
}

// Rebuild is like Build, but decodes only what changed: resources with the same
// key, digest and payload in previous, which may be nil, are taken from there. The
// result does not depend on previous.
func Rebuild(previous *Snapshot, version protocol.Version, encoded []resource.Encoded) (*Snapshot, error) {
	sorted := slices.Clone(encoded)
	resource.SortEncoded(sorted)
	built := &Snapshot{
		Version:          version,
		Digest:           DigestOf(sorted),
		Services:         map[resource.ServiceRef]resource.Service{},
		Backends:         map[resource.ServiceRef][]resource.Backend{},
		Secrets:          map[resource.Key]resource.Secret{},
		Encoded:          sorted,
		decodedResources: make([]resource.Resource, 0, len(sorted)),
	}
	decoder := incrementalDecoder{previous: previous}
	if previous != nil && len(previous.decodedResources) != len(previous.Encoded) {
		decoder.previous = nil // not made by Rebuild, so its decoded resources are missing
	}
	for _, entry := range sorted {
		decoded, err := decoder.decode(entry)
		if err != nil {
			return nil, errors.Trace(err)
		}
		built.decodedResources = append(built.decodedResources, decoded)
		built.add(decoded)
	}
	if err := built.checkReferences(); err != nil {
		return nil, errors.Trace(err)
	}
	return built, nil
}

// incrementalDecoder decodes resources in key order and reuses the decoded resources of an
// earlier snapshot.
type incrementalDecoder struct {
	previous *Snapshot
	// nextIndex is the index in previous.Encoded at which the next search starts.
	nextIndex int
}

// decode returns the decoded form of a resource, from the earlier snapshot if it is
// unchanged. Successive calls must pass resources in key order.
func (d *incrementalDecoder) decode(entry resource.Encoded) (resource.Resource, error) {
	if d.previous == nil {
		return resource.Decode(entry)
	}
	for d.nextIndex < len(d.previous.Encoded) && d.previous.Encoded[d.nextIndex].Key.Less(entry.Key) {
		d.nextIndex++
	}
	if d.nextIndex == len(d.previous.Encoded) {
		return resource.Decode(entry)
	}
	candidate := d.previous.Encoded[d.nextIndex]
	same := candidate.Key == entry.Key && candidate.Digest == entry.Digest && bytes.Equal(candidate.Payload, entry.Payload)
	if !same {
		return resource.Decode(entry)
	}
	return d.previous.decodedResources[d.nextIndex], nil
}

// WithVersion returns a snapshot with the same content at another version. It is used
// when a newer version changes none of the snapshot's resources.
func (s *Snapshot) WithVersion(version protocol.Version) *Snapshot {
	copied := *s
	copied.Version = version
	return &copied
}

// Empty returns a snapshot of version 0 without resources.
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

// checkReferences fails if a route refers to a service or secret that the snapshot lacks.
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

// secretKey returns the key of the secret that a route uses. A route can only use
// secrets of its own partner.
func secretKey(route resource.Route) resource.Key {
	return resource.Key{Partner: route.Partner, Kind: resource.KindSecret, Name: route.Secret.Name}
}
