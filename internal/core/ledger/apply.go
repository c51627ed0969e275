package ledger

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Contents are the parsed files that a head refers to, by digest. The map is
// immutable: a change builds a new one.
type Contents map[resource.Digest]*resource.File

// Change is an operator's request that has passed all checks that need no head.
// After a conflict it can be applied again to a newer head.
type Change struct {
	// Request is the operator's request.
	Request *protocol.SubmitRequest
	// File is the parsed content; nil for a withdrawal.
	File *resource.File
	// Text is the canonical text of File and Digest is its digest. The content
	// object with that text has to be written before the head. Both are empty for a
	// withdrawal.
	Digest resource.Digest
	Text   []byte
	// Now is the reader's wall clock when it received the request.
	Now time.Time
	// Term is the reader's fencing term, written into the head.
	Term uint64
}

// Prepare parses and checks a request. The reply is nil unless the request is
// refused; a refused request has no effect.
func Prepare(request *protocol.SubmitRequest, now time.Time, term uint64) (*Change, *protocol.SubmitReply) {
	change := &Change{Request: request, Now: now, Term: term}
	if request.Format != protocol.Format {
		return nil, newRefusal(result.UnknownFormat, "request format %d; this build knows %d", request.Format, protocol.Format)
	}
	if _, err := OperationTime(request.Operation); err != nil {
		return nil, newRefusal(result.UsageError, "the operation id is not <unix milliseconds>-<random hex>")
	}
	switch request.Action {
	case protocol.ActionWithdraw:
		return change, nil
	case protocol.ActionSubmit, protocol.ActionReplace:
		return change.parse()
	default:
		return nil, newRefusal(result.UsageError, "action %q is not known", request.Action)
	}
}

func (c *Change) parse() (*Change, *protocol.SubmitReply) {
	file, problems := resource.Parse(c.Request.File, c.Request.Content, resource.DefaultLimits())
	if len(problems) > 0 {
		errors := lo.Map(problems, func(problem *result.Error, _ int) result.Error { return *problem })
		return nil, &protocol.SubmitReply{Code: problems[0].Code, Errors: errors}
	}
	if file.Partner != c.Request.Partner {
		return nil, newRefusal(result.FileNotYours, "the file belongs to partner %s", file.Partner)
	}
	if file.Name != c.Request.File {
		return nil, newRefusal(result.FileBadValue, "the file calls itself %s, not %s", file.Name, c.Request.File)
	}
	c.File = file
	c.Text = resource.EncodeFile(file)
	c.Digest = resource.DigestOf(c.Text)
	return c, nil
}

// Key returns the partner and name that identify the changed file.
func (c *Change) Key() resource.FileKey {
	return resource.FileKey{Partner: c.Request.Partner, Name: c.Request.File}
}

// Apply applies one change. If the change is refused or was applied before, the
// same head and contents are returned and there is nothing to write. Otherwise
// the caller writes the change's content and then the new head by
// update-if-version; the reply is valid only once that update has succeeded.
func Apply(head *Head, contents Contents, change *Change) (*Head, Contents, *protocol.SubmitReply) {
	if recorded := FindOperation(head, change.Request); recorded != nil {
		return head, contents, recorded
	}
	if !hasAllContents(head, contents) {
		return head, contents, newRefusal(result.NotAccepted, "the reader does not have all contents at hand")
	}
	if refusal := checkOperationID(head, change.Request.Operation, change.Now); refusal != nil {
		return head, contents, refusal
	}
	if refusal := checkRevision(head, change); refusal != nil {
		return head, contents, refusal
	}
	draft := newDraft(head, contents, change)
	if refusal := draft.applyChange(); refusal != nil {
		return head, contents, refusal
	}
	reply := draft.promoteAndCheckReferences()
	if reply.Code != result.OK && reply.Code != result.Held {
		return head, contents, reply
	}
	draft.recordOperation(reply)
	if size := boundOrSize(draft.head, HeadBudget); size > HeadBudget {
		return head, contents, newRefusal(result.HeadTooLarge, "the head would have %d bytes; its budget is %d", size, HeadBudget)
	}
	return draft.head, draft.contents, reply
}

// checkRevision compares the expected revision with the file in the head. A
// submission creates a file; a replacement or withdrawal needs an existing one.
func checkRevision(head *Head, change *Change) *protocol.SubmitReply {
	entry, found := head.File(change.Key())
	expect := change.Request.Expect
	if !found && expect.Given && expect.Revision != 0 {
		return newRevisionMismatch(head, entry, "the file is not there; revision %d was expected", expect.Revision)
	}
	if !found && change.Request.Action != protocol.ActionSubmit {
		return newRefusal(result.NoSuchFile, "there is no file %s", change.Key())
	}
	if found && expect.Given && expect.Revision != entry.Revision() {
		return newRevisionMismatch(head, entry, "the file has revision %d; revision %d was expected", entry.Revision(), expect.Revision)
	}
	if found && !expect.Given && change.Request.Action == protocol.ActionSubmit {
		return newRevisionMismatch(head, entry, "the file is there already, with revision %d", entry.Revision())
	}
	return nil
}

// newRevisionMismatch refuses a change that conflicts with an earlier one. The reply
// contains the current revision of the file and the version that accepted it, or the
// version of the head if the file has no accepted revision.
func newRevisionMismatch(head *Head, entry FileEntry, format string, arguments ...any) *protocol.SubmitReply {
	reply := newRefusal(result.RevisionMismatch, format, arguments...)
	reply.Revision = entry.Revision()
	reply.Version = head.Version
	if entry.Accepted != nil {
		reply.Version = entry.Accepted.Version
	}
	return reply
}

// newRefusal returns a reply with one error.
func newRefusal(code result.Code, format string, arguments ...any) *protocol.SubmitReply {
	problem := result.New(code, format, arguments...)
	entry, _ := result.Lookup(code)
	problem.Mend = entry.Mend
	return &protocol.SubmitReply{Code: code, Errors: []result.Error{*problem}}
}

// SetKeepers returns the head with the given keeper sets in place of those of
// the same regions. If any set changes, the head gets a new version, which is
// also the revision of the changed sets; otherwise the same head is returned.
func SetKeepers(head *Head, sets []protocol.KeeperSet, now time.Time, term uint64) *Head {
	next := head.clone()
	next.Term = max(next.Term, term)
	changed := false
	for _, set := range sets {
		if next.setKeeperSet(set) {
			changed = true
		}
	}
	if !changed {
		return head
	}
	next.advanceVersion(now)
	return next
}

// Catalogue returns all accepted resources, sorted by key. The contents must
// include all that the head refers to; see MissingContents.
func Catalogue(head *Head, contents Contents) []resource.Encoded {
	var catalogue []resource.Encoded
	for _, entry := range head.Files {
		if entry.Accepted != nil {
			catalogue = append(catalogue, resource.Encode(contents[entry.Accepted.Digest])...)
		}
	}
	resource.SortEncoded(catalogue)
	return catalogue
}

// Prune returns the contents that the head refers to.
func Prune(head *Head, contents Contents) Contents {
	pruned := make(Contents, len(head.Files))
	for _, digest := range head.Digests() {
		if file, found := contents[digest]; found {
			pruned[digest] = file
		}
	}
	return pruned
}

// hasAllContents reports whether contents includes all that the head refers to.
func hasAllContents(head *Head, contents Contents) bool {
	return lo.EveryBy(head.Files, func(entry FileEntry) bool {
		return lo.EveryBy(entry.digests(), func(digest resource.Digest) bool { return contents[digest] != nil })
	})
}

// MissingContents returns the digests in the head that are missing from contents.
func MissingContents(head *Head, contents Contents) []resource.Digest {
	return lo.Filter(head.Digests(), func(digest resource.Digest, _ int) bool {
		return contents[digest] == nil
	})
}

func withContent(contents Contents, digest resource.Digest, file *resource.File) Contents {
	next := maps.Clone(contents)
	if next == nil {
		next = Contents{}
	}
	next[digest] = file
	return next
}
