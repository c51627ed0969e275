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

// TombstoneRetention is how long the record of a dead or left member is kept, so that a
// late record does not add the member again.
const TombstoneRetention = time.Hour

// Source is the direction from which a record was received.
type Source int

// The sources of a record.
const (
	// SourceSubtree marks records that the parent may not know yet, such as those of
	// this daemon and its subtree.
	SourceSubtree Source = iota + 1
	// SourceOutside marks records received from the parent, another region, or in
	// a reply to a probe.
	SourceOutside
)

// Cursor is a position in a roster's change log. 0 precedes all changes.
type Cursor = uint64

// Roster holds the member records that one daemon knows. It is not safe for concurrent
// use.
type Roster struct {
	entries map[protocol.NodeID]*entry
	// log lists the changes in order. An item is stale once its member has changed
	// again; compact drops the stale items once there are many.
	log        []change
	nextCursor Cursor
	// sorted holds the entries in ascending order of id.
	sorted []*entry
	// structureRevision is the counter returned by StructureRevision.
	structureRevision uint64
	// sums holds the sum of the record hashes, by bucket of member ids.
	sums BucketSums
}

// BucketCount is the number of buckets into which records are divided for BucketSums.
const BucketCount = 64

// BucketSums are checksums of a roster by bucket. Two rosters are compared by them
// without sending records.
type BucketSums [BucketCount]uint64

// Total returns the sum over all buckets: equal rosters have equal totals.
func (s BucketSums) Total() uint64 {
	total := uint64(0)
	for _, sum := range s {
		total += sum
	}
	return total
}

type entry struct {
	member protocol.Member
	cursor Cursor
	// changedAt is when Merge last replaced the record; MergeKeepingChangedAt keeps it.
	changedAt time.Duration
	source    Source
}

type change struct {
	cursor Cursor
	id     protocol.NodeID
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: map[protocol.NodeID]*entry{}, nextCursor: 1}
}

// Merge merges a record received from source at now and reports whether it was new or
// replaced the known one.
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
		r.structureRevision++
	}
	r.sums[bucketOf(member.ID)] += recordHash(member)
	known.member = member
	known.changedAt = now
	known.source = source
	r.logChange(known)
	return true
}

func (r *Roster) insert(id protocol.NodeID, added *entry) {
	r.entries[id] = added
	at, _ := slices.BinarySearchFunc(r.sorted, id, compareEntry)
	r.sorted = slices.Insert(r.sorted, at, added)
}

func compareEntry(known *entry, id protocol.NodeID) int { return cmp.Compare(known.member.ID, id) }

// structureDiffers reports whether two records of a member differ in a field on
// which the set of live members (see Live) or the distribution tree depends.
func structureDiffers(a, b protocol.Member) bool {
	return a.Incarnation != b.Incarnation || Live(a) != Live(b) || MayBeParent(a) != MayBeParent(b) || a.Reader != b.Reader || a.Root != b.Root ||
		a.Zone != b.Zone || a.Region != b.Region || a.ControlAddress != b.ControlAddress
}

// recordHash identifies a record: two records of a daemon with the same incarnation,
// sequence and state are equal.
func recordHash(member protocol.Member) uint64 {
	text := []byte(member.ID)
	text = binary.BigEndian.AppendUint64(text, uint64(member.Incarnation))
	text = binary.BigEndian.AppendUint64(text, member.Sequence)
	text = append(text, byte(member.State))
	return xxhash.Sum64(text)
}

func bucketOf(id protocol.NodeID) int { return int(xxhash.Sum64String(string(id)) % BucketCount) }

// StructureRevision returns a counter that grows when a member is added, and when a
// member's Incarnation, Region, Zone, ControlAddress, Reader, Root, liveness or
// eligibility as a parent changes (see structureDiffers).
func (r *Roster) StructureRevision() uint64 { return r.structureRevision }

// BucketSums returns the sum of the record hashes for each bucket.
func (r *Roster) BucketSums() BucketSums { return r.sums }

// InDifferingBuckets returns the records in the buckets whose sums differ from the given
// ones.
func (r *Roster) InDifferingBuckets(sums BucketSums) []protocol.Member {
	var members []protocol.Member
	for _, known := range r.sorted {
		bucket := bucketOf(known.member.ID)
		if sums[bucket] != r.sums[bucket] {
			members = append(members, known.member)
		}
	}
	return members
}

// MergeKeepingChangedAt is Merge for a state that another daemon has assigned to the
// member, such as suspect. Such a change does not show that the member is live, so
// ChangedAt stays unchanged.
func (r *Roster) MergeKeepingChangedAt(now time.Duration, member protocol.Member, source Source) bool {
	changedAt := r.ChangedAt(member.ID)
	if !r.Merge(now, member, source) {
		return false
	}
	r.entries[member.ID].changedAt = changedAt
	return true
}

// MarkUnreported adds a record to the change log again and sets its source to
// SourceSubtree, so that SubtreeSince returns it for a new parent although it has not
// changed.
func (r *Roster) MarkUnreported(id protocol.NodeID) {
	known, found := r.entries[id]
	if !found {
		return
	}
	known.source = SourceSubtree
	r.logChange(known)
}

func (r *Roster) logChange(known *entry) {
	known.cursor = r.nextCursor
	r.log = append(r.log, change{cursor: r.nextCursor, id: known.member.ID})
	r.nextCursor++
	r.compact()
}

// compact drops stale log items, so that the length of the log stays proportional to
// the number of members.
func (r *Roster) compact() {
	const slack = 64
	if len(r.log) < 2*len(r.entries)+slack {
		return
	}
	r.log = lo.Filter(r.log, func(item change, _ int) bool { return r.isCurrent(item) })
}

func (r *Roster) isCurrent(item change) bool {
	known, found := r.entries[item.id]
	return found && known.cursor == item.cursor
}

// Get returns the record of a member.
func (r *Roster) Get(id protocol.NodeID) (protocol.Member, bool) {
	known, found := r.entries[id]
	if !found {
		return protocol.Member{}, false
	}
	return known.member, true
}

// ChangedAt returns when Merge last added or replaced the member's record. Changes by
// MergeKeepingChangedAt do not count.
func (r *Roster) ChangedAt(id protocol.NodeID) time.Duration {
	if known, found := r.entries[id]; found {
		return known.changedAt
	}
	return 0
}

// All returns a copy of every record in ascending order of id.
func (r *Roster) All() []protocol.Member {
	members := make([]protocol.Member, len(r.sorted))
	for i, known := range r.sorted {
		members[i] = known.member
	}
	return members
}

// Each calls visit with every record in ascending order of id. The callback may merge
// records.
func (r *Roster) Each(visit func(protocol.Member)) {
	for _, known := range slices.Clone(r.sorted) {
		visit(known.member)
	}
}

// Where returns the records for which matches returns true, in ascending order of id.
func (r *Roster) Where(matches func(protocol.Member) bool) []protocol.Member {
	var members []protocol.Member
	for _, known := range r.sorted {
		if matches(known.member) {
			members = append(members, known.member)
		}
	}
	return members
}

// Cursor returns the position of the newest change.
func (r *Roster) Cursor() Cursor { return r.nextCursor - 1 }

// Since returns the records that changed after the cursor, each once and in the order
// of their changes. For a cursor beyond the newest change, which this roster never
// issued, it returns all records.
func (r *Roster) Since(cursor Cursor) []protocol.Member {
	return r.since(cursor, func(*entry) bool { return true })
}

// SubtreeSince is Since restricted to records from SourceSubtree.
func (r *Roster) SubtreeSince(cursor Cursor) []protocol.Member {
	return r.since(cursor, func(known *entry) bool { return known.source == SourceSubtree })
}

func (r *Roster) since(cursor Cursor, matches func(*entry) bool) []protocol.Member {
	if cursor >= r.nextCursor {
		cursor = 0
	}
	from, _ := slices.BinarySearchFunc(r.log, cursor+1, func(item change, target Cursor) int {
		return cmp.Compare(item.cursor, target)
	})
	var members []protocol.Member
	for _, item := range r.log[from:] {
		if r.isCurrent(item) && matches(r.entries[item.id]) {
			members = append(members, r.entries[item.id].member)
		}
	}
	return members
}

// RemoveExpired removes the records of members that have been dead or left for longer
// than TombstoneRetention.
func (r *Roster) RemoveExpired(now time.Duration) {
	r.sorted = slices.DeleteFunc(r.sorted, func(known *entry) bool {
		expired := !Live(known.member) && now-known.changedAt > TombstoneRetention
		if expired {
			delete(r.entries, known.member.ID)
			r.sums[bucketOf(known.member.ID)] -= recordHash(known.member)
		}
		return expired
	})
}
