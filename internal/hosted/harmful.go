package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Many daemons may have something to add to the same record. Each broadcasts its addition after a
// random delay of up to harmfulDelayPerDaemon for each daemon of the mesh, at most maxHarmfulDelay.
// In a small mesh all additions arrive within milliseconds, before a decision would be based on
// only some of them. In a large mesh the delay is meant to let most daemons receive the same
// addition from another daemon first, for a few hundred messages instead of the square of the
// number of daemons.
const (
	harmfulDelayPerDaemon = 500 * time.Microsecond
	maxHarmfulDelay       = 50 * time.Millisecond
)

// harmfulRequests is the part of the data path that holds the records of requests that may crash the
// back ends that run them.
type harmfulRequests interface {
	// MergeHarmful merges records from a peer or the store, and returns how many were invalid. New
	// records are sent on to all daemons if forward is set.
	MergeHarmful(records []quarantine.Record, forward bool) (refused int)
	// HarmfulRecords returns all records, UnsentHarmful those that have not been sent to other
	// daemons, which it then marks as sent.
	HarmfulRecords() []quarantine.Record
	UnsentHarmful() []quarantine.Record
	// HarmfulSum returns a checksum that is equal on daemons with equal records.
	HarmfulSum() uint64
	// HarmfulState returns the quarantine state of a request, ReleaseHarmful has all daemons
	// trust it again.
	HarmfulState(quarantine.Signature) quarantine.State
	ReleaseHarmful(quarantine.Signature)
}

// scheduleHarmfulBroadcast has the unsent records of harmful requests broadcast to all daemons:
// without a delay if urgent is set, because the next request at any daemon may depend on them. It
// does not block.
func (m *mesh) scheduleHarmfulBroadcast(urgent bool) {
	delay := time.Duration(0)
	if !urgent {
		maxDelay := min(harmfulDelayPerDaemon*time.Duration(m.daemonCount()), maxHarmfulDelay)
		delay = time.Duration(randomNumber() % uint64(maxDelay))
	}
	m.runAfter(delay, m.broadcastHarmful)
}

// broadcastHarmful sends the unsent records of harmful requests to all daemons, along a tree in
// each zone; the lock is held. Daemons that the broadcast misses get them by comparing HarmfulSum.
func (m *mesh) broadcastHarmful() {
	records := m.harmful.UnsentHarmful()
	if len(records) == 0 {
		return
	}
	request := m.newPushRequest(nil)
	request.Harmful = records
	directory := m.peerDirectory()
	for _, zone := range directory.Zones() {
		m.sendAlongTree(directory.PeersInZone(zone), request)
	}
}

// mergeHarmful merges records of harmful requests received from a peer or read from the store, and
// logs if some are invalid; from names the peer or the store in the log. New records are sent on to
// all daemons if forward is set.
func (m *mesh) mergeHarmful(from string, records []quarantine.Record, forward bool) {
	if len(records) == 0 {
		return
	}
	if refused := m.harmful.MergeHarmful(records, forward); refused > 0 {
		m.events.event("harmful_refused", field("peer", from), field("records", formatCount(uint64(refused))))
	}
}

// harmfulRecordsFor returns all records for a peer with the given HarmfulSum; nil if that equals
// the sum of this daemon.
func (m *mesh) harmfulRecordsFor(sum uint64) []quarantine.Record {
	if sum == m.harmful.HarmfulSum() {
		return nil
	}
	return m.harmful.HarmfulRecords()
}
