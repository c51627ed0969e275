// Package ledger decides which files are accepted. It is a pure function from
// the head object, the contents that it names and one change to the next head,
// the next contents and the operator's answer. Whoever drives it writes the
// content first and then the head by update-if-version; that update is the
// only moment of acceptance.
package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// Format is the revision of the head's encoding.
const Format = 1

// HeadObject is the name of the head on the platform.
const HeadObject = "head"

// ContentPrefix starts the names of content objects.
const ContentPrefix = "content/"

// ContentObject returns the name of the object that holds a file's canonical text.
func ContentObject(digest resource.Digest) string {
	return ContentPrefix + string(digest)
}

// Head is the one mutable object. It is treated as immutable: a change builds
// another. The zero Head, with Format set, is the head of an empty mesh.
type Head struct {
	Format int `json:"format"`
	// Version counts the updates that changed what is accepted.
	Version protocol.Version `json:"version"`
	// Term is the fencing term of the reader that wrote the head.
	Term uint64 `json:"term"`
	// AcceptedAt is when Version was accepted, in the reader's wall clock.
	AcceptedAt time.Time `json:"accepted_at"`
	// LastRevision is the last file revision given out. Revisions are drawn from
	// this one counter, so that a file withdrawn and submitted anew never has a
	// revision that an operator saw before.
	LastRevision uint64 `json:"last_revision"`
	// Files are sorted by key.
	Files []FileEntry `json:"files,omitempty"`
	// Operations are in the order in which they were taken in.
	Operations []Operation `json:"operations,omitempty"`
	// OperationFloor is the highest time of an operation id that was dropped, in
	// Unix milliseconds. An id that is not listed and not newer is refused.
	OperationFloor int64 `json:"operation_floor,omitempty"`
	// Keepers are sorted by region.
	Keepers []protocol.KeeperSet `json:"keepers,omitempty"`
}

// FileEntry is one file. At least one of Accepted and Held is set; both are
// when a replacement waits while the accepted revision stays in force.
type FileEntry struct {
	Partner  resource.Partner  `json:"partner"`
	Name     string            `json:"name"`
	Accepted *AcceptedRevision `json:"accepted,omitempty"`
	Held     *HeldRevision     `json:"held,omitempty"`
}

// Accepted is the accepted revision of a file.
type AcceptedRevision struct {
	Revision uint64           `json:"revision"`
	Digest   resource.Digest  `json:"digest"`
	Version  protocol.Version `json:"version"`
	At       time.Time        `json:"at"`
}

// HeldRevision is a revision that waits for references.
type HeldRevision struct {
	Revision uint64          `json:"revision"`
	Digest   resource.Digest `json:"digest"`
	At       time.Time       `json:"at"`
	// WaitsFor says what is missing, at most MaxWaitsFor lines.
	WaitsFor []string `json:"waits_for"`
}

// MaxWaitsFor bounds the lines of WaitsFor in the head and in answers.
const MaxWaitsFor = 16

// Key returns the file's key.
func (e FileEntry) Key() resource.FileKey {
	return resource.FileKey{Partner: e.Partner, Name: e.Name}
}

// Revision returns the newest revision, held or accepted.
func (e FileEntry) Revision() uint64 {
	revision := uint64(0)
	if e.Accepted != nil {
		revision = e.Accepted.Revision
	}
	if e.Held != nil {
		revision = max(revision, e.Held.Revision)
	}
	return revision
}

// digests returns the contents that the entry names: none, one or two.
func (e FileEntry) digests() []resource.Digest {
	var digests []resource.Digest
	if e.Accepted != nil {
		digests = append(digests, e.Accepted.Digest)
	}
	if e.Held != nil {
		digests = append(digests, e.Held.Digest)
	}
	return digests
}

// NewHead returns the head of an empty mesh.
func NewHead() *Head { return &Head{Format: Format} }

// File returns the entry of a file.
func (h *Head) File(key resource.FileKey) (FileEntry, bool) {
	position, found := h.search(key)
	if !found {
		return FileEntry{}, false
	}
	return h.Files[position], true
}

// KeeperSet returns the keeper set of a region.
func (h *Head) KeeperSet(region string) (protocol.KeeperSet, bool) {
	for _, set := range h.Keepers {
		if set.Region == region {
			return set, true
		}
	}
	return protocol.KeeperSet{}, false
}

// Digests returns the digests of all contents that the head names, sorted and
// without repetition: those of accepted and of held revisions.
func (h *Head) Digests() []resource.Digest {
	digests := make([]resource.Digest, 0, len(h.Files))
	for _, entry := range h.Files {
		digests = append(digests, entry.digests()...)
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}

func (h *Head) search(key resource.FileKey) (int, bool) {
	return slices.BinarySearchFunc(h.Files, key, func(entry FileEntry, key resource.FileKey) int {
		return entry.Key().Compare(key)
	})
}

// clone copies the head so that the lists can be changed. Entries' pointers
// are shared: they are replaced, never written through.
func (h *Head) clone() *Head {
	next := *h
	next.Files = slices.Clone(h.Files)
	next.Operations = slices.Clone(h.Operations)
	next.Keepers = slices.Clone(h.Keepers)
	return &next
}

// put inserts or replaces the entry of a file.
func (h *Head) put(entry FileEntry) {
	position, found := h.search(entry.Key())
	if found {
		h.Files[position] = entry
		return
	}
	h.Files = slices.Insert(h.Files, position, entry)
}

// remove takes the entry of a file away.
func (h *Head) remove(key resource.FileKey) {
	position, found := h.search(key)
	if found {
		h.Files = slices.Delete(h.Files, position, position+1)
	}
}

// advance makes the head one version newer. The time of acceptance never runs
// backwards, whichever reader's clock it comes from.
func (h *Head) advance(now time.Time) {
	h.Version++
	if now.After(h.AcceptedAt) {
		h.AcceptedAt = now
	}
}

// setKeepers puts one region's set in place and reports whether it changed.
func (h *Head) setKeepers(set protocol.KeeperSet) bool {
	position, found := slices.BinarySearchFunc(h.Keepers, set, func(a, b protocol.KeeperSet) int {
		return strings.Compare(a.Region, b.Region)
	})
	if found && sameKeepers(h.Keepers[position], set) {
		return false
	}
	set.Revision = h.Version + 1
	set.Members = slices.Clone(set.Members)
	if found {
		h.Keepers[position] = set
		return true
	}
	h.Keepers = slices.Insert(h.Keepers, position, set)
	return true
}

func sameKeepers(a, b protocol.KeeperSet) bool {
	if (a.Previous == nil) != (b.Previous == nil) {
		return false
	}
	if a.Previous != nil && !sameKeepers(*a.Previous, *b.Previous) {
		return false
	}
	return a.Write == b.Write && a.Read == b.Read && slices.Equal(a.Members, b.Members)
}
