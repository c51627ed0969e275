package snapshot

import (
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// HistoryLength is how many released versions a store keeps. A child that
// holds an older one gets a whole snapshot.
const HistoryLength = 32

// Store is what a relay or root holds: every resource at the newest released
// version, and a bounded history for deltas. Payloads are shared between
// versions. It is not safe for concurrent use.
type Store struct {
	// history is in ascending order of version.
	history []*Snapshot
	// selections holds what a scope selects of a version.
	selections map[selectionKey]selection
	// deltas holds deltas to the newest version, encoded once and shared by
	// all children that need the same one.
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

// Newest returns the newest version whole; nil when the store is empty.
func (s *Store) Newest() *Snapshot {
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1]
}

// Add puts a whole version on top. Versions that are not newer are ignored:
// what a store offers never moves back (I1). It fails, and changes nothing,
// when the resources do not make a valid snapshot (I3).
func (s *Store) Add(version protocol.Version, resources []resource.Encoded) error {
	if version <= s.Version() {
		return nil
	}
	built, err := Rebuild(s.Newest(), version, resources)
	if err != nil {
		return errors.Trace(err)
	}
	s.push(built)
	return nil
}

func (s *Store) push(built *Snapshot) {
	s.history = append(s.history, built)
	s.deltas = map[deltaKey]*protocol.Delta{}
	if len(s.history) > HistoryLength {
		s.history = s.history[1:]
	}
	s.dropSelections()
}

// Advance puts the newest content on top again at a newer version. It serves
// a version that changed nothing.
func (s *Store) Advance(version protocol.Version) {
	newest := s.Newest()
	if newest == nil || version <= newest.Version {
		return
	}
	s.push(newest.WithVersion(version))
}

// dropSelections forgets the selections of versions that left the history.
func (s *Store) dropSelections() {
	oldest := s.history[0].Version
	for key := range s.selections {
		if key.version < oldest {
			delete(s.selections, key)
		}
	}
}

// Select returns the newest resources of a scope.
func (s *Store) Select(scope protocol.Scope) []resource.Encoded {
	newest := s.Newest()
	if newest == nil {
		return nil
	}
	return s.selected(newest, scope, scopeKey(scope)).resources
}

// Delta returns what leads a child with the scope from the version and digest
// that it has to the newest version. It is nil when nothing changes for the
// child, which then stands at the newest version with the same digest.
func (s *Store) Delta(scope protocol.Scope, have protocol.Version, digest resource.Digest) *protocol.Delta {
	newest := s.Newest()
	if newest == nil {
		return nil
	}
	key := scopeKey(scope)
	after := s.selected(newest, scope, key)
	if have > 0 && digest == after.digest {
		return nil
	}
	before := s.at(have)
	if before == nil || s.selected(before, scope, key).digest != digest {
		return s.shared(deltaKey{scope: key}, newest.Version, nil, after.resources)
	}
	return s.shared(deltaKey{from: have, scope: key}, newest.Version, s.selected(before, scope, key).resources, after.resources)
}

// shared returns the one encoding of a delta to the newest version.
func (s *Store) shared(key deltaKey, to protocol.Version, before, after []resource.Encoded) *protocol.Delta {
	if delta, found := s.deltas[key]; found {
		return delta
	}
	delta := makeDelta(key.from, to, before, after)
	s.deltas[key] = delta
	return delta
}

func (s *Store) at(version protocol.Version) *Snapshot {
	for _, one := range s.history {
		if one.Version == version {
			return one
		}
	}
	return nil
}

func (s *Store) selected(of *Snapshot, scope protocol.Scope, key string) selection {
	memo := selectionKey{version: of.Version, scope: key}
	if found, ok := s.selections[memo]; ok {
		return found
	}
	resources := of.Select(scope)
	made := selection{resources: resources, digest: DigestOf(resources)}
	s.selections[memo] = made
	return made
}
