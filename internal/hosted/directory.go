package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// directoryLife is how long a directory of peers may be used although the
// passing of time changes it too: a peer that has left is dropped returnWait
// after that, which need not be exact.
const maxDirectoryAge = 5 * time.Second

// peerIndex is the directory of the other daemons and what it was made of.
type cachedDirectory struct {
	directory         *dissemination.Directory
	structureRevision uint64
	builtAt           time.Duration
}

// peers returns the other daemons known; the lock is held.
func (m *mesh) peerDirectory() *dissemination.Directory {
	now := m.clock()
	structure := m.roster.StructureRevision()
	if m.directoryCache.directory == nil || m.directoryCache.structureRevision != structure || now-m.directoryCache.builtAt > maxDirectoryAge {
		m.directoryCache = cachedDirectory{
			directory:         dissemination.NewDirectory(m.self.ID, m.self.Zone, m.listPeers(now)),
			structureRevision: structure,
			builtAt:           now,
		}
	}
	return m.directoryCache.directory
}

// listPeers lists the other daemons known; the lock is held. One that has left is
// still asked for a while: most come back, and one that the store refuses then
// finds nobody by itself.
func (m *mesh) listPeers(now time.Duration) []dissemination.Peer {
	var found []dissemination.Peer
	m.roster.Each(func(member protocol.Member) {
		left := member.State == protocol.MemberLeft && now-m.roster.ChangedAt(member.ID) > leftPeerRetention
		if member.ID != m.self.ID && !left {
			found = append(found, dissemination.Peer{
				ID: member.ID, Address: member.ControlAddress, Zone: member.Zone, Region: member.Region,
				Relays: membership.MayBeParent(member),
			})
		}
	})
	for _, registration := range m.registrations {
		if _, known := m.roster.Get(registration.ID); !known {
			found = append(found, dissemination.Peer{
				ID: registration.ID, Address: registration.Address, Zone: registration.Zone, Region: registration.Region,
				Relays: true,
			})
		}
	}
	return found
}

// setRegistered takes the daemons that the registry names; the lock is held.
func (m *mesh) setRegistrations(listed []authority.Registration) {
	m.registrations = listed
	m.directoryCache.directory = nil
}

// isLost tells whether a peer did not answer last time; the lock is held.
func (m *mesh) isLost(id protocol.NodeID) bool { return m.lostPeers[id] }
