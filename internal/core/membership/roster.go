package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ForgetAfter is how long the record of a dead or left member is kept, so that
// a late record of it is not taken for a new member.
const TombstoneRetention = time.Hour

// Source says from where a record was heard.
type Source int

// The sources of a record.
const (
	// Below is this daemon itself or a child, so that the parent may not know
	// the record yet.
	SourceSubtree Source = iota + 1
	// Above is the parent, or another region.
	SourceOutside
)

// Cursor is a position in a roster's change log. 0 is before everything.
type Cursor = uint64

// Roster is what one daemon knows of all members. It is not safe for
// concurrent use.
type Roster struct {
	entries map[protocol.NodeID]*entry
	// log lists changes in order. An item is stale once its member changed
	// again; stale items are dropped when they outnumber the members.
	log  []change
	next Cursor
	// order holds the entries in ascending order of id.
	order []*entry
	// structure counts the changes that Structure speaks of.
	structure uint64
	// sums hold, by bucket of ids, the sum of the hashes of all records.
	sums BucketSums
}

// Buckets is into how many parts the records are divided for Sums.
const BucketCount = 64

// Sums tell two rosters apart, bucket by bucket, without sending records.
type BucketSums [BucketCount]uint64

// Total sums all buckets up: equal rosters have equal totals.
func (s BucketSums) Total() uint64 {
	total := uint64(0)
	for _, sum := range s {
		total += sum
	}
	return total
}

type entry struct {
	member  protocol.Member
	changed Cursor
	at      time.Duration
	source  Source
}

type change struct {
	cursor Cursor
	id     protocol.NodeID
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: map[protocol.NodeID]*entry{}, next: 1}
}

// Merge takes a record heard from source at now and reports whether it
// replaced what was known.
func (r *Roster) Merge(now time.Duration, member protocol.Member, source Source) bool {
	known, found := r.entries[member.ID]
	if found && !Newer(member, known.member) {
		return false
	}
	if !found {
		known = &entry{}
		r.insert(member.ID, known)
	} else {
		r.sums[bucketOf(member.ID)] -= recordHash(known.member)
	}
	if !found || structureDiffers(known.member, member) {
		r.structure++
	}
	r.sums[bucketOf(member.ID)] += recordHash(member)
	known.member = member
	known.at = now
	known.source = source
	r.logChange(known)
	return true
}

func (r *Roster) insert(id protocol.NodeID, added *entry) {
	r.entries[id] = added
	at, _ := slices.BinarySearchFunc(r.order, id, compareEntry)
	r.order = slices.Insert(r.order, at, added)
}

func compareEntry(one *entry, id protocol.NodeID) int { return cmp.Compare(one.member.ID, id) }

// structureDiffers reports whether a change concerns who counts and who may be
// whose parent, and not only an endpoint.
func structureDiffers(a, b protocol.Member) bool {
	return a.Incarnation != b.Incarnation || Live(a) != Live(b) || MayBeParent(a) != MayBeParent(b) || a.Reader != b.Reader || a.Root != b.Root ||
		a.Zone != b.Zone || a.Region != b.Region || a.ControlAddress != b.ControlAddress
}

// recordHash identifies one state of a record: two records of a daemon with
// the same place in the order of merging are the same.
func recordHash(member protocol.Member) uint64 {
	text := []byte(member.ID)
	text = binary.BigEndian.AppendUint64(text, uint64(member.Incarnation))
	text = binary.BigEndian.AppendUint64(text, member.Sequence)
	text = append(text, byte(member.State))
	return xxhash.Sum64(text)
}

func bucketOf(id protocol.NodeID) int { return int(xxhash.Sum64String(string(id)) % BucketCount) }

// Structure grows with each change of who counts and who may be whose parent.
func (r *Roster) StructureRevision() uint64 { return r.structure }

// Sums returns the sums of all records.
func (r *Roster) Sums() BucketSums { return r.sums }

// Differing returns the records in buckets whose sums differ from the given.
func (r *Roster) InDifferingBuckets(sums BucketSums) []protocol.Member {
	var members []protocol.Member
	for _, known := range r.order {
		bucket := bucketOf(known.member.ID)
		if sums[bucket] != r.sums[bucket] {
			members = append(members, known.member)
		}
	}
	return members
}

// MergeQuietly is Merge for a judgement that is not news from the member, such
// as suspicion: ChangedAt stays what it was.
func (r *Roster) MergeKeepingChangedAt(now time.Duration, member protocol.Member, source Source) bool {
	heard := r.ChangedAt(member.ID)
	if !r.Merge(now, member, source) {
		return false
	}
	r.entries[member.ID].at = heard
	return true
}

// ReportAgain makes a record count as changed below, so that a new parent
// hears it.
func (r *Roster) MarkUnreported(id protocol.NodeID) {
	known, found := r.entries[id]
	if !found {
		return
	}
	known.source = SourceSubtree
	r.logChange(known)
}

func (r *Roster) logChange(known *entry) {
	known.changed = r.next
	r.log = append(r.log, change{cursor: r.next, id: known.member.ID})
	r.next++
	r.compact()
}

// compact drops stale log items, so that the log stays in proportion to the
// number of members.
func (r *Roster) compact() {
	const slack = 64
	if len(r.log) < 2*len(r.entries)+slack {
		return
	}
	r.log = lo.Filter(r.log, func(item change, _ int) bool { return r.current(item) })
}

func (r *Roster) current(item change) bool {
	known, found := r.entries[item.id]
	return found && known.changed == item.cursor
}

// Get returns the record of a member.
func (r *Roster) Get(id protocol.NodeID) (protocol.Member, bool) {
	known, found := r.entries[id]
	if !found {
		return protocol.Member{}, false
	}
	return known.member, true
}

// ChangedAt returns when the member's record last changed here.
func (r *Roster) ChangedAt(id protocol.NodeID) time.Duration {
	if known, found := r.entries[id]; found {
		return known.at
	}
	return 0
}

// All returns a copy of every record in ascending order of id.
func (r *Roster) All() []protocol.Member {
	members := make([]protocol.Member, len(r.order))
	for i, known := range r.order {
		members[i] = known.member
	}
	return members
}

// Each calls visit with every record in ascending order of id. Records may be
// merged meanwhile.
func (r *Roster) Each(visit func(protocol.Member)) {
	for _, known := range slices.Clone(r.order) {
		visit(known.member)
	}
}

// Where returns the records that fit, in ascending order of id.
func (r *Roster) Where(fits func(protocol.Member) bool) []protocol.Member {
	var members []protocol.Member
	for _, known := range r.order {
		if fits(known.member) {
			members = append(members, known.member)
		}
	}
	return members
}

// Cursor returns the position after the newest change.
func (r *Roster) Cursor() Cursor { return r.next - 1 }

// Since returns the records that changed after the cursor, each once and in
// the order of their changes. After a cursor that this roster never gave out,
// it returns everything.
func (r *Roster) Since(cursor Cursor) []protocol.Member {
	return r.since(cursor, func(*entry) bool { return true })
}

// SinceBelow is Since for records heard from below only.
func (r *Roster) SubtreeSince(cursor Cursor) []protocol.Member {
	return r.since(cursor, func(known *entry) bool { return known.source == SourceSubtree })
}

func (r *Roster) since(cursor Cursor, fits func(*entry) bool) []protocol.Member {
	if cursor >= r.next {
		cursor = 0
	}
	from, _ := slices.BinarySearchFunc(r.log, cursor+1, func(item change, target Cursor) int {
		return cmp.Compare(item.cursor, target)
	})
	var members []protocol.Member
	for _, item := range r.log[from:] {
		if r.current(item) && fits(r.entries[item.id]) {
			members = append(members, r.entries[item.id].member)
		}
	}
	return members
}

// Forget drops members that have been dead or left for ForgetAfter.
func (r *Roster) RemoveExpired(now time.Duration) {
	r.order = slices.DeleteFunc(r.order, func(known *entry) bool {
		forgotten := !Live(known.member) && now-known.at > TombstoneRetention
		if forgotten {
			delete(r.entries, known.member.ID)
			r.sums[bucketOf(known.member.ID)] -= recordHash(known.member)
		}
		return forgotten
	})
}
