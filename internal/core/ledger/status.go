package ledger

import (
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// FileStatuses returns the status of the files of a head as daemons exchange it,
// sorted by key. A file with a held replacement has two entries, the accepted
// revision first. InForce is not set, as it does not follow from the head. The
// operators' API restricts what each partner may see.
func FileStatuses(head *Head, contents Contents) []protocol.FileStatus {
	var statuses []protocol.FileStatus
	for _, entry := range head.Files {
		if entry.Accepted != nil {
			accepted := newFileStatus(entry, contents[entry.Accepted.Digest])
			accepted.Revision = entry.Accepted.Revision
			accepted.Digest = entry.Accepted.Digest
			accepted.AcceptedAt = entry.Accepted.At
			accepted.Version = entry.Accepted.Version
			statuses = append(statuses, accepted)
		}
		if entry.Held != nil {
			held := newFileStatus(entry, contents[entry.Held.Digest])
			held.Revision = entry.Held.Revision
			held.Digest = entry.Held.Digest
			held.Held = true
			held.WaitsFor = slices.Clone(entry.Held.WaitsFor)
			statuses = append(statuses, held)
		}
	}
	return statuses
}

// newFileStatus returns a status with the fields that follow from the content
// of a file, which is nil if it is not loaded.
func newFileStatus(entry FileEntry, file *resource.File) protocol.FileStatus {
	status := protocol.FileStatus{Partner: entry.Partner, Name: entry.Name}
	if file == nil {
		return status
	}
	for _, service := range file.Services {
		if len(service.ExportTo) > 0 {
			status.Exports = append(status.Exports, protocol.ExportedService{Name: service.Name, Partners: service.ExportTo})
		}
	}
	status.Resources = ResourceDigests(file)
	return status
}

// ResourceDigests returns the resources of a file with their digests.
func ResourceDigests(file *resource.File) []protocol.ResourceDigest {
	return lo.Map(resource.Encode(file), func(encoded resource.Encoded, _ int) protocol.ResourceDigest {
		return protocol.ResourceDigest{Kind: encoded.Key.Kind, Name: encoded.Key.Name, Digest: encoded.Digest}
	})
}
