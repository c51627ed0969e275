package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ForgetAfter is how long the record of a dead or left member is kept, so that
// a late record of it is not taken for a new member.
const ForgetAfter = time.Hour

// Source says from where a record was heard.
type Source int

// The sources of a record.
const (
	// Below is this daemon itself or a child, so that the parent may not know
	// the record yet.
	Below Source = iota + 1
	// Above is the parent, or another region.
	Above
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
	// sorted caches All until the next change.
	sorted []protocol.Member
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
		r.entries[member.ID] = known
	}
	known.member = member
	known.at = now
	known.source = source
	r.sorted = nil
	r.logChange(known)
	return true
}

// MergeQuietly is Merge for a judgement that is not news from the member, such
// as suspicion: ChangedAt stays what it was.
func (r *Roster) MergeQuietly(now time.Duration, member protocol.Member, source Source) bool {
	heard := r.ChangedAt(member.ID)
	if !r.Merge(now, member, source) {
		return false
	}
	r.entries[member.ID].at = heard
	return true
}

// ReportAgain makes a record count as changed below, so that a new parent
// hears it.
func (r *Roster) ReportAgain(id protocol.NodeID) {
	known, found := r.entries[id]
	if !found {
		return
	}
	known.source = Below
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

// All returns every record in ascending order of id. The list is shared and
// must not be changed.
func (r *Roster) All() []protocol.Member {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted = make([]protocol.Member, 0, len(r.entries))
	for _, known := range r.entries {
		r.sorted = append(r.sorted, known.member)
	}
	slices.SortFunc(r.sorted, func(a, b protocol.Member) int { return cmp.Compare(a.ID, b.ID) })
	return r.sorted
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
func (r *Roster) SinceBelow(cursor Cursor) []protocol.Member {
	return r.since(cursor, func(known *entry) bool { return known.source == Below })
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
func (r *Roster) Forget(now time.Duration) {
	for id, known := range r.entries {
		if !Live(known.member) && now-known.at > ForgetAfter {
			delete(r.entries, id)
			r.sorted = nil
		}
	}
}
