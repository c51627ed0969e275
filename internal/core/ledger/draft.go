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
	before   *Head
	head     *Head
	contents Contents
	request  *Change
	// version is the version of the new head if accepted content changes.
	version protocol.Version
	changed bool
	// touched are the files whose accepted revision may have changed: first the
	// request's own file, then the promoted ones.
	touched []resource.FileKey
}

func newDraft(head *Head, contents Contents, change *Change) *draft {
	next := head.clone()
	next.Term = max(next.Term, change.Term)
	return &draft{before: head, head: next, contents: contents, request: change, version: head.Version + 1, touched: []resource.FileKey{change.Key()}}
}

// change applies the request to the head: a withdrawn file is removed, and any
// other content becomes the file's held revision, which settle may promote.
func (d *draft) change() *protocol.SubmitReply {
	key := d.request.Key()
	if d.request.File == nil {
		entry, _ := d.head.File(key)
		d.changed = entry.Accepted != nil
		d.head.remove(key)
		return nil
	}
	if taken := resource.NameConflicts(d.request.File, d.claims(key)); len(taken) > 0 {
		return &protocol.SubmitReply{Code: result.NameTaken, Errors: taken}
	}
	d.head.LastRevision++
	entry, found := d.head.File(key)
	if !found {
		entry = FileEntry{Partner: key.Partner, Name: key.Name}
	}
	entry.Held = &HeldRevision{Revision: d.head.LastRevision, Digest: d.request.Digest, At: d.request.Now}
	d.head.put(entry)
	d.contents = with(d.contents, d.request.Digest, d.request.File)
	return nil
}

// claims returns the accepted and held contents of the partner's other files.
// The resource names in both are taken, so that a promotion never introduces a
// duplicate name.
func (d *draft) claims(key resource.FileKey) []*resource.File {
	var claims []*resource.File
	for _, entry := range d.head.Files {
		if entry.Partner != key.Partner || entry.Name == key.Name {
			continue
		}
		if entry.Accepted != nil {
			claims = append(claims, d.contents[entry.Accepted.Digest])
		}
		if entry.Held != nil {
			claims = append(claims, d.contents[entry.Held.Digest])
		}
	}
	return claims
}

// settle promotes every held file that can be promoted, all in one version, and
// returns the reply to the request.
func (d *draft) settle() *protocol.SubmitReply {
	for d.promote() {
	}
	broken := d.missing(nil)
	if len(broken) > 0 {
		return d.stillNeeded(broken)
	}
	if refused := d.blockers(); refused != nil {
		return refused
	}
	if d.changed {
		d.head.advance(d.request.Now)
	}
	d.noteWaits()
	return d.answer()
}

// promote accepts the oldest held file whose references can all be satisfied,
// together with the held files needed for that, and reports whether there was
// one.
func (d *draft) promote() bool {
	for _, key := range d.heldKeys() {
		set, stands := d.closure(key)
		if !stands {
			continue
		}
		for _, member := range set {
			d.accept(member)
		}
		return true
	}
	return false
}

// closure returns a held file with the other held files that must be accepted
// together with it so that no reference is missing, or false if that is not
// possible. Files that refer to each other are thus accepted in one version, and
// a held file that can't be accepted does not block others.
func (d *draft) closure(key resource.FileKey) ([]resource.FileKey, bool) {
	set := []resource.FileKey{key}
	for {
		missing := d.missing(set)
		if len(missing) == 0 {
			return set, true
		}
		next, found := d.remedy(missing[0], set)
		if !found {
			return nil, false
		}
		set = append(set, next)
	}
}

// remedy returns a held file outside the set that resolves a missing reference:
// one that declares the target or, if the reference is in an accepted file
// outside the set, the held replacement of that file.
func (d *draft) remedy(missing resource.MissingReference, set []resource.FileKey) (resource.FileKey, bool) {
	candidates := lo.Without(d.heldKeys(), set...)
	supplier, found := lo.Find(candidates, func(key resource.FileKey) bool {
		entry, _ := d.head.File(key)
		return slices.Contains(d.contents[entry.Held.Digest].Keys(), missing.To)
	})
	if found {
		return supplier, true
	}
	return missing.File, slices.Contains(candidates, missing.File)
}

// missing returns the unsatisfied references among the accepted files, with the
// held revisions of the files in trial in place of their accepted ones. There
// were none before the change, so only the differences since then are checked.
func (d *draft) missing(trial []resource.FileKey) []resource.MissingReference {
	files := make([]*resource.File, 0, len(d.head.Files))
	for _, entry := range d.head.Files {
		digest := inForce(entry)
		if entry.Held != nil && slices.Contains(trial, entry.Key()) {
			digest = entry.Held.Digest
		}
		if digest != "" {
			files = append(files, d.contents[digest])
		}
	}
	added, removed := d.difference(trial)
	return resource.MissingReferencesAfter(files, added, removed)
}

// difference returns the accepted contents added and removed by the change, with
// the held revisions of the files in trial in place of their accepted ones.
func (d *draft) difference(trial []resource.FileKey) (added, removed []*resource.File) {
	for _, key := range lo.Union(d.touched, trial) {
		now, _ := d.head.File(key)
		digest := inForce(now)
		if now.Held != nil && slices.Contains(trial, key) {
			digest = now.Held.Digest
		}
		earlier, _ := d.before.File(key)
		before := inForce(earlier)
		if before == digest {
			continue
		}
		if digest != "" {
			added = append(added, d.contents[digest])
		}
		if before != "" {
			removed = append(removed, d.contents[before])
		}
	}
	return added, removed
}

// inForce returns the digest of an entry's accepted revision, or "".
func inForce(entry FileEntry) resource.Digest {
	if entry.Accepted == nil {
		return ""
	}
	return entry.Accepted.Digest
}

// heldKeys returns the files with a held revision, the oldest revision first.
func (d *draft) heldKeys() []resource.FileKey {
	held := lo.Filter(d.head.Files, func(entry FileEntry, _ int) bool { return entry.Held != nil })
	slices.SortFunc(held, func(a, b FileEntry) int { return cmp.Compare(a.Held.Revision, b.Held.Revision) })
	return lo.Map(held, func(entry FileEntry, _ int) resource.FileKey { return entry.Key() })
}

// accept makes the held revision of a file the accepted one. If its content
// equals the accepted one, it keeps that version, as nothing changes on any
// proxy.
func (d *draft) accept(key resource.FileKey) {
	entry, _ := d.head.File(key)
	accepted := &AcceptedRevision{
		Revision: entry.Held.Revision,
		Digest:   entry.Held.Digest,
		Version:  d.version,
		At:       d.request.Now,
	}
	if entry.Accepted != nil && entry.Accepted.Digest == entry.Held.Digest {
		accepted.Version = entry.Accepted.Version
		accepted.At = entry.Accepted.At
	} else {
		d.changed = true
	}
	entry.Accepted = accepted
	entry.Held = nil
	d.head.put(entry)
	d.touched = lo.Union(d.touched, []resource.FileKey{key})
}

// blockers refuses a replacement that would remove resources that other accepted
// files need, even if it would be held for other reasons: otherwise it could
// stay held without end.
func (d *draft) blockers() *protocol.SubmitReply {
	key := d.request.Key()
	entry, found := d.head.File(key)
	if !found || entry.Held == nil || entry.Accepted == nil {
		return nil
	}
	others := lo.Filter(d.missing([]resource.FileKey{key}), func(missing resource.MissingReference, _ int) bool {
		return missing.File != key
	})
	if len(others) == 0 {
		return nil
	}
	return d.stillNeeded(others)
}

// stillNeeded refuses the change with one error for each resource that needs
// something that the change would remove.
func (d *draft) stillNeeded(broken []resource.MissingReference) *protocol.SubmitReply {
	errors := lo.Map(broken[:min(len(broken), MaxWaitsFor)], func(missing resource.MissingReference, _ int) result.Error {
		problem := result.New(result.StillNeeded, "%s of file %s needs %s", missing.From, missing.File, missing.To)
		problem.File = d.request.Request.File
		problem.Mend = fmt.Sprintf("Change %s first.", missing.From)
		return *problem
	})
	return &protocol.SubmitReply{Code: result.StillNeeded, Errors: errors, Version: d.before.Version}
}

// noteWaits updates WaitsFor of each held file.
func (d *draft) noteWaits() {
	for _, key := range d.heldKeys() {
		entry, _ := d.head.File(key)
		lines := lo.Map(d.missing([]resource.FileKey{key}), func(missing resource.MissingReference, _ int) string {
			return missing.String()
		})
		held := *entry.Held
		held.WaitsFor = lines[:min(len(lines), MaxWaitsFor)]
		entry.Held = &held
		d.head.put(entry)
	}
}

func (d *draft) answer() *protocol.SubmitReply {
	reply := &protocol.SubmitReply{Code: result.OK, Version: d.head.Version}
	entry, found := d.head.File(d.request.Key())
	if found {
		reply.Revision = entry.Revision()
	}
	if found && entry.Held != nil {
		reply.Code = result.Held
		reply.WaitsFor = slices.Clone(entry.Held.WaitsFor)
	}
	names := lo.Map(d.touched[1:], func(key resource.FileKey, _ int) string { return key.String() })
	slices.Sort(names)
	reply.Promoted = names[:min(len(names), MaxWaitsFor)]
	return reply
}

// record adds the operation to the head and drops unreferenced contents.
func (d *draft) record(reply *protocol.SubmitReply) {
	operation := Operation{
		ID:          d.request.Request.Operation,
		At:          d.request.Now.UnixMilli(),
		Fingerprint: fingerprint(d.request.Request),
		Code:        reply.Code,
		Version:     reply.Version,
		Revision:    reply.Revision,
		WaitsFor:    reply.WaitsFor,
		Promoted:    reply.Promoted,
	}
	d.head.remember(operation, d.request.Now)
	d.contents = d.pruned()
}

// pruned returns the contents without those that only the previous head refers
// to. A content includes the key of its file, so the entries of two files never
// share a digest.
func (d *draft) pruned() Contents {
	pruned := maps.Clone(d.contents)
	for _, key := range d.touched {
		earlier, _ := d.before.File(key)
		now, _ := d.head.File(key)
		for _, digest := range earlier.digests() {
			if !slices.Contains(now.digests(), digest) {
				delete(pruned, digest)
			}
		}
	}
	return pruned
}
