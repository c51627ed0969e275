package hosted

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// sourceStore is the source of orders that the daemon has read itself; others are peers.
const sourceStore = "store"

// evacuated tells whether the daemon's own zone is to be empty.
func (m *mesh) isOwnZoneEvacuated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.Orders().Evacuates(m.self.Zone)
}

// takeEvacuations takes a peer's word of orders. Its age counts from a time: that at which it
// came, or at which it was asked for, so that no reading looks newer than it is.
func (m *mesh) handleEvacuations(at time.Duration, source string, word evacuation.SharedOrders) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.mergeEvacuations(at, source, word)
}

// mergeEvacuations takes word of orders and puts what is news in force; the lock is held.
// Where the settings follow no orders, none is heeded.
func (m *mesh) mergeEvacuations(at time.Duration, source string, word evacuation.SharedOrders) {
	if m.evacuationTiming.Within == 0 {
		return
	}
	before := m.evacuations.Orders()
	if !m.evacuations.Merge(at, word) {
		return
	}
	m.publishAll()
	m.onZoneChange()
	made, withdrawn := lo.Difference(word.Orders.AllZones(), before.AllZones())
	for _, zone := range made {
		m.events.event("evacuation_heard", m.evacuationFields(zone, source)...)
		if m.isJoined() && m.countDaemons(zone) == 0 {
			m.logFaultyEvacuation(zone, unknownZoneError(zone))
		}
	}
	for _, zone := range withdrawn {
		m.events.event("evacuation_withdrawn", m.evacuationFields(zone, source)...)
	}
}

// evacuationFields are the fields of a line on an order that is news; the lock is held.
func (m *mesh) evacuationFields(zone, source string) []eventField {
	return []eventField{
		field("zone", zone), field("source", source),
		field("position", m.evacuations.Orders().At.String()),
		field("daemons", strconv.Itoa(m.countDaemons(zone))),
	}
}

// logBadEvacuation writes a line for an order that is not as it should be.
func (m *mesh) logFaultyEvacuation(zone string, fault error) {
	m.events.event("evacuation_faulty", field("zone", zone),
		field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
}

// unknownZone is the fault of an order that names a zone without daemons.
func unknownZoneError(zone string) error {
	return result.New(result.FileBadReference, "evacuations/%s: no daemon is in that zone", strings.ToValidUTF8(zone, "?"))
}

// daemonsIn counts the daemons of a zone that have not left; the lock is held.
func (m *mesh) countDaemons(zone string) (count int) {
	m.roster.Each(func(member protocol.Member) {
		if member.Zone == zone && member.State != protocol.MemberLeft {
			count++
		}
	})
	return count
}

// evacuatedZone is a zone to be empty as metrics tell it.
type evacuatedZone struct {
	zone    string
	daemons int
}

// evacuatedZones are the zones to be empty, and how old the newest reading of them is.
func (m *mesh) evacuatedZones() (zones []evacuatedZone, age time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, zone := range m.evacuations.Orders().AllZones() {
		zones = append(zones, evacuatedZone{zone: zone, daemons: m.countDaemons(zone)})
	}
	return zones, m.evacuations.ReadingAge(m.clock())
}
