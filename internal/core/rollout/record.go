package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/resource"
)

// Stage is how far a roll-out has come. A later stage of one order wins over an
// earlier one, so that traffic never returns to a version that was given up.
type Stage int

// The stages. StageHeld is of no order: a version that has just been seen gets nothing
// for a moment, since its order may not have been heard of yet.
const (
	StageHeld Stage = iota
	// StageCanary sends a small share of the calls to the target version.
	StageCanary
	// StageShift sends every new call to the target version, while calls at the others
	// end.
	StageShift
	// StageHalted sends nothing to the target version; the outcome is not written yet.
	StageHalted
	// StageRolledBack and StageCompleted are outcomes that were written.
	StageRolledBack
	StageCompleted
)

// stageNames are the names of the stages in logs and metrics.
var stageNames = map[Stage]string{
	StageHeld:       "held",
	StageCanary:     "canary",
	StageShift:      "shift",
	StageHalted:     "halted",
	StageRolledBack: "rolled_back",
	StageCompleted:  "completed",
}

// String names the stage.
func (s Stage) String() string { return stageNames[s] }

// Valid tells whether a stage that came from a peer is one of an order.
func (s Stage) Valid() bool { return s >= StageCanary && s <= StageCompleted }

// Spreading tells whether every daemon should hear of the stage within moments: calls go
// where they must not go any more until it has. Deciders tell all daemons again and again
// meanwhile, since one that was cut off for a moment told nobody.
func (s Stage) IsUrgent() bool { return s == StageShift || s == StageHalted }

// Final tells whether the outcome was written.
func (s Stage) Final() bool { return s == StageRolledBack || s == StageCompleted }

// Record is what daemons tell each other of the newest order of a service.
type Record struct {
	Service resource.ServiceRef
	// Target is the software version that the order asks for.
	Target string
	// Generation orders the orders of a service: the store's position at which this one
	// was written.
	Generation position.Position
	// Duration is within what time of the order its outcome is due.
	Duration time.Duration
	Stage    Stage
	// Elapsed is how long ago the order was first heard of, when the record was sent.
	Elapsed time.Duration
}

// newerThan tells whether a record replaces another one of its service.
func (r Record) newerThan(known Record) bool {
	if r.Generation != known.Generation {
		return known.Generation.Before(r.Generation)
	}
	return r.Stage > known.Stage
}

// Table holds the newest record of each service. It is not safe for concurrent use.
type Table struct {
	entries map[resource.ServiceRef]entry
}

// entry is a record and when its order was first heard of by anybody.
type entry struct {
	record Record
	since  time.Duration
	// changedAt is when the record came here as it is.
	changedAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[resource.ServiceRef]entry{}} }

// Merge takes a record, and tells whether it is news. One that can't be is left out.
func (t *Table) Merge(now time.Duration, record Record) bool {
	if !record.Stage.Valid() || record.Target == "" || record.Elapsed < 0 {
		return false
	}
	since := now - record.Elapsed
	known, found := t.entries[record.Service]
	if found && known.record.Generation == record.Generation {
		since = min(since, known.since)
		known.since = since
		t.entries[record.Service] = known
	}
	if found && !record.newerThan(known.record) {
		return false
	}
	t.entries[record.Service] = entry{record: record, since: since, changedAt: now}
	return true
}

// Records returns all records in order of their services, as they are sent now.
func (t *Table) Records(now time.Duration) []Record {
	if len(t.entries) == 0 {
		return nil
	}
	records := make([]Record, 0, len(t.entries))
	for _, one := range t.entries {
		sent := one.record
		sent.Elapsed = now - one.since
		records = append(records, sent)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return strings.Compare(a.Service.String(), b.Service.String())
	})
	return records
}

// Of returns the record of a service.
func (t *Table) Lookup(service resource.ServiceRef) (Record, bool) {
	held, found := t.entries[service]
	return held.record, found
}

// InStage is how long ago the record of a service came as it is.
func (t *Table) TimeInStage(now time.Duration, service resource.ServiceRef) time.Duration {
	return now - t.entries[service].changedAt
}

// Elapsed is how long ago the order of a service was first heard of.
func (t *Table) Elapsed(now time.Duration, service resource.ServiceRef) time.Duration {
	return now - t.entries[service].since
}
