package snapshot

import (
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// HistoryLength is the maximum number of released versions that a store keeps. A child
// with an older version gets a whole snapshot instead of a delta.
const HistoryLength = 32

// Store is the configuration store of a relay or root: all resources at the newest
// released version, and a bounded history for deltas. Payloads are shared between
// versions. It is not safe for concurrent use.
type Store struct {
	// history is in ascending order of version.
	history []*Snapshot
	// selections caches the resources that a scope selects at a version.
	selections map[selectionKey]selection
	// deltas caches encoded deltas to the newest version, which are shared by all
	// children that need the same one.
	deltas map[deltaKey]*protocol.Delta
}

type selectionKey struct {
	version protocol.Version
	scope   string
}

type selection struct {
	resources []resource.Encoded
	digest    resource.Digest
}

type deltaKey struct {
	from  protocol.Version
	scope string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		selections: map[selectionKey]selection{},
		deltas:     map[deltaKey]*protocol.Delta{},
	}
}

// Version returns the newest version; 0 when the store is empty.
func (s *Store) Version() protocol.Version {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].Version
}

// Digest returns the digest of all resources at the newest version.
func (s *Store) Digest() resource.Digest {
	if len(s.history) == 0 {
		return DigestOf(nil)
	}
	return s.history[len(s.history)-1].Digest
}

// Newest returns the snapshot of the newest version; nil when the store is empty.
func (s *Store) Newest() *Snapshot {
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1]
}

// Add adds a new version with all its resources. A version that is not newer is
// ignored, so that the store's version never decreases (invariant I1 of
// docs/INVARIANTS.md). Add fails without effect if the resources don't form a valid
// snapshot (I3).
func (s *Store) Add(version protocol.Version, resources []resource.Encoded) error {
	if version <= s.Version() {
		return nil
	}
	built, err := Rebuild(s.Newest(), version, resources)
	if err != nil {
		return errors.Trace(err)
	}
	s.appendVersion(built)
	return nil
}

// appendVersion adds a snapshot to the history, drops the oldest one beyond HistoryLength, and
// evicts the deltas and selections that are no longer valid.
func (s *Store) appendVersion(built *Snapshot) {
	s.history = append(s.history, built)
	s.deltas = map[deltaKey]*protocol.Delta{}
	if len(s.history) > HistoryLength {
		s.history = s.history[1:]
	}
	s.dropSelections()
}

// Advance adds the newest content again under a newer version. It is used for a
// version that changed nothing.
func (s *Store) Advance(version protocol.Version) {
	newest := s.Newest()
	if newest == nil || version <= newest.Version {
		return
	}
	s.appendVersion(newest.WithVersion(version))
}

// dropSelections evicts the selections of versions that are no longer in the history.
func (s *Store) dropSelections() {
	oldest := s.history[0].Version
	for key := range s.selections {
		if key.version < oldest {
			delete(s.selections, key)
		}
	}
}

// Select returns the resources of a scope at the newest version.
func (s *Store) Select(scope protocol.Scope) []resource.Encoded {
	newest := s.Newest()
	if newest == nil {
		return nil
	}
	return s.cachedSelection(newest, scope, scopeKey(scope)).resources
}

// Delta returns the delta that brings a child to the newest version. The version from
// and the digest describe the content of the scope that the child holds. Delta returns
// nil if the store is empty or if that content already equals the newest version.
func (s *Store) Delta(scope protocol.Scope, from protocol.Version, digest resource.Digest) *protocol.Delta {
	newest := s.Newest()
	if newest == nil {
		return nil
	}
	key := scopeKey(scope)
	after := s.cachedSelection(newest, scope, key)
	if from > 0 && digest == after.digest {
		return nil
	}
	before := s.versionInHistory(from)
	if before == nil || s.cachedSelection(before, scope, key).digest != digest {
		return s.cachedDelta(deltaKey{scope: key}, newest.Version, nil, after.resources)
	}
	return s.cachedDelta(deltaKey{from: from, scope: key}, newest.Version, s.cachedSelection(before, scope, key).resources, after.resources)
}

// cachedDelta returns a delta to the newest version from the cache, encoding it on first use.
func (s *Store) cachedDelta(key deltaKey, to protocol.Version, before, after []resource.Encoded) *protocol.Delta {
	if delta, found := s.deltas[key]; found {
		return delta
	}
	delta := makeDelta(key.from, to, before, after)
	s.deltas[key] = delta
	return delta
}

// versionInHistory returns the snapshot of a version; nil if it is not in the history.
func (s *Store) versionInHistory(version protocol.Version) *Snapshot {
	for _, snapshot := range s.history {
		if snapshot.Version == version {
			return snapshot
		}
	}
	return nil
}

// cachedSelection returns the selection of a scope from the cache, computing it on first use.
func (s *Store) cachedSelection(snapshot *Snapshot, scope protocol.Scope, key string) selection {
	cacheKey := selectionKey{version: snapshot.Version, scope: key}
	if found, ok := s.selections[cacheKey]; ok {
		return found
	}
	resources := snapshot.Select(scope)
	computed := selection{resources: resources, digest: DigestOf(resources)}
	s.selections[cacheKey] = computed
	return computed
}
