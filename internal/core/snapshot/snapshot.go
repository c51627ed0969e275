// Package snapshot holds what one proxy has in force: built whole, checked,
// immutable and swapped by one pointer.
package snapshot

import (
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
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
}
