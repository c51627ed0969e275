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

// sourceStore is the logged source of orders and eras read from the store by this daemon. Otherwise
// the source is the ID of the peer that sent them.
const sourceStore = "store"

// isOwnZoneEvacuated reports whether an order to evacuate the daemon's own zone is in force.
func (m *mesh) isOwnZoneEvacuated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.Orders().Evacuates(m.self.Zone)
}

// handleEvacuations merges the orders received from a peer. Their age is relative to at, the time at
// which they arrived or, in a reply, at which the request was sent. So no reading appears newer than
// it is.
func (m *mesh) handleEvacuations(at time.Duration, source string, received evacuation.SharedOrders) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.mergeEvacuations(at, source, received)
}

// mergeEvacuations merges orders and puts the changes in force. If evacuation is disabled in the
// settings, it ignores them. The lock is held.
func (m *mesh) mergeEvacuations(at time.Duration, source string, received evacuation.SharedOrders) {
	if m.evacuationTiming.Within == 0 {
		return
	}
	previous := m.evacuations.Orders()
	if !m.evacuations.Merge(at, received) {
		return
	}
	m.publishAll()
	m.onZoneChange()
	issuedZones, withdrawnZones := lo.Difference(received.Orders.AllZones(), previous.AllZones())
	for _, zone := range issuedZones {
		m.events.event("evacuation_heard", m.evacuationFields(zone, source)...)
		if m.isJoined() && m.countDaemons(zone) == 0 {
			m.logFaultyEvacuation(zone, unknownZoneError(zone))
		}
	}
	for _, zone := range withdrawnZones {
		m.events.event("evacuation_withdrawn", m.evacuationFields(zone, source)...)
	}
}

// evacuationFields returns the log fields for a new or withdrawn order; the lock is held.
func (m *mesh) evacuationFields(zone, source string) []eventField {
	return []eventField{
		field("zone", zone), field("source", source),
		field("position", m.evacuations.Orders().At.String()),
		field("daemons", strconv.Itoa(m.countDaemons(zone))),
	}
}

// logFaultyEvacuation logs a fault of an order.
func (m *mesh) logFaultyEvacuation(zone string, fault error) {
	m.events.event("evacuation_faulty", field("zone", zone),
		field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
}

// unknownZoneError returns the fault of an order for a zone without daemons.
func unknownZoneError(zone string) error {
	return result.New(result.FileBadReference, "evacuations/%s: no daemon is in that zone", strings.ToValidUTF8(zone, "?"))
}

// countDaemons returns the number of daemons of a zone that have not left; the lock is held.
func (m *mesh) countDaemons(zone string) (count int) {
	m.roster.Each(func(member protocol.Member) {
		if member.Zone == zone && member.State != protocol.MemberLeft {
			count++
		}
	})
	return count
}

// evacuatedZone is a zone to evacuate and its number of daemons, for metrics.
type evacuatedZone struct {
	zone    string
	daemons int
}

// evacuatedZones returns the zones to evacuate and the age of the newest known reading of the orders.
func (m *mesh) evacuatedZones() (zones []evacuatedZone, age time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, zone := range m.evacuations.Orders().AllZones() {
		zones = append(zones, evacuatedZone{zone: zone, daemons: m.countDaemons(zone)})
	}
	return zones, m.evacuations.ReadingAge(m.clock())
}
