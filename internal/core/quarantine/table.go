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
	// witnessed holds the requests in flight at the ends that this daemon has observed itself.
	witnessed witnessed
}

// NewTable returns an empty table.
func NewTable(rules Rules) *Table {
	return &Table{rules: rules, entries: map[Signature]*entry{}, witnessed: witnessed{requests: map[string][]Companion{}}}
}

// Ended records that an instance ended while it ran a request, in a new trial. familiar is true if
// the back end had answered the request successfully before. It reports whether the record has
// changed. All requests in flight at an end must be recorded before any of these records is sent to
// peers.
func (t *Table) RecordEnd(now time.Duration, signature Signature, instance string, familiar bool) bool {
	return t.RecordEndInTrial(now, signature, instance, familiar, t.lastTrial(now, signature)+1)
}

// lastTrial returns the number of the latest trial of a request that met an end; 0 if the request
// is unknown or cleared.
func (t *Table) lastTrial(now time.Duration, signature Signature) uint32 {
	known := t.live(now, signature)
	if known == nil || known.record.Cleared {
		return 0
	}
	return known.record.lastTrial()
}

// EndedInTrial is like Ended, for an attempt of the given trial: one more than View.LastTrial when
// the attempt began.
func (t *Table) RecordEndInTrial(now time.Duration, signature Signature, instance string, familiar bool, trial uint32) bool {
	known := t.live(now, signature)
	switch {
	case known == nil:
		known = &entry{rules: t.rules, record: Record{Signature: signature, Familiar: familiar}}
		t.put(now, known)
	case slices.Contains(known.record.Ends, instance):
		return false
	case known.record.Cleared:
		known = &entry{rules: t.rules, record: Record{Signature: signature, Round: known.record.Round + 1, Proven: known.record.Proven, Familiar: true}}
		t.put(now, known)
	}
	known.record.Familiar = known.record.Familiar || familiar
	known.endedAt = now
	news := known.addEnds([]string{instance}, []EndDetail{{Instance: instance, Trial: trial}})
	t.noteCompany(known, instance)
	return news
}

// EndedUnknown records that unidentified requests were in flight as an instance ended. It must be
// called before Ended for that instance.
func (t *Table) RecordUnidentified(instance string) { t.witnessed.add(instance, Companion{}) }

// noteCompany records the requests that were in flight at an end as companions of each other.
func (t *Table) noteCompany(with *entry, instance string) {
	own := Companion{Key: with.record.Signature.Key(), Round: with.record.Round}
	for _, other := range t.entries {
		if other != with && slices.Contains(other.record.Ends, instance) {
			other.addEnds(nil, []EndDetail{{Instance: instance, Beside: []Companion{own}}})
		}
	}
	others := slices.DeleteFunc(slices.Clone(t.witnessed.requests[instance]), func(one Companion) bool { return one.Key == own.Key })
	if len(others) > 0 {
		with.addEnds(nil, []EndDetail{{Instance: instance, Beside: others}})
	}
	t.witnessed.add(instance, own)
}

// Cleared records that a back end has answered a request successfully or that an operator has
// released it. It reports whether the record has changed. If the request was found harmful before,
// its earlier ends remain attributed to it and do not count against the requests that ran
// concurrently.
func (t *Table) Clear(now time.Duration, signature Signature) bool {
	known := t.live(now, signature)
	if known == nil || known.record.Cleared {
		return false
	}
	if t.judge(now)[signature].heldUntil > 0 {
		known.record.Proven = known.record.Round + 1
	}
	known.record.Cleared = true
	return true
}

// Familiar records that a request was answered successfully before its first end. It reports
// whether the record has changed.
func (t *Table) MarkFamiliar(now time.Duration, signature Signature) bool {
	known := t.live(now, signature)
	if known == nil || known.record.Familiar {
		return false
	}
	known.record.Familiar = true
	return true
}

// Merge merges a record received from a peer. It reports whether the table has changed and whether
// the record is valid.
func (t *Table) Merge(now time.Duration, record Record) (news, valid bool) {
	if !record.valid() {
		return false, false
	}
	record.Ends = slices.Compact(slices.Sorted(slices.Values(record.Ends)))
	record.Details = uniteDetails(nil, record.Details)
	given := &entry{rules: t.rules, record: record, endedAt: now - record.Age}
	if given.expired(now) {
		return false, true
	}
	known := t.live(now, record.Signature)
	if known == nil {
		t.put(now, given)
		return true, true
	}
	proven := max(known.record.Proven, record.Proven)
	news = proven != known.record.Proven
	known.record.Proven, given.record.Proven = proven, proven
	switch {
	case known.record.Round < record.Round:
		t.put(now, given)
		return true, true
	case known.record.Round > record.Round:
		return news, true
	}
	return known.merge(given) || news, true
}

// merge merges another entry of the same round and reports whether this entry has changed.
func (e *entry) merge(given *entry) bool {
	known := len(e.record.Ends)
	more := e.addEnds(given.record.Ends, given.record.Details)
	if len(e.record.Ends) > known {
		e.endedAt = max(e.endedAt, given.endedAt)
	}
	familiar := given.record.Familiar && !e.record.Familiar
	cleared := given.record.Cleared && !e.record.Cleared
	e.record.Familiar = e.record.Familiar || familiar
	e.record.Cleared = e.record.Cleared || cleared
	return more || familiar || cleared
}

// live returns the entry of a request; nil if there is none or it has expired.
func (t *Table) live(now time.Duration, signature Signature) *entry {
	known := t.entries[signature]
	if known == nil || known.expired(now) {
		return nil
	}
	return known
}

// put adds or replaces an entry, and evicts the least important one if the table is full.
func (t *Table) put(now time.Duration, given *entry) {
	if t.entries[given.record.Signature] == nil && len(t.entries) >= tableLimit {
		t.Expire(now)
		t.makeRoom(now)
	}
	t.entries[given.record.Signature] = given
}

func (t *Table) makeRoom(now time.Duration) {
	if len(t.entries) < tableLimit {
		return
	}
	judged := t.judge(now)
	worth := func(one *entry) State { return judged[one.record.Signature].belief(now) }
	var least *entry
	for _, one := range t.entries {
		if least == nil || cmp.Or(cmp.Compare(worth(one), worth(least)), cmp.Compare(one.endedAt, least.endedAt),
			compareSignatures(one.record.Signature, least.record.Signature)) < 0 {
			least = one
		}
	}
	delete(t.entries, least.record.Signature)
}

func compareSignatures(a, b Signature) int {
	return cmp.Or(bytes.Compare(a.Head[:], b.Head[:]), bytes.Compare(a.Body[:], b.Body[:]))
}

// Expire removes expired records and reports whether there were any.
func (t *Table) Expire(now time.Duration) bool {
	before := len(t.entries)
	for signature, one := range t.entries {
		if one.expired(now) {
			delete(t.entries, signature)
		}
	}
	return len(t.entries) < before
}

// Records returns all valid records with their present ages, in order of their signatures.
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

// Of returns the record of a request with its present age.
func (t *Table) Lookup(now time.Duration, signature Signature) (Record, bool) {
	known := t.live(now, signature)
	if known == nil {
		return Record{}, false
	}
	sent := known.record
	sent.Ends = slices.Clone(sent.Ends)
	sent.Details = slices.Clone(sent.Details)
	sent.Age = now - known.endedAt
	return sent, true
}

// Sum returns a hash of all valid records except for their ages, for the comparison of two daemons;
// 0 without records.
func (t *Table) Sum(now time.Duration) uint64 {
	sum := uint64(0)
	for _, one := range t.entries {
		if !one.expired(now) {
			sum ^= one.record.sum()
		}
	}
	return sum
}

func (r Record) sum() uint64 {
	text := append(slices.Clone(r.Signature.Head[:]), r.Signature.Body[:]...)
	text = binary.BigEndian.AppendUint32(text, r.Round)
	text = binary.BigEndian.AppendUint32(text, r.Proven)
	text = append(text, flag(r.Familiar), flag(r.Cleared))
	for _, name := range r.Ends {
		text = append(append(text, name...), 0)
		detail := r.detail(name)
		text = binary.BigEndian.AppendUint32(text, detail.Trial)
		for _, one := range detail.Beside {
			text = binary.BigEndian.AppendUint64(text, one.Key)
			text = binary.BigEndian.AppendUint32(text, one.Round)
		}
	}
	return xxhash.Sum64(text)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// View returns a snapshot of the table for the request path.
func (t *Table) View(now time.Duration) *View {
	made := &View{heads: map[Hash]bool{}, known: map[Signature]judgement{}}
	judged := t.judge(now)
	for signature, one := range t.entries {
		if one.expired(now) {
			continue
		}
		made.heads[signature.Head] = true
		judgement := judged[signature]
		judgement.lastTrial = t.lastTrial(now, signature)
		made.known[signature] = judgement
	}
	return made
}

// View is an immutable snapshot of a table.
type View struct {
	heads map[Hash]bool
	known map[Signature]judgement
}

// Empty reports whether the snapshot has no records, as is usual.
func (v *View) Empty() bool { return v == nil || len(v.known) == 0 }

// HasHead reports whether there is a record of a request with this head. If there is none, the body
// need not be hashed.
func (v *View) HasHead(head Hash) bool { return !v.Empty() && v.heads[head] }

// Has reports whether there is a record of the request.
func (v *View) Has(signature Signature) bool {
	if v.Empty() {
		return false
	}
	_, found := v.known[signature]
	return found
}

// Count returns the number of requests that are suspected and held at the given time.
func (v *View) Count(now time.Duration) map[State]int {
	counts := map[State]int{Suspected: 0, Held: 0}
	if v.Empty() {
		return counts
	}
	for _, one := range v.known {
		if belief := one.belief(now); belief != Trusted {
			counts[belief]++
		}
	}
	return counts
}

// Belief returns the classification of a request, and how long the request is still held.
func (v *View) State(now time.Duration, signature Signature) (State, time.Duration) {
	if v.Empty() {
		return Trusted, 0
	}
	found := v.known[signature]
	return found.belief(now), max(found.heldUntil-now, 0)
}

// LastTrial returns the number of the latest trial of a request that is known to have met an end; 0
// if there is none.
func (v *View) LastTrial(signature Signature) uint32 {
	if v.Empty() {
		return 0
	}
	return v.known[signature].lastTrial
}

// Isolation returns how a request must be isolated if it may run.
func (v *View) Isolation(now time.Duration, signature Signature) Isolation {
	if v.Empty() {
		return AlongsideTrusted
	}
	found := v.known[signature]
	if found.belief(now) == Trusted {
		return AlongsideTrusted
	}
	return found.isolation()
}
