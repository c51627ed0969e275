package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// draft is a head under construction.
type draft struct {
	previousHead *Head
	head         *Head
	contents     Contents
	change       *Change
	// version is the version of the new head if accepted content changes;
	// acceptedChanged is set once it has.
	version         protocol.Version
	acceptedChanged bool
	// changedFiles are the files whose accepted revision may have changed:
	// first the request's own file, then the promoted ones.
	changedFiles []resource.FileKey
}

func newDraft(head *Head, contents Contents, change *Change) *draft {
	next := head.clone()
	next.Term = max(next.Term, change.Term)
	return &draft{previousHead: head, head: next, contents: contents, change: change, version: head.Version + 1, changedFiles: []resource.FileKey{change.Key()}}
}

// applyChange applies the request to the head: a withdrawn file is removed, and
// any other content becomes the file's held revision, which
// promoteAndCheckReferences may promote.
func (d *draft) applyChange() *protocol.SubmitReply {
	key := d.change.Key()
	if d.change.File == nil {
		entry, _ := d.head.File(key)
		d.acceptedChanged = entry.Accepted != nil
		d.head.removeFile(key)
		return nil
	}
	if conflicts := resource.NameConflicts(d.change.File, d.contentsOfOtherFiles(key)); len(conflicts) > 0 {
		return &protocol.SubmitReply{Code: result.NameTaken, Errors: conflicts}
	}
	d.head.LastRevision++
	entry, found := d.head.File(key)
	if !found {
		entry = FileEntry{Partner: key.Partner, Name: key.Name}
	}
	entry.Held = &HeldRevision{Revision: d.head.LastRevision, Digest: d.change.Digest, At: d.change.Now}
	d.head.putFile(entry)
	d.contents = withContent(d.contents, d.change.Digest, d.change.File)
	return nil
}

// contentsOfOtherFiles returns the accepted and held contents of the partner's
// other files. A changed file may not declare a resource name that any of them
// declares, so that a promotion never introduces a duplicate name.
func (d *draft) contentsOfOtherFiles(key resource.FileKey) []*resource.File {
	var contents []*resource.File
	for _, entry := range d.head.Files {
		if entry.Partner != key.Partner || entry.Name == key.Name {
			continue
		}
		if entry.Accepted != nil {
			contents = append(contents, d.contents[entry.Accepted.Digest])
		}
		if entry.Held != nil {
			contents = append(contents, d.contents[entry.Held.Digest])
		}
	}
	return contents
}

// promoteAndCheckReferences promotes every held file that can be promoted, all
// in one version, and returns the reply to the request. It refuses the change
// with StillNeeded if accepted files need resources that the change removes.
// Otherwise it advances the version if accepted content has changed, and updates
// WaitsFor of the files that stay held.
func (d *draft) promoteAndCheckReferences() *protocol.SubmitReply {
	for d.promoteOldest() {
	}
	missing := d.missingReferences(nil)
	if len(missing) > 0 {
		return d.newStillNeededRefusal(missing)
	}
	if refusal := d.checkStillNeeded(); refusal != nil {
		return refusal
	}
	if d.acceptedChanged {
		d.head.advanceVersion(d.change.Now)
	}
	d.updateWaitsFor()
	return d.newReply()
}

// promoteOldest accepts the oldest held file whose references can all be
// satisfied, together with the held files needed for that, and reports whether
// there was such a file.
func (d *draft) promoteOldest() bool {
	for _, key := range d.heldFiles() {
		group, isPromotable := d.promotionGroup(key)
		if !isPromotable {
			continue
		}
		for _, member := range group {
			d.acceptHeldRevision(member)
		}
		return true
	}
	return false
}

// promotionGroup returns a held file with the other held files that must be
// accepted together with it so that no reference is missing, or false if that
// is not possible. Files that refer to each other are thus accepted in one
// version, and a held file that can't be accepted does not block others.
func (d *draft) promotionGroup(key resource.FileKey) ([]resource.FileKey, bool) {
	group := []resource.FileKey{key}
	for {
		missing := d.missingReferences(group)
		if len(missing) == 0 {
			return group, true
		}
		next, found := d.resolvingFile(missing[0], group)
		if !found {
			return nil, false
		}
		group = append(group, next)
	}
}

// resolvingFile returns a held file outside the group that resolves a missing
// reference: one that declares the target or, if the reference is in an
// accepted file outside the group, the held replacement of that file.
func (d *draft) resolvingFile(missing resource.Reference, group []resource.FileKey) (resource.FileKey, bool) {
	candidates := lo.Without(d.heldFiles(), group...)
	declaringFile, found := lo.Find(candidates, func(key resource.FileKey) bool {
		entry, _ := d.head.File(key)
		return slices.Contains(d.contents[entry.Held.Digest].Keys(), missing.To)
	})
	if found {
		return declaringFile, true
	}
	return missing.File, slices.Contains(candidates, missing.File)
}

// missingReferences returns the unsatisfied references among the accepted
// files, with the held revisions of triedFiles in place of their accepted ones.
// There were none before the change, so only the differences since then are
// checked.
func (d *draft) missingReferences(triedFiles []resource.FileKey) []resource.Reference {
	files := make([]*resource.File, 0, len(d.head.Files))
	for _, entry := range d.head.Files {
		digest := acceptedDigest(entry)
		if entry.Held != nil && slices.Contains(triedFiles, entry.Key()) {
			digest = entry.Held.Digest
		}
		if digest != "" {
			files = append(files, d.contents[digest])
		}
	}
	added, removed := d.acceptedDifference(triedFiles)
	return resource.MissingReferencesAfter(files, added, removed)
}

// acceptedDifference returns the accepted contents added and removed by the
// change, with the held revisions of triedFiles in place of their accepted ones.
func (d *draft) acceptedDifference(triedFiles []resource.FileKey) (added, removed []*resource.File) {
	for _, key := range lo.Union(d.changedFiles, triedFiles) {
		entry, _ := d.head.File(key)
		digest := acceptedDigest(entry)
		if entry.Held != nil && slices.Contains(triedFiles, key) {
			digest = entry.Held.Digest
		}
		previousEntry, _ := d.previousHead.File(key)
		previousDigest := acceptedDigest(previousEntry)
		if previousDigest == digest {
			continue
		}
		if digest != "" {
			added = append(added, d.contents[digest])
		}
		if previousDigest != "" {
			removed = append(removed, d.contents[previousDigest])
		}
	}
	return added, removed
}

// acceptedDigest returns the digest of an entry's accepted revision, or "".
func acceptedDigest(entry FileEntry) resource.Digest {
	if entry.Accepted == nil {
		return ""
	}
	return entry.Accepted.Digest
}

// heldFiles returns the files with a held revision, the oldest revision first.
func (d *draft) heldFiles() []resource.FileKey {
	held := lo.Filter(d.head.Files, func(entry FileEntry, _ int) bool { return entry.Held != nil })
	slices.SortFunc(held, func(a, b FileEntry) int { return cmp.Compare(a.Held.Revision, b.Held.Revision) })
	return lo.Map(held, func(entry FileEntry, _ int) resource.FileKey { return entry.Key() })
}

// acceptHeldRevision makes the held revision of a file the accepted one. If its
// content equals the accepted one, it keeps that version, as nothing changes on
// any proxy.
func (d *draft) acceptHeldRevision(key resource.FileKey) {
	entry, _ := d.head.File(key)
	accepted := &AcceptedRevision{
		Revision: entry.Held.Revision,
		Digest:   entry.Held.Digest,
		Version:  d.version,
		At:       d.change.Now,
	}
	if entry.Accepted != nil && entry.Accepted.Digest == entry.Held.Digest {
		accepted.Version = entry.Accepted.Version
		accepted.At = entry.Accepted.At
	} else {
		d.acceptedChanged = true
	}
	entry.Accepted = accepted
	entry.Held = nil
	d.head.putFile(entry)
	d.changedFiles = lo.Union(d.changedFiles, []resource.FileKey{key})
}

// checkStillNeeded refuses a replacement that would remove resources that other
// accepted files need, even if it would be held for other reasons: otherwise it
// could stay held without end.
func (d *draft) checkStillNeeded() *protocol.SubmitReply {
	key := d.change.Key()
	entry, found := d.head.File(key)
	if !found || entry.Held == nil || entry.Accepted == nil {
		return nil
	}
	missingInOtherFiles := lo.Filter(d.missingReferences([]resource.FileKey{key}), func(missing resource.Reference, _ int) bool {
		return missing.File != key
	})
	if len(missingInOtherFiles) == 0 {
		return nil
	}
	return d.newStillNeededRefusal(missingInOtherFiles)
}

// newStillNeededRefusal refuses the change with one error for each resource that
// needs something that the change would remove.
func (d *draft) newStillNeededRefusal(references []resource.Reference) *protocol.SubmitReply {
	errors := lo.Map(references[:min(len(references), MaxWaitsFor)], func(missing resource.Reference, _ int) result.Error {
		problem := result.New(result.StillNeeded, "%s of file %s needs %s", missing.From, missing.File, missing.To)
		problem.File = d.change.Request.File
		problem.Mend = fmt.Sprintf("Change %s first.", missing.From)
		return *problem
	})
	return &protocol.SubmitReply{Code: result.StillNeeded, Errors: errors, Version: d.previousHead.Version}
}

// updateWaitsFor records in each held file which references would be missing if
// the file alone were accepted.
func (d *draft) updateWaitsFor() {
	for _, key := range d.heldFiles() {
		entry, _ := d.head.File(key)
		lines := lo.Map(d.missingReferences([]resource.FileKey{key}), func(missing resource.Reference, _ int) string {
			return missing.String()
		})
		held := *entry.Held
		held.WaitsFor = lines[:min(len(lines), MaxWaitsFor)]
		entry.Held = &held
		d.head.putFile(entry)
	}
}

func (d *draft) newReply() *protocol.SubmitReply {
	reply := &protocol.SubmitReply{Code: result.OK, Version: d.head.Version}
	entry, found := d.head.File(d.change.Key())
	if found {
		reply.Revision = entry.Revision()
	}
	if found && entry.Held != nil {
		reply.Code = result.Held
		reply.WaitsFor = slices.Clone(entry.Held.WaitsFor)
	}
	names := lo.Map(d.changedFiles[1:], func(key resource.FileKey, _ int) string { return key.String() })
	slices.Sort(names)
	reply.Promoted = names[:min(len(names), MaxWaitsFor)]
	return reply
}

// recordOperation adds the operation to the head and drops unreferenced contents.
func (d *draft) recordOperation(reply *protocol.SubmitReply) {
	operation := Operation{
		ID:          d.change.Request.Operation,
		At:          d.change.Now.UnixMilli(),
		Fingerprint: fingerprint(d.change.Request),
		Code:        reply.Code,
		Version:     reply.Version,
		Revision:    reply.Revision,
		WaitsFor:    reply.WaitsFor,
		Promoted:    reply.Promoted,
	}
	d.head.addOperation(operation, d.change.Now)
	d.contents = d.prunedContents()
}

// prunedContents returns the contents without those that only the previous head
// refers to. A content includes the key of its file, so the entries of two
// files never share a digest.
func (d *draft) prunedContents() Contents {
	pruned := maps.Clone(d.contents)
	for _, key := range d.changedFiles {
		previousEntry, _ := d.previousHead.File(key)
		entry, _ := d.head.File(key)
		for _, digest := range previousEntry.digests() {
			if !slices.Contains(entry.digests(), digest) {
				delete(pruned, digest)
			}
		}
	}
	return pruned
}
