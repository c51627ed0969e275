package reader

import (
	"fmt"
	"reflect"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// maxConcurrentContents is how many contents are read or written concurrently.
const maxConcurrentContents = 8

// contentState caches the contents that the head refers to.
type contentState struct {
	files         ledger.Contents
	loadsInFlight map[resource.Digest]bool
	retry         backoff
	// announcedVersion is the object version of the head last announced under the
	// current lease; announcedHead is that head, nil before the first.
	announcedVersion object.Version
	announcedHead    *ledger.Head
}

// reset drops the loads in flight and the record of the last announcement. Loaded
// files are kept, as contents are immutable.
func (c *contentState) reset() {
	c.announcedVersion = 0
	c.announcedHead = nil
	c.loadsInFlight = map[resource.Digest]bool{}
	c.retry.reset()
}

// advanceContents loads the contents that the head refers to, and announces the
// version once all of them are loaded, so that no partial version is published.
func (r *Reader) advanceContents() {
	isAnnounced := r.contents.announcedHead != nil && r.contents.announcedVersion == r.head.version
	if !r.isHeadUsable() || isAnnounced {
		return
	}
	missing := ledger.MissingContents(r.head.head, r.contents.files)
	if len(missing) == 0 {
		r.announce()
		return
	}
	if !r.contents.retry.isDue(r.now) {
		return
	}
	for _, digest := range missing {
		if len(r.contents.loadsInFlight) >= maxConcurrentContents {
			return
		}
		if r.contents.loadsInFlight[digest] {
			continue
		}
		r.contents.loadsInFlight[digest] = true
		r.call(pendingCall{purpose: purposeContentRead, digest: digest},
			object.Call{Kind: object.CallGet, Name: ledger.ContentObject(digest)})
	}
}

func (r *Reader) handleContentRead(call pendingCall, reply object.Reply) {
	delete(r.contents.loadsInFlight, call.digest)
	if reply.Code != result.OK {
		r.contents.retry.recordFailure(r.now, r.random)
		return
	}
	file, err := decodeContent(call.digest, reply.Object.Data)
	if err != nil {
		r.contents.retry.recordFailure(r.now, r.random)
		r.logEvent("content_unreadable", LogField{"digest", string(call.digest)}, LogField{"error", err.Error()})
		return
	}
	r.contents.retry.reset()
	r.cacheContents(ledger.Contents{call.digest: file})
}

// decodeContent verifies data against its digest and decodes it.
func decodeContent(digest resource.Digest, data []byte) (*resource.File, error) {
	if resource.DigestOf(data) != digest {
		return nil, result.New(result.DigestMismatch, "the content does not have the digest that names it")
	}
	return resource.DecodeFile(data)
}

// cacheContents adds files to the cache. It builds a new map, because an
// attempt in progress may still use the old one.
func (r *Reader) cacheContents(added ledger.Contents) {
	files := make(ledger.Contents, len(r.contents.files)+len(added))
	for digest, file := range r.contents.files {
		files[digest] = file
	}
	for digest, file := range added {
		files[digest] = file
	}
	r.contents.files = files
}

// announce emits CatalogueReady for the head, unless its version and files are
// those announced last, and drops contents that the head does not refer to.
func (r *Reader) announce() {
	r.contents.files = ledger.Prune(r.head.head, r.contents.files)
	previous := r.contents.announcedHead
	r.contents.announcedVersion = r.head.version
	r.contents.announcedHead = r.head.head
	if previous != nil && previous.Version == r.head.head.Version && reflect.DeepEqual(previous.Files, r.head.head.Files) {
		return
	}
	head := r.head.head
	r.emit(CatalogueReady{
		Version:     head.Version,
		Resources:   ledger.Catalogue(head, r.contents.files),
		Files:       ledger.FileStatuses(head, r.contents.files),
		Keepers:     head.Keepers,
		BatchWindow: batchWindow(previous, head, r.contents.files),
		AcceptedAt:  head.AcceptedAt,
	})
	r.logEvent("catalogue_ready", LogField{"version", fmt.Sprint(head.Version)})
}

// batchWindow returns how long the release of a head may be delayed to batch it
// with later changes: the shortest batch window of the files accepted since the
// previous head. It is zero without such files, as after a withdrawal or a
// change of keeper sets.
func batchWindow(previous, head *ledger.Head, files ledger.Contents) time.Duration {
	if previous == nil {
		return 0
	}
	window := time.Duration(-1)
	for _, entry := range head.Files {
		if entry.Accepted == nil || entry.Accepted.Version <= previous.Version {
			continue
		}
		wait := files[entry.Accepted.Digest].Distribution.BatchWindow
		if window < 0 || wait < window {
			window = wait
		}
	}
	return max(window, 0)
}
