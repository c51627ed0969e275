// Package dissemination decides how changes of member records reach the daemons of a
// mesh. A daemon sends its change to one relay per zone. The relay batches the changes
// of a short period and broadcasts them in its zone along a tree, so that the number of
// messages grows with the number of daemons, not with daemons times changes. Checksum
// comparisons (package membership) repair missed broadcasts. The package does no input
// or output and reads no clock.
package dissemination

import (
	"cmp"
	"slices"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// Peer is another daemon with its control address.
type Peer struct {
	ID      protocol.NodeID
	Address string
	Zone    string
	Region  string
	// Relays is set if the daemon may be a relay. It is not set for a daemon that is
	// known to be leaving.
	Relays bool
}

// Directory indexes the other daemons of a mesh by zone. It is immutable.
type Directory struct {
	self protocol.NodeID
	zone string
	// all holds the other daemons in ascending order of ID.
	all []Peer
	// byID holds the index in all of each daemon.
	byID map[protocol.NodeID]int
	// zones holds the other daemons by zone, in order of their rank as relays.
	zones map[string][]Peer
	// otherZones holds the daemons of other zones in ascending order of ID.
	otherZones []Peer
}

// relayPurpose is the purpose passed to membership.Score to rank the daemons of a zone as
// relays.
const relayPurpose = "relay"

// NewDirectory indexes the daemons that a daemon in a zone knows. The daemons of each
// zone are ranked by rendezvous hashing, so that all daemons that know
// the same members obtain the same order.
func NewDirectory(self protocol.NodeID, zone string, peers []Peer) *Directory {
	directory := &Directory{
		self:  self,
		zone:  zone,
		all:   slices.Clone(peers),
		byID:  make(map[protocol.NodeID]int, len(peers)),
		zones: map[string][]Peer{},
	}
	slices.SortFunc(directory.all, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	scores := make(map[protocol.NodeID]uint64, len(peers))
	for index, peer := range directory.all {
		directory.byID[peer.ID] = index
		directory.zones[peer.Zone] = append(directory.zones[peer.Zone], peer)
		if peer.Zone != zone {
			directory.otherZones = append(directory.otherZones, peer)
		}
		scores[peer.ID] = membership.Score(relayPurpose, peer.ID)
	}
	for _, ranked := range directory.zones {
		slices.SortFunc(ranked, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
		})
	}
	return directory
}

// All returns the other daemons in ascending order of ID.
func (d *Directory) All() []Peer { return d.all }

// Find returns a daemon by its ID.
func (d *Directory) Find(id protocol.NodeID) (Peer, bool) {
	index, found := d.byID[id]
	if !found {
		return Peer{}, false
	}
	return d.all[index], true
}

// PeersInOwnZone returns the other daemons of this daemon's zone in order of their rank
// as relays.
func (d *Directory) PeersInOwnZone() []Peer { return d.zones[d.zone] }

// PeersInOtherZones returns the daemons of all other zones in ascending order of ID.
func (d *Directory) PeersInOtherZones() []Peer { return d.otherZones }

// Zones returns the names of all zones that contain another daemon, in ascending order.
func (d *Directory) Zones() []string {
	names := make([]string, 0, len(d.zones))
	for name := range d.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PeersInZone returns the other daemons of a zone in order of their rank as relays.
func (d *Directory) PeersInZone(zone string) []Peer { return d.zones[zone] }

// Relays returns the other daemons of a zone that may be its relay, best first, without
// the unreachable ones.
func (d *Directory) Relays(zone string, unreachable func(protocol.NodeID) bool) []Peer {
	var relays []Peer
	for _, peer := range d.zones[zone] {
		if peer.Relays && !unreachable(peer.ID) {
			relays = append(relays, peer)
		}
	}
	return relays
}

// IsRelay reports whether the own daemon is the relay of its zone: it ranks before all
// reachable daemons of the zone that may be the relay.
func (d *Directory) IsRelay(unreachable func(protocol.NodeID) bool) bool {
	relays := d.Relays(d.zone, unreachable)
	if len(relays) == 0 {
		return true
	}
	own, best := membership.Score(relayPurpose, d.self), membership.Score(relayPurpose, relays[0].ID)
	return cmp.Or(cmp.Compare(own, best), cmp.Compare(relays[0].ID, d.self)) > 0
}
