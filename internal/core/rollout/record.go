package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/resource"
)

// Stage is the progress of a roll-out. A later stage of an order replaces an earlier one, so that
// traffic never returns to a version that was halted.
type Stage int

// The stages of an order, in ascending order. StageHeld is not a stage of an order: it applies to a
// version that has just appeared for the first time. The version receives no traffic yet, since an
// order for it may still be on its way to this daemon.
const (
	StageHeld Stage = iota
	// StageCanary sends a small share of the calls to the target version.
	StageCanary
	// StageShift sends all new calls to the target version, while calls at other versions finish.
	StageShift
	// StageHalted sends no calls to the target version. The outcome has not been written yet.
	StageHalted
	// StageRolledBack and StageCompleted are the outcomes that can be written.
	StageRolledBack
	StageCompleted
)

// stageNames holds the names of the stages in logs and metrics.
var stageNames = map[Stage]string{
	StageHeld:       "held",
	StageCanary:     "canary",
	StageShift:      "shift",
	StageHalted:     "halted",
	StageRolledBack: "rolled_back",
	StageCompleted:  "completed",
}

// String returns the name of the stage.
func (s Stage) String() string { return stageNames[s] }

// Valid reports whether a stage received from a peer is a stage of an order.
func (s Stage) Valid() bool { return s >= StageCanary && s <= StageCompleted }

// IsUrgent reports whether the stage must reach every daemon quickly, because daemons that have not
// received it keep sending calls to the wrong version. Deciders then broadcast it repeatedly, since
// a daemon may be temporarily unreachable.
func (s Stage) IsUrgent() bool { return s == StageShift || s == StageHalted }

// Final reports whether the stage is the last one of an order.
func (s Stage) Final() bool { return s == StageRolledBack || s == StageCompleted }

// Record is the state of a service's latest order as daemons exchange it.
type Record struct {
	Service resource.ServiceRef
	// Target is the software version to roll out.
	Target string
	// Generation is the position in the store's history at which the order was written. Of two
	// orders of a service, the one with the later generation applies.
	Generation position.Position
	// Duration is the time after the order by which its outcome is due.
	Duration time.Duration
	Stage    Stage
	// Elapsed is the time since the order was first received by any daemon, measured when the
	// record was sent.
	Elapsed time.Duration
}

// isNewerThan reports whether a record replaces another one of the same service.
func (r Record) isNewerThan(other Record) bool {
	if r.Generation != other.Generation {
		return other.Generation.Before(r.Generation)
	}
	return r.Stage > other.Stage
}

// Table holds the latest record of each service. It is not safe for concurrent use.
type Table struct {
	entries map[resource.ServiceRef]entry
}

// entry is a record, with the time at which its order was first received by any daemon.
type entry struct {
	record          Record
	orderReceivedAt time.Duration
	// changedAt is the time at which this daemon stored the record in its present stage.
	changedAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[resource.ServiceRef]entry{}} }

// Merge merges a record and reports whether it replaces the known one. An invalid record is
// ignored.
func (t *Table) Merge(now time.Duration, record Record) bool {
	if !record.Stage.Valid() || record.Target == "" || record.Elapsed < 0 {
		return false
	}
	receivedAt := now - record.Elapsed
	known, found := t.entries[record.Service]
	if found && known.record.Generation == record.Generation {
		receivedAt = min(receivedAt, known.orderReceivedAt)
		known.orderReceivedAt = receivedAt
		t.entries[record.Service] = known
	}
	if found && !record.isNewerThan(known.record) {
		return false
	}
	t.entries[record.Service] = entry{record: record, orderReceivedAt: receivedAt, changedAt: now}
	return true
}

// Records returns all records in order of their services, with their present elapsed times.
func (t *Table) Records(now time.Duration) []Record {
	if len(t.entries) == 0 {
		return nil
	}
	records := make([]Record, 0, len(t.entries))
	for _, entry := range t.entries {
		record := entry.record
		record.Elapsed = now - entry.orderReceivedAt
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return strings.Compare(a.Service.String(), b.Service.String())
	})
	return records
}

// Lookup returns the record of a service.
func (t *Table) Lookup(service resource.ServiceRef) (Record, bool) {
	entry, found := t.entries[service]
	return entry.record, found
}

// TimeInStage returns the time since this daemon stored the record of a service in its present
// stage.
func (t *Table) TimeInStage(now time.Duration, service resource.ServiceRef) time.Duration {
	return now - t.entries[service].changedAt
}

// Elapsed returns the time since the order of a service was first received by any daemon.
func (t *Table) Elapsed(now time.Duration, service resource.ServiceRef) time.Duration {
	return now - t.entries[service].orderReceivedAt
}
