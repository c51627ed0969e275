package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Where many daemons have something to add to the same news, they do so in turn, within
// harmfulStep for each daemon of the mesh and harmfulSpread at most: most of them find then
// that another one has told it. A small mesh has all news within some milliseconds, so that
// nothing is decided on a part of it; a large one sends a few hundred messages in place of
// the square of its daemons.
const (
	harmfulDelayPerDaemon = 500 * time.Microsecond
	maxHarmfulDelay       = 50 * time.Millisecond
)

// harmfulRequests is what the data path knows of requests that may end the back ends that
// run them.
type harmfulRequests interface {
	// MergeHarmful takes a peer's records, and tells how many can't be true. What is news is
	// told to all daemons in turn where pass is set.
	MergeHarmful(records []quarantine.Record, pass bool) (refused int)
	// HarmfulRecords are all records, UntoldHarmful those that nobody has been told of.
	HarmfulRecords() []quarantine.Record
	UnsentHarmful() []quarantine.Record
	// HarmfulSum is the same on daemons that know the same.
	HarmfulSum() uint64
	// HarmfulBelief is what is believed of a request, ReleaseHarmful has it trusted again.
	HarmfulState(quarantine.Signature) quarantine.State
	ReleaseHarmful(quarantine.Signature)
}

// tellHarmful has all daemons told of news of harmful requests: at once if the next request
// that comes anywhere may depend on it. It does not block.
func (m *mesh) scheduleHarmfulBroadcast(urgent bool) {
	wait := time.Duration(0)
	if !urgent {
		most := min(harmfulDelayPerDaemon*time.Duration(m.daemonCount()), maxHarmfulDelay)
		wait = time.Duration(randomNumber() % uint64(most))
	}
	m.runAfter(wait, m.broadcastHarmful)
}

// spreadHarmful tells all daemons of what they have not been told yet, along a tree in each
// zone; the lock is held. Comparisons of sums reach those that it misses.
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

// takeHarmful takes a peer's records of harmful requests.
func (m *mesh) mergeHarmful(from string, records []quarantine.Record, pass bool) {
	if len(records) == 0 {
		return
	}
	if refused := m.harmful.MergeHarmful(records, pass); refused > 0 {
		m.events.event("harmful_refused", field("peer", from), field("records", formatCount(uint64(refused))))
	}
}

// harmfulFor are the records for a peer that knows something else; nil when it knows the
// same.
func (m *mesh) harmfulRecordsFor(sum uint64) []quarantine.Record {
	if sum == m.harmful.HarmfulSum() {
		return nil
	}
	return m.harmful.HarmfulRecords()
}
