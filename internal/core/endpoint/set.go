package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// Locality is where the chooser itself is.
type Locality struct {
	Region string
	Zone   string
}

// tierCount is the number of distances: own zone, own region, elsewhere.
const tierCount = 3

// Set is the endpoints of one service, immutable.
type Set struct {
	// All holds every endpoint of the configuration, in its order.
	All []*Endpoint
	// tiers holds those that may take new work, by distance.
	tiers [tierCount][]*Endpoint
	// usable is the number of endpoints in tiers.
	usable int
}

// Build makes the set of a service from the configuration and the member
// records. Counts carry over from the previous set, which may be nil, for
// endpoints of the same incarnation; a new incarnation starts cold.
func Build(previous *Set, self Locality, backends []resource.Backend, members []protocol.Member, now time.Duration) *Set {
	set := &Set{}
	for _, backend := range backends {
		made := describe(backend, members)
		made.stats = carryOver(previous, made, now)
		set.All = append(set.All, made)
		if !takesWork(made, members) {
			continue
		}
		tier := distance(self, made)
		set.tiers[tier] = append(set.tiers[tier], made)
		set.usable++
	}
	return set
}

// describe joins a back end with the record of the daemon beside it. The
// daemon's own word on address and place goes before the configuration's.
func describe(backend resource.Backend, members []protocol.Member) *Endpoint {
	made := &Endpoint{
		Service: backend.ServiceRef(),
		Backend: backend.Name,
		Address: backend.Address,
		Region:  backend.Region,
		Zone:    backend.Zone,
		Slots:   backend.Slots,
		Doubted: true,
	}
	member := newest(made, members)
	if member == nil {
		return made
	}
	made.Node = member.ID
	made.Incarnation = member.Incarnation
	made.Sequence = member.Sequence
	made.State = member.Endpoint
	made.Doubted = member.State == protocol.MemberSuspect
	made.Region = member.Region
	made.Zone = member.Zone
	if member.DataAddress != "" {
		made.Address = member.DataAddress
	}
	if member.Slots > 0 {
		made.Slots = member.Slots
	}
	return made
}

// newest finds the latest incarnation of a daemon beside the back end.
func newest(of *Endpoint, members []protocol.Member) *protocol.Member {
	var found *protocol.Member
	for index := range members {
		member := &members[index]
		if member.Backend != of.Backend || member.Service != of.Service {
			continue
		}
		if found == nil || member.Incarnation > found.Incarnation {
			found = member
		}
	}
	return found
}

// takesWork weighs the daemon's own word. Without one, the endpoint counts as
// a doubted one, for the records may not have come yet.
func takesWork(made *Endpoint, members []protocol.Member) bool {
	member := newest(made, members)
	if member == nil {
		return true
	}
	if member.State != protocol.MemberAlive && member.State != protocol.MemberSuspect {
		return false
	}
	return member.Endpoint == protocol.EndpointReady || member.Endpoint == protocol.EndpointWarming
}

// carryOver finds the counts of an endpoint in the previous set. In a first
// set everything counts as warm: the chooser is what is new, not the back
// ends; those that say themselves that they are warming start cold.
func carryOver(previous *Set, made *Endpoint, now time.Duration) *stats {
	fresh := &stats{}
	if previous == nil && made.State != protocol.EndpointWarming {
		fresh.readyAt.Store(int64(now - warmUp))
		return fresh
	}
	fresh.readyAt.Store(int64(now))
	if previous == nil {
		return fresh
	}
	for _, old := range previous.All {
		sameDaemon := old.Incarnation == made.Incarnation || old.Incarnation == 0
		if old.Backend == made.Backend && sameDaemon {
			return old.stats
		}
	}
	return fresh
}

func distance(self Locality, of *Endpoint) int {
	switch {
	case of.Region != self.Region:
		return 2
	case of.Zone != self.Zone:
		return 1
	}
	return 0
}

// Usable is the number of endpoints that may take new work by their daemons'
// own word.
func (s *Set) Usable() int { return s.usable }

// Tried is the short list of endpoints that a call was sent to already.
type Tried []*Endpoint

// has compares by identity of the counts, for a set may have been replaced
// between two attempts of a call.
func (t Tried) has(candidate *Endpoint) bool {
	for _, tried := range t {
		if tried.stats == candidate.stats {
			return true
		}
	}
	return false
}

// Others tells whether an endpoint is left that was not tried.
func (s *Set) Others(now time.Duration, tried Tried) bool {
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if !tried.has(candidate) && !candidate.leaving(now) {
				return true
			}
		}
	}
	return false
}

// keyedHash mixes a key with a back end's name for rendezvous hashing.
func keyedHash(key uint64, backend string) uint64 {
	mixed := xxhash.Sum64String(backend) ^ key
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
