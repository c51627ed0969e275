package hosted

import (
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// resumeBackendState resumes the drain that an earlier start of this daemon acknowledged, and the call rate
// that its back end stated to it, given a record of this daemon that a peer remembers. Any incarnation
// other than the present one is that of an earlier start, even a higher one: the clock may have been set
// back in between. The lock is held.
func (m *mesh) resumeBackendState(remembered protocol.Member) {
	if remembered.Incarnation == m.self.Incarnation {
		return
	}
	if remembered.Endpoint == protocol.EndpointDraining {
		m.restoreDraining(remembered.BackendStart())
	}
	if remembered.CallRate > 0 {
		m.restoreCallRate(remembered.BackendStart(), remembered.CallRate)
	}
}

// isUnawareOfDrain reports whether a restarted daemon does not know that its earlier start
// acknowledged the drain of the back end. remembered is the record of the earlier start, and started
// is the record of the new start. A back end that has itself restarted since is not draining.
func isUnawareOfDrain(remembered, started protocol.Member) bool {
	restarted := started.Incarnation > remembered.Incarnation
	acknowledged := remembered.Backend != "" && remembered.Endpoint == protocol.EndpointDraining
	otherInstance := started.Backend != remembered.Backend
	backendRestarted := started.Backend != "" && (otherInstance || started.Born > remembered.Born)
	return restarted && acknowledged && !backendRestarted && started.Endpoint != protocol.EndpointDraining
}

// sendEarlierRecord sends a restarted daemon the record of its earlier start, which contains the
// drain that the earlier start acknowledged. Possibly no daemon in the zone of the restarted daemon
// has this record; therefore the relays of other zones send it too. The lock is held.
func (m *mesh) sendEarlierRecord(remembered, started protocol.Member) {
	if started.Zone != m.self.Zone && !m.peerDirectory().IsRelay(m.isLost) {
		return
	}
	target := dissemination.Peer{
		ID: started.ID, Address: started.ControlAddress, Zone: started.Zone, Region: started.Region,
	}
	m.push([]dissemination.Peer{target}, remembered)
}

// refute raises the incarnation of the own record above that of an earlier start which a peer
// remembers, if the remembered record would otherwise be the newer one. The lock is held.
func (m *mesh) refute(remembered protocol.Member) {
	if !membership.Newer(remembered, m.self) {
		return
	}
	m.self.Incarnation = remembered.Incarnation + 1
	m.announceSelf()
}
