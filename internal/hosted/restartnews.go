package hosted

import (
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// resumeDrain takes over the drain that an earlier start has acknowledged; the lock
// is held. That one's incarnation is the higher one where the clock was set back.
func (m *mesh) resumeDrain(remembered protocol.Member) {
	if remembered.Incarnation != m.self.Incarnation && remembered.Endpoint == protocol.EndpointDraining {
		m.restoreDraining(remembered.BackendStart())
	}
}

// forgetsDrain tells whether a daemon that has started again does not know that an earlier
// start has acknowledged that its back end is leaving.
func isUnawareOfDrain(remembered, started protocol.Member) bool {
	restarted := started.Incarnation > remembered.Incarnation
	acknowledged := remembered.Backend != "" && remembered.Endpoint == protocol.EndpointDraining
	renamed := started.Backend != remembered.Backend
	another := started.Backend != "" && (renamed || started.Born > remembered.Born)
	return restarted && acknowledged && !another && started.Endpoint != protocol.EndpointDraining
}

// remind tells a daemon that has started again what its earlier start had acknowledged; the lock is
// held. The peer that it joined by may not have heard of that, and neither may any of its zone: the
// relays of other zones tell it too.
func (m *mesh) sendEarlierRecord(remembered, started protocol.Member) {
	if started.Zone != m.self.Zone && !m.peerDirectory().IsRelay(m.isLost) {
		return
	}
	target := dissemination.Peer{
		ID: started.ID, Address: started.ControlAddress, Zone: started.Zone, Region: started.Region,
	}
	m.push([]dissemination.Peer{target}, remembered)
}

// refute raises the own record above what another daemon remembers of an
// earlier start; the lock is held.
func (m *mesh) refute(remembered protocol.Member) {
	if !membership.Newer(remembered, m.self) {
		return
	}
	m.self.Incarnation = remembered.Incarnation + 1
	m.announceSelf()
}
