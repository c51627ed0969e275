package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tableLimit bounds the number of records, of about 300 bytes each, so that all of them fit into
// one message between daemons and are classified within a millisecond (BenchmarkView). When the
// table is full, trusted requests are evicted first, then suspected and then held ones, the oldest
// first within each group.
const tableLimit = 256

// Table holds one daemon's records of requests that may be harmful. It is not safe for concurrent
// use.
type Table struct {
	rules   Rules
	entries map[Signature]*entry
	// observed holds the requests in flight at the ends that this daemon has observed itself.
	observed observedEnds
}

// NewTable returns an empty table.
func NewTable(rules Rules) *Table {
	return &Table{rules: rules, entries: map[Signature]*entry{}, observed: observedEnds{requests: map[string][]Companion{}}}
}

// RecordEnd records that an instance ended while it ran a request, in a new trial. familiar is true
// if the back end had answered the request successfully before. It reports whether the record has
// changed. All requests in flight at an end must be recorded before any of these records is sent to
// peers.
func (t *Table) RecordEnd(now time.Duration, signature Signature, instance string, familiar bool) bool {
	return t.RecordEndInTrial(now, signature, instance, familiar, t.lastTrial(now, signature)+1)
}

// lastTrial returns the number of the latest trial of a request in which an end occurred; 0 if
// the request is unknown or cleared.
func (t *Table) lastTrial(now time.Duration, signature Signature) uint32 {
	entry := t.liveEntry(now, signature)
	if entry == nil || entry.record.Cleared {
		return 0
	}
	return entry.record.lastTrial()
}

// RecordEndInTrial is like RecordEnd, for an attempt of the given trial: one more than
// View.LastTrial when the attempt began.
func (t *Table) RecordEndInTrial(now time.Duration, signature Signature, instance string, familiar bool, trial uint32) bool {
	current := t.liveEntry(now, signature)
	switch {
	case current == nil:
		current = &entry{rules: t.rules, record: Record{Signature: signature, Familiar: familiar}}
		t.insert(now, current)
	case slices.Contains(current.record.Ends, instance):
		return false
	case current.record.Cleared:
		current = &entry{rules: t.rules, record: Record{Signature: signature, Round: current.record.Round + 1, Proven: current.record.Proven, Familiar: true}}
		t.insert(now, current)
	}
	current.record.Familiar = current.record.Familiar || familiar
	current.latestEndAt = now
	changed := current.addEnds([]string{instance}, []EndDetail{{Instance: instance, Trial: trial}})
	t.linkCompanions(current, instance)
	return changed
}

// RecordUnidentifiedCompanions records that unidentified requests were in flight as an instance
// ended. It must be called before RecordEnd for that instance.
func (t *Table) RecordUnidentifiedCompanions(instance string) { t.observed.add(instance, Companion{}) }

// linkCompanions records the requests that were in flight at an end as companions of each other.
func (t *Table) linkCompanions(added *entry, instance string) {
	self := Companion{Key: added.record.Signature.Key(), Round: added.record.Round}
	for _, other := range t.entries {
		if other != added && slices.Contains(other.record.Ends, instance) {
			other.addEnds(nil, []EndDetail{{Instance: instance, Beside: []Companion{self}}})
		}
	}
	others := slices.DeleteFunc(slices.Clone(t.observed.requests[instance]), func(companion Companion) bool { return companion.Key == self.Key })
	if len(others) > 0 {
		added.addEnds(nil, []EndDetail{{Instance: instance, Beside: others}})
	}
	t.observed.add(instance, self)
}

// Clear records that a back end has answered a request successfully or that an operator has
// released it. It reports whether the record has changed. If the request was found harmful before,
// its earlier ends remain attributed to it and do not count against the requests that ran
// concurrently.
func (t *Table) Clear(now time.Duration, signature Signature) bool {
	entry := t.liveEntry(now, signature)
	if entry == nil || entry.record.Cleared {
		return false
	}
	if t.classify(now)[signature].heldUntil > 0 {
		entry.record.Proven = entry.record.Round + 1
	}
	entry.record.Cleared = true
	return true
}

// MarkFamiliar records that a request was answered successfully before its first end. It reports
// whether the record has changed.
func (t *Table) MarkFamiliar(now time.Duration, signature Signature) bool {
	entry := t.liveEntry(now, signature)
	if entry == nil || entry.record.Familiar {
		return false
	}
	entry.record.Familiar = true
	return true
}

// Merge merges a record received from a peer. It reports whether the table has changed and whether
// the record is valid.
func (t *Table) Merge(now time.Duration, record Record) (changed, valid bool) {
	if !record.valid() {
		return false, false
	}
	record.Ends = slices.Compact(slices.Sorted(slices.Values(record.Ends)))
	record.Details = mergeDetails(nil, record.Details)
	received := &entry{rules: t.rules, record: record, latestEndAt: now - record.Age}
	if received.isExpired(now) {
		return false, true
	}
	current := t.liveEntry(now, record.Signature)
	if current == nil {
		t.insert(now, received)
		return true, true
	}
	proven := max(current.record.Proven, record.Proven)
	changed = proven != current.record.Proven
	current.record.Proven, received.record.Proven = proven, proven
	switch {
	case current.record.Round < record.Round:
		t.insert(now, received)
		return true, true
	case current.record.Round > record.Round:
		return changed, true
	}
	return current.merge(received) || changed, true
}

// merge merges another entry of the same round and reports whether this entry has changed.
func (e *entry) merge(received *entry) bool {
	previousCount := len(e.record.Ends)
	endsChanged := e.addEnds(received.record.Ends, received.record.Details)
	if len(e.record.Ends) > previousCount {
		e.latestEndAt = max(e.latestEndAt, received.latestEndAt)
	}
	becameFamiliar := received.record.Familiar && !e.record.Familiar
	becameCleared := received.record.Cleared && !e.record.Cleared
	e.record.Familiar = e.record.Familiar || becameFamiliar
	e.record.Cleared = e.record.Cleared || becameCleared
	return endsChanged || becameFamiliar || becameCleared
}

// liveEntry returns the entry of a request; nil if there is none or it has expired.
func (t *Table) liveEntry(now time.Duration, signature Signature) *entry {
	entry := t.entries[signature]
	if entry == nil || entry.isExpired(now) {
		return nil
	}
	return entry
}

// insert adds or replaces an entry, and evicts the least important one if the table is full.
func (t *Table) insert(now time.Duration, added *entry) {
	if t.entries[added.record.Signature] == nil && len(t.entries) >= tableLimit {
		t.Expire(now)
		t.evictIfFull(now)
	}
	t.entries[added.record.Signature] = added
}

func (t *Table) evictIfFull(now time.Duration) {
	if len(t.entries) < tableLimit {
		return
	}
	classifications := t.classify(now)
	stateOf := func(e *entry) State { return classifications[e.record.Signature].state(now) }
	var leastImportant *entry
	for _, e := range t.entries {
		if leastImportant == nil || cmp.Or(cmp.Compare(stateOf(e), stateOf(leastImportant)), cmp.Compare(e.latestEndAt, leastImportant.latestEndAt),
			compareSignatures(e.record.Signature, leastImportant.record.Signature)) < 0 {
			leastImportant = e
		}
	}
	delete(t.entries, leastImportant.record.Signature)
}

func compareSignatures(a, b Signature) int {
	return cmp.Or(bytes.Compare(a.Head[:], b.Head[:]), bytes.Compare(a.Body[:], b.Body[:]))
}

// Expire removes expired records and reports whether there were any.
func (t *Table) Expire(now time.Duration) bool {
	before := len(t.entries)
	for signature, entry := range t.entries {
		if entry.isExpired(now) {
			delete(t.entries, signature)
		}
	}
	return len(t.entries) < before
}

// Records returns all unexpired records with their present ages, in order of their signatures.
func (t *Table) Records(now time.Duration) []Record {
	var records []Record
	for signature := range t.entries {
		if record, found := t.Lookup(now, signature); found {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return compareSignatures(a.Signature, b.Signature) })
	return records
}

// Lookup returns the record of a request with its present age.
func (t *Table) Lookup(now time.Duration, signature Signature) (Record, bool) {
	entry := t.liveEntry(now, signature)
	if entry == nil {
		return Record{}, false
	}
	record := entry.record
	record.Ends = slices.Clone(record.Ends)
	record.Details = slices.Clone(record.Details)
	record.Age = now - entry.latestEndAt
	return record, true
}

// Sum returns a hash of all unexpired records except for their ages, for the comparison of two
// daemons; 0 without records.
func (t *Table) Sum(now time.Duration) uint64 {
	sum := uint64(0)
	for _, entry := range t.entries {
		if !entry.isExpired(now) {
			sum ^= entry.record.hash()
		}
	}
	return sum
}

func (r Record) hash() uint64 {
	encoded := append(slices.Clone(r.Signature.Head[:]), r.Signature.Body[:]...)
	encoded = binary.BigEndian.AppendUint32(encoded, r.Round)
	encoded = binary.BigEndian.AppendUint32(encoded, r.Proven)
	encoded = append(encoded, boolByte(r.Familiar), boolByte(r.Cleared))
	for _, name := range r.Ends {
		encoded = append(append(encoded, name...), 0)
		detail := r.detail(name)
		encoded = binary.BigEndian.AppendUint32(encoded, detail.Trial)
		for _, companion := range detail.Beside {
			encoded = binary.BigEndian.AppendUint64(encoded, companion.Key)
			encoded = binary.BigEndian.AppendUint32(encoded, companion.Round)
		}
	}
	return xxhash.Sum64(encoded)
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// View returns a snapshot of the table for the request path.
func (t *Table) View(now time.Duration) *View {
	view := &View{heads: map[Hash]bool{}, classifications: map[Signature]classification{}}
	classifications := t.classify(now)
	for signature, entry := range t.entries {
		if entry.isExpired(now) {
			continue
		}
		view.heads[signature.Head] = true
		classified := classifications[signature]
		classified.lastTrial = t.lastTrial(now, signature)
		view.classifications[signature] = classified
	}
	return view
}

// View is an immutable snapshot of a table.
type View struct {
	heads           map[Hash]bool
	classifications map[Signature]classification
}

// Empty reports whether the snapshot has no records, as is usual.
func (v *View) Empty() bool { return v == nil || len(v.classifications) == 0 }

// HasHead reports whether there is a record of a request with this head. If there is none, the body
// need not be hashed.
func (v *View) HasHead(head Hash) bool { return !v.Empty() && v.heads[head] }

// Has reports whether there is a record of the request.
func (v *View) Has(signature Signature) bool {
	if v.Empty() {
		return false
	}
	_, found := v.classifications[signature]
	return found
}

// Count returns the numbers of suspected and of held requests at the given time.
func (v *View) Count(now time.Duration) map[State]int {
	counts := map[State]int{Suspected: 0, Held: 0}
	if v.Empty() {
		return counts
	}
	for _, classified := range v.classifications {
		if state := classified.state(now); state != Trusted {
			counts[state]++
		}
	}
	return counts
}

// State returns the state of a request, and how long the request is still held.
func (v *View) State(now time.Duration, signature Signature) (State, time.Duration) {
	if v.Empty() {
		return Trusted, 0
	}
	found := v.classifications[signature]
	return found.state(now), max(found.heldUntil-now, 0)
}

// LastTrial returns the number of the latest known trial of a request in which an end occurred; 0 if
// there is none.
func (v *View) LastTrial(signature Signature) uint32 {
	if v.Empty() {
		return 0
	}
	return v.classifications[signature].lastTrial
}

// Isolation returns how a request must be isolated if it may run.
func (v *View) Isolation(now time.Duration, signature Signature) Isolation {
	if v.Empty() {
		return AlongsideTrusted
	}
	found := v.classifications[signature]
	if found.state(now) == Trusted {
		return AlongsideTrusted
	}
	return found.isolation()
}
