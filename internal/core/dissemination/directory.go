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
	// CapacityClass is that of the daemon's machine.
	CapacityClass uint8
	// Relays is set if the daemon may be a relay. It is not set for a daemon that is
	// known to be leaving.
	Relays bool
}

// Self is the own daemon in a Directory.
type Self struct {
	ID            protocol.NodeID
	Zone          string
	CapacityClass uint8
}

// Directory indexes the other daemons of a mesh by zone. It is immutable.
type Directory struct {
	self Self
	// all holds the other daemons in ascending order of ID.
	all []Peer
	// byID holds the index in all of each daemon.
	byID map[protocol.NodeID]int
	// zones holds the other daemons by zone, in order of their rank as relays.
	zones map[string][]Peer
	// deputies holds the daemons of the own zone in order of their rank as deputies.
	deputies []Peer
	// otherZones holds the daemons of other zones in ascending order of ID.
	otherZones []Peer
}

// relayPurpose is the purpose passed to membership.DutyScore to rank the daemons of a zone as
// relays. deputyPurpose begins that passed to membership.Score to rank the daemons of a zone as
// deputies of one of them.
const (
	relayPurpose  = "relay"
	deputyPurpose = "deputy "
)

// relayScore returns the score by which a daemon is ranked as a relay.
func relayScore(id protocol.NodeID, capacityClass uint8) uint64 {
	return membership.DutyScore(relayPurpose, id, capacityClass)
}

// NewDirectory indexes the daemons that a daemon knows. The daemons of each
// zone are ranked by rendezvous hashing, so that all daemons that know
// the same members obtain the same order.
func NewDirectory(self Self, peers []Peer) *Directory {
	directory := &Directory{
		self:  self,
		all:   slices.Clone(peers),
		byID:  make(map[protocol.NodeID]int, len(peers)),
		zones: map[string][]Peer{},
	}
	slices.SortFunc(directory.all, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	scores := make(map[protocol.NodeID]uint64, len(peers))
	for index, peer := range directory.all {
		directory.byID[peer.ID] = index
		directory.zones[peer.Zone] = append(directory.zones[peer.Zone], peer)
		if peer.Zone != self.Zone {
			directory.otherZones = append(directory.otherZones, peer)
		}
		scores[peer.ID] = relayScore(peer.ID, peer.CapacityClass)
	}
	for _, ranked := range directory.zones {
		sortByScore(ranked, func(peer Peer) uint64 { return scores[peer.ID] })
	}
	directory.deputies = slices.Clone(directory.zones[self.Zone])
	for _, peer := range directory.deputies {
		scores[peer.ID] = membership.Score(deputyPurpose+string(self.ID), peer.ID)
	}
	sortByScore(directory.deputies, func(peer Peer) uint64 { return scores[peer.ID] })
	return directory
}

// sortByScore sorts daemons in descending order of score.
func sortByScore(peers []Peer, score func(Peer) uint64) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
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
func (d *Directory) PeersInOwnZone() []Peer { return d.zones[d.self.Zone] }

// Deputies returns the other daemons of this daemon's zone in order of their rank as its deputies,
// which receive its record from the daemon itself. Each daemon has its own order, so that all daemons
// of a zone have about equally many to answer when they start again.
func (d *Directory) Deputies() []Peer { return d.deputies }

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
	relays := d.Relays(d.self.Zone, unreachable)
	if len(relays) == 0 {
		return true
	}
	own, best := relayScore(d.self.ID, d.self.CapacityClass), relayScore(relays[0].ID, relays[0].CapacityClass)
	return cmp.Or(cmp.Compare(own, best), cmp.Compare(relays[0].ID, d.self.ID)) > 0
}
