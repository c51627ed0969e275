package hosted

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Many daemons may have something to add to the same record. Each broadcasts its addition after a
// random delay of up to harmfulDelayPerDaemon for each daemon of the mesh, at most maxHarmfulDelay.
// In a small mesh all additions arrive within milliseconds, before a decision would be based on
// only some of them.
const (
	harmfulDelayPerDaemon = 500 * time.Microsecond
	maxHarmfulDelay       = 50 * time.Millisecond
	// minHarmfulInterval is the minimum time between two broadcasts of records of harmful requests
	// by the relay of a zone. It bounds the messages to each daemon when many back ends end at once.
	minHarmfulInterval = 100 * time.Millisecond
)

// harmfulRequests is the part of the data path that holds the records of requests that may crash the
// back ends that run them.
type harmfulRequests interface {
	// MergeHarmful merges records from a peer or the store, and returns how many were invalid.
	MergeHarmful(records []quarantine.Record) (refused int)
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

// broadcastHarmful has the unsent records of harmful requests broadcast by the relays of all zones; the
// lock is held. Daemons that the broadcast misses get them by comparing HarmfulSum.
func (m *mesh) broadcastHarmful() {
	records := m.harmful.UnsentHarmful()
	if len(records) == 0 {
		return
	}
	request := m.newPushRequest(nil)
	request.Harmful = records
	request.Relay = true
	directory := m.peerDirectory()
	for _, zone := range directory.Zones() {
		if zone != m.self.Zone {
			m.sendToFirstReachable(m.reachableRelays(zone), request, false)
		}
	}
	if directory.IsRelay(m.isLost) {
		m.relayHarmful(records)
	} else {
		m.sendToFirstReachable(m.reachableRelays(m.self.Zone), request, false)
	}
}

// relayHarmful adds records of harmful requests to the next broadcast of this daemon, the relay of its
// zone. It sends the broadcast at once unless the last one was less than minHarmfulInterval ago. The
// lock is held.
func (m *mesh) relayHarmful(records []quarantine.Record) {
	keys := lo.Map(records, func(record quarantine.Record, _ int) uint64 { return record.Signature.Key() })
	wait, schedule := m.harmfulBatch.Add(m.clock(), keys...)
	m.runScheduled(wait, schedule, m.broadcastHarmfulBatch)
}

// broadcastHarmfulBatch sends the collected records to all daemons of the own zone; the lock is held.
func (m *mesh) broadcastHarmfulBatch() {
	keys := lo.SliceToMap(m.harmfulBatch.Take(m.clock()), func(key uint64) (uint64, bool) { return key, true })
	request := m.newPushRequest(nil)
	request.Harmful = lo.Filter(m.harmful.HarmfulRecords(), func(record quarantine.Record, _ int) bool {
		return keys[record.Signature.Key()]
	})
	if len(request.Harmful) > 0 {
		m.sendAlongTree(m.peerDirectory().PeersInOwnZone(), request)
	}
}

// mergeHarmful merges records of harmful requests received from a peer or read from the store, and
// logs if some are invalid; from names the peer or the store in the log.
func (m *mesh) mergeHarmful(from string, records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	if refused := m.harmful.MergeHarmful(records); refused > 0 {
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
