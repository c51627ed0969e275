package ledger

import (
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// FileStatuses returns the files as the partner in the request may see them,
// sorted by key. A file with a held replacement gives two entries, the accepted
// revision first. Of another partner's file only the name, the version and the
// services that it exports to the asker are shown, and only if there are any:
// its digest would let secrets be guessed. An empty partner sees everything.
// A revision is in force when inForce has reached its version.
func FileStatuses(head *Head, contents Contents, request *protocol.StatusRequest, inForce protocol.Version) []protocol.FileStatus {
	var statuses []protocol.FileStatus
	for _, entry := range head.Files {
		if request.Partner != "" && request.Partner != entry.Partner {
			statuses = append(statuses, exportedStatus(entry, contents, request.Partner, inForce)...)
			continue
		}
		statuses = append(statuses, ownStatus(entry, contents, request.Resources, inForce)...)
	}
	return statuses
}

func ownStatus(entry FileEntry, contents Contents, resources bool, inForce protocol.Version) []protocol.FileStatus {
	var statuses []protocol.FileStatus
	if entry.Accepted != nil {
		statuses = append(statuses, protocol.FileStatus{
			Partner:    entry.Partner,
			Name:       entry.Name,
			Revision:   entry.Accepted.Revision,
			Digest:     entry.Accepted.Digest,
			AcceptedAt: entry.Accepted.At,
			Version:    entry.Accepted.Version,
			InForce:    inForce >= entry.Accepted.Version,
			Resources:  resourceDigests(contents[entry.Accepted.Digest], resources),
		})
	}
	if entry.Held != nil {
		statuses = append(statuses, protocol.FileStatus{
			Partner:   entry.Partner,
			Name:      entry.Name,
			Revision:  entry.Held.Revision,
			Digest:    entry.Held.Digest,
			Held:      true,
			WaitsFor:  entry.Held.WaitsFor,
			Resources: resourceDigests(contents[entry.Held.Digest], resources),
		})
	}
	return statuses
}

func exportedStatus(entry FileEntry, contents Contents, asker resource.Partner, inForce protocol.Version) []protocol.FileStatus {
	if entry.Accepted == nil || contents[entry.Accepted.Digest] == nil {
		return nil
	}
	usable := lo.Filter(contents[entry.Accepted.Digest].Services, func(service resource.Service, _ int) bool {
		return service.UsableBy(asker)
	})
	if len(usable) == 0 {
		return nil
	}
	return []protocol.FileStatus{{
		Partner: entry.Partner,
		Name:    entry.Name,
		Version: entry.Accepted.Version,
		InForce: inForce >= entry.Accepted.Version,
		Exports: lo.Map(usable, func(service resource.Service, _ int) string { return service.Name }),
	}}
}

func resourceDigests(file *resource.File, wanted bool) []protocol.ResourceDigest {
	if !wanted || file == nil {
		return nil
	}
	return lo.Map(resource.Encode(file), func(encoded resource.Encoded, _ int) protocol.ResourceDigest {
		return protocol.ResourceDigest{Kind: encoded.Key.Kind, Name: encoded.Key.Name, Digest: encoded.Digest}
	})
}
