// Package ledger decides which configuration files are accepted. It is a pure
// function of the head object, the contents that it refers to and one change;
// its results are the next head, the next contents and the reply to the
// operator. The caller writes the content first and then the head by
// update-if-version; the change is accepted when that update succeeds.
package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// Format is the version of the head's encoding.
const Format = 1

// HeadObject is the name of the platform object that holds the head.
const HeadObject = "head"

// ContentPrefix is the prefix of the names of content objects.
const ContentPrefix = "content/"

// ContentObject returns the name of the object that holds a file's canonical
// text.
func ContentObject(digest resource.Digest) string {
	return ContentPrefix + string(digest)
}

// Head is the value of the head object: the list of all configuration files and
// recent operations. It is immutable in memory: a change builds a new Head. A
// Head with only Format set is that of an empty mesh.
type Head struct {
	Format int `json:"format"`
	// Version is the configuration version; it grows by one with each change to
	// accepted content or keeper sets.
	Version protocol.Version `json:"version"`
	// Term is the fencing term of the reader that wrote the head.
	Term uint64 `json:"term"`
	// AcceptedAt is when Version was accepted, by the reader's wall clock.
	AcceptedAt time.Time `json:"accepted_at"`
	// LastRevision is the last file revision assigned. All files share this
	// counter, so that a file that is withdrawn and submitted again never gets a
	// revision that it had before.
	LastRevision uint64 `json:"last_revision"`
	// Files are sorted by key.
	Files []FileEntry `json:"files,omitempty"`
	// Operations are in the order in which they were applied.
	Operations []Operation `json:"operations,omitempty"`
	// OperationFloor is the highest time in an operation id that was dropped from
	// Operations, in Unix milliseconds. An id that is not listed and not newer
	// than that is refused.
	OperationFloor int64 `json:"operation_floor,omitempty"`
	// Keepers are sorted by region.
	Keepers []protocol.KeeperSet `json:"keepers,omitempty"`
}

// FileEntry is one file. At least one of Accepted and Held is set; both are set
// if a replacement is held while the accepted revision stays in force.
type FileEntry struct {
	Partner  resource.Partner  `json:"partner"`
	Name     string            `json:"name"`
	Accepted *AcceptedRevision `json:"accepted,omitempty"`
	Held     *HeldRevision     `json:"held,omitempty"`
}

// AcceptedRevision is the accepted revision of a file.
type AcceptedRevision struct {
	Revision uint64           `json:"revision"`
	Digest   resource.Digest  `json:"digest"`
	Version  protocol.Version `json:"version"`
	At       time.Time        `json:"at"`
}

// HeldRevision is a stored revision that is not accepted because resources that
// it refers to are missing.
type HeldRevision struct {
	Revision uint64          `json:"revision"`
	Digest   resource.Digest `json:"digest"`
	At       time.Time       `json:"at"`
	// WaitsFor describes the missing references, in at most MaxWaitsFor lines.
	WaitsFor []string `json:"waits_for"`
}

// MaxWaitsFor is the maximum number of lines of WaitsFor, and of Promoted and
// errors in replies.
const MaxWaitsFor = 16

// Key returns the partner and name that identify the file.
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

// digests returns the digests of the accepted and held revisions.
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

// File returns the entry of a file, or false if the head does not list the file.
func (h *Head) File(key resource.FileKey) (FileEntry, bool) {
	position, found := h.searchFile(key)
	if !found {
		return FileEntry{}, false
	}
	return h.Files[position], true
}

// KeeperSet returns the keeper set of a region, or false if the region has none.
func (h *Head) KeeperSet(region string) (protocol.KeeperSet, bool) {
	for _, set := range h.Keepers {
		if set.Region == region {
			return set, true
		}
	}
	return protocol.KeeperSet{}, false
}

// Digests returns the digests of all accepted and held revisions, sorted and
// without duplicates.
func (h *Head) Digests() []resource.Digest {
	digests := make([]resource.Digest, 0, len(h.Files))
	for _, entry := range h.Files {
		digests = append(digests, entry.digests()...)
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}

func (h *Head) searchFile(key resource.FileKey) (int, bool) {
	return slices.BinarySearchFunc(h.Files, key, func(entry FileEntry, key resource.FileKey) int {
		return entry.Key().Compare(key)
	})
}

// clone copies the head and its lists. What the entries point to is shared and
// must not be modified; a pointer is replaced instead.
func (h *Head) clone() *Head {
	next := *h
	next.Files = slices.Clone(h.Files)
	next.Operations = slices.Clone(h.Operations)
	next.Keepers = slices.Clone(h.Keepers)
	return &next
}

// putFile inserts or replaces the entry of a file.
func (h *Head) putFile(entry FileEntry) {
	position, found := h.searchFile(entry.Key())
	if found {
		h.Files[position] = entry
		return
	}
	h.Files = slices.Insert(h.Files, position, entry)
}

// removeFile deletes the entry of a file, if there is one.
func (h *Head) removeFile(key resource.FileKey) {
	position, found := h.searchFile(key)
	if found {
		h.Files = slices.Delete(h.Files, position, position+1)
	}
}

// advanceVersion increments the version. AcceptedAt never decreases, even if
// the clocks of two readers differ.
func (h *Head) advanceVersion(now time.Time) {
	h.Version++
	if now.After(h.AcceptedAt) {
		h.AcceptedAt = now
	}
}

// setKeeperSet replaces the keeper set of one region and reports whether it
// changed.
func (h *Head) setKeeperSet(set protocol.KeeperSet) bool {
	position, found := slices.BinarySearchFunc(h.Keepers, set, func(a, b protocol.KeeperSet) int {
		return strings.Compare(a.Region, b.Region)
	})
	if found && equalKeeperSets(h.Keepers[position], set) {
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

// equalKeeperSets reports whether two sets of one region, and the sets that they
// replace, have the same members and quorums. Revisions are not compared.
func equalKeeperSets(a, b protocol.KeeperSet) bool {
	if (a.Previous == nil) != (b.Previous == nil) {
		return false
	}
	if a.Previous != nil && !equalKeeperSets(*a.Previous, *b.Previous) {
		return false
	}
	return a.Write == b.Write && a.Read == b.Read && slices.Equal(a.Members, b.Members)
}
