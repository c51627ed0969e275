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
	// version is the version that the head gets if anything accepted changes.
	version protocol.Version
	changed bool
	// touched are the files whose accepted revision may differ from before: the
	// request's own and those promoted.
	touched []resource.FileKey
}

func newDraft(head *Head, contents Contents, change *Change) *draft {
	next := head.clone()
	next.Term = max(next.Term, change.Term)
	return &draft{before: head, head: next, contents: contents, request: change, version: head.Version + 1, touched: []resource.FileKey{change.Key()}}
}

// change puts the request into the head: a withdrawn file goes away, any other
// content becomes the file's held revision for settle to promote.
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

// claims returns the contents of the partner's other files, accepted and held:
// a name is taken by either, so that a promotion never meets a taken name.
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

// settle promotes every held file that can be promoted, all in this version,
// and answers for the request.
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

// promote accepts the oldest held file that can stand, together with the held
// files that it needs for that, and reports whether there was one.
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

// closure returns the held files that must be accepted together with one, so
// that nothing is missing, or false if there are none that do. Files that need
// each other are accepted in one version this way, and no held file that can't
// stand keeps others back.
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

// remedy returns a held file outside the set that would mend a missing
// reference: the one that declares its target or, when an accepted file
// outside the set is what lacks it, that file's own replacement.
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

// missing returns what the files in force would lack with the held revisions
// of trial in place of their accepted ones. What was in force before the change
// lacked nothing, so only what differs from it is looked at.
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

// difference returns the contents that came in and went out since before the
// change, with the held revisions of trial in place of their accepted ones.
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

// accept makes a held revision the accepted one. Content equal to what is in
// force keeps its version, for nothing changes on any proxy.
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

// blockers refuses a replacement that would take away what accepted files
// need, even if it would be held for other reasons: it could wait for ever.
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

// stillNeeded refuses the change and names what needs what would go away.
func (d *draft) stillNeeded(broken []resource.MissingReference) *protocol.SubmitReply {
	errors := lo.Map(broken[:min(len(broken), MaxWaitsFor)], func(missing resource.MissingReference, _ int) result.Error {
		problem := result.New(result.StillNeeded, "%s of file %s needs %s", missing.From, missing.File, missing.To)
		problem.File = d.request.Request.File
		problem.Mend = fmt.Sprintf("Change %s first.", missing.From)
		return *problem
	})
	return &protocol.SubmitReply{Code: result.StillNeeded, Errors: errors, Version: d.before.Version}
}

// noteWaits writes what each held file waits for.
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

// record remembers the operation and drops contents that nothing names.
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

// pruned returns the contents without those that only the head before named. A
// content names its file, so no other file's entry can name the same digest.
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
