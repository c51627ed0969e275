package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// maxDirectoryAge is the maximum age of a cached directory of peers. Its contents also
// depend on time, since a peer is dropped leftPeerRetention after it has left, but that time
// need not be exact.
const maxDirectoryAge = 5 * time.Second

// cachedDirectory is a directory of the other daemons with the roster's structure revision and the
// time at which it was built.
type cachedDirectory struct {
	directory         *dissemination.Directory
	structureRevision uint64
	builtAt           time.Duration
}

// peerDirectory returns the directory of the other known daemons; the lock is held.
func (m *mesh) peerDirectory() *dissemination.Directory {
	now := m.clock()
	structure := m.roster.StructureRevision()
	if m.directoryCache.directory == nil || m.directoryCache.structureRevision != structure || now-m.directoryCache.builtAt > maxDirectoryAge {
		m.directoryCache = cachedDirectory{
			directory:         dissemination.NewDirectory(dissemination.Self{ID: m.self.ID, Zone: m.self.Zone, CapacityClass: m.self.CapacityClass}, m.listPeers(now)),
			structureRevision: structure,
			builtAt:           now,
		}
	}
	return m.directoryCache.directory
}

// listPeers returns the other known daemons. A daemon that has left stays a peer for
// leftPeerRetention: most daemons that leave start again, and a started daemon whose store calls are
// refused finds its peers only if they contact it. The lock is held.
func (m *mesh) listPeers(now time.Duration) []dissemination.Peer {
	var peers []dissemination.Peer
	m.roster.Each(func(member protocol.Member) {
		expired := member.State == protocol.MemberLeft && now-m.roster.ChangedAt(member.ID) > leftPeerRetention
		if member.ID != m.self.ID && !expired {
			peers = append(peers, dissemination.Peer{
				ID: member.ID, Address: member.ControlAddress, Zone: member.Zone, Region: member.Region,
				Relays: membership.MayBeParent(member), CapacityClass: member.CapacityClass,
			})
		}
	})
	for _, registration := range m.registrations {
		if _, known := m.roster.Get(registration.ID); !known {
			peers = append(peers, dissemination.Peer{
				ID: registration.ID, Address: registration.Address, Zone: registration.Zone, Region: registration.Region,
				Relays: true,
			})
		}
	}
	return peers
}

// setRegistrations replaces the registrations last read from the registry; the lock is held.
func (m *mesh) setRegistrations(registrations []authority.Registration) {
	m.registrations = registrations
	m.directoryCache.directory = nil
}

// isLost reports whether a peer did not answer the last call to it; the lock is held.
func (m *mesh) isLost(id protocol.NodeID) bool { return m.lostPeers[id] }
