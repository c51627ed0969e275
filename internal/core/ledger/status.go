package ledger

import (
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// FileStatuses lists the files of a head with all that daemons tell each other
// of them, sorted by key. A file with a held replacement gives two entries, the
// accepted revision first. InForce is left to those who know. What one partner
// may see of it is decided by the operators' API.
func FileStatuses(head *Head, contents Contents) []protocol.FileStatus {
	var statuses []protocol.FileStatus
	for _, entry := range head.Files {
		if entry.Accepted != nil {
			accepted := describe(entry, contents[entry.Accepted.Digest])
			accepted.Revision = entry.Accepted.Revision
			accepted.Digest = entry.Accepted.Digest
			accepted.AcceptedAt = entry.Accepted.At
			accepted.Version = entry.Accepted.Version
			statuses = append(statuses, accepted)
		}
		if entry.Held != nil {
			held := describe(entry, contents[entry.Held.Digest])
			held.Revision = entry.Held.Revision
			held.Digest = entry.Held.Digest
			held.Held = true
			held.WaitsFor = slices.Clone(entry.Held.WaitsFor)
			statuses = append(statuses, held)
		}
	}
	return statuses
}

// describe fills in what the content of a file tells; nil when not at hand.
func describe(entry FileEntry, file *resource.File) protocol.FileStatus {
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

// ResourceDigests lists the resources of a file with their digests.
func ResourceDigests(file *resource.File) []protocol.ResourceDigest {
	return lo.Map(resource.Encode(file), func(encoded resource.Encoded, _ int) protocol.ResourceDigest {
		return protocol.ResourceDigest{Kind: encoded.Key.Kind, Name: encoded.Key.Name, Digest: encoded.Digest}
	})
}
