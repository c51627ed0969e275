package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
)

// Locality is where the chooser itself is.
type Locality struct {
	Region string
	Zone   string
	// TrustStates says that back ends tell themselves when they are warm, so
	// that one that has just come and is ready gets its full share.
	TrustStates bool
	// ColdRate is how many calls a second a cold back end of the service bears; 0 when the
	// service does not say.
	ColdRate float64
	// Spill is when calls leave the own zone; the zero value means DefaultSpill.
	Spill Spillover
	// Evacuations are the zones to be empty: their endpoints take no new calls.
	Evacuations evacuation.Orders
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
	spill  Spillover
}

// Index finds the record of the daemon beside a back end: that of its latest
// incarnation. It is built once for the sets of all services.
// It points into the records that it was built of.
type Index map[place]*protocol.Member

// place names a back end.
type place struct {
	service resource.ServiceRef
	backend string
}

// NewIndex builds the index of the member records. Where two name a back end, as after it
// has started again on another machine, that of its newer start holds.
func NewIndex(members []protocol.Member) Index {
	index := make(Index, len(members))
	for position := range members {
		member := &members[position]
		if member.Backend == "" {
			continue
		}
		at := place{service: member.Service, backend: member.Backend}
		if known, found := index[at]; !found || newerRecord(member, known) {
			index[at] = member
		}
	}
	return index
}

// newerRecord tells which of two records that name the same back end speaks of it now.
func newerRecord(one, other *protocol.Member) bool {
	if one.Born != other.Born {
		return one.Born > other.Born
	}
	return one.Incarnation > other.Incarnation
}

// Build makes the set of a service from the configuration and the member
// records; see BuildIndexed.
func Build(previous *Set, self Locality, backends []resource.Backend, members []protocol.Member, now time.Duration) *Set {
	return BuildIndexed(previous, self, backends, NewIndex(members), now)
}

// BuildIndexed makes the set of a service from the configuration and the index
// of the member records. Counts carry over from the previous set, which may be
// nil, for endpoints of the same incarnation; a new incarnation starts cold.
func BuildIndexed(previous *Set, self Locality, backends []resource.Backend, index Index, now time.Duration) *Set {
	set := &Set{spill: cmp.Or(self.Spill, DefaultSpillover())}
	set.All = make([]*Endpoint, 0, len(backends))
	known := previous.byName()
	for _, backend := range backends {
		described, usable := describe(backend, index)
		described.ColdRate = self.ColdRate
		if usable && self.Evacuations.Evacuates(described.Zone) {
			described.State = protocol.EndpointEvacuated
			usable = false
		}
		made := renew(self, previous, known[backend.Name], described, now)
		set.All = append(set.All, made)
		if !usable {
			continue
		}
		tier := distance(self, made)
		set.tiers[tier] = append(set.tiers[tier], made)
		set.usable++
	}
	return set
}

// byName indexes a set, which may be nil.
func (s *Set) byName() map[string]*Endpoint {
	if s == nil {
		return nil
	}
	index := make(map[string]*Endpoint, len(s.All))
	for _, one := range s.All {
		index[one.Backend] = one
	}
	return index
}

// describe joins a back end with the record of the daemon beside it, and tells
// whether it may take new work. The daemon's own word on state, address and
// place goes before the configuration's. Without one the endpoint counts as a
// doubted one, for the records may not have come yet.
func describe(backend resource.Backend, index Index) (Endpoint, bool) {
	made := Endpoint{
		Service: backend.ServiceRef(),
		Backend: backend.Name,
		Address: backend.Address,
		Region:  backend.Region,
		Zone:    backend.Zone,
		Slots:   backend.Slots,
		Doubted: true,
	}
	member, found := index[place{service: made.Service, backend: made.Backend}]
	if !found {
		return made, true
	}
	made.Node = member.ID
	made.Incarnation = member.Incarnation
	made.Sequence = member.Sequence
	made.State = stateOf(member)
	made.Doubted = member.State == protocol.MemberSuspect
	made.Region = member.Region
	made.Zone = member.Zone
	made.Address = cmp.Or(member.DataAddress, made.Address)
	made.Slots = cmp.Or(member.Slots, made.Slots)
	made.Software = member.Software
	made.Born = member.Born
	return made, made.State.AcceptsCalls()
}

// stateOf is the state of a back end behind its daemon: one whose daemon leaves
// takes no more work either.
func stateOf(member *protocol.Member) protocol.EndpointState {
	if member.State != protocol.MemberAlive && member.State != protocol.MemberSuspect {
		return protocol.EndpointDraining
	}
	return member.Endpoint
}

// renew returns the endpoint as described: the one of the previous set where
// nothing changed, or else a new one that takes over its counts.
func renew(self Locality, previous *Set, old *Endpoint, described Endpoint, now time.Duration) *Endpoint {
	if old != nil {
		described.stats = old.stats
		if described == *old {
			return old
		}
	}
	made := described
	made.stats = carryOver(self, previous, old, &made, now)
	return &made
}

// carryOver takes the counts of an endpoint from the previous set. In a first
// set everything counts as warm: the chooser is what is new, not the back
// ends; those that say themselves that they are warming start cold.
func carryOver(self Locality, previous *Set, old, made *Endpoint, now time.Duration) *stats {
	restarted := old != nil && old.Born != made.Born // what the earlier start met says nothing of it
	if old != nil && !restarted && (self.TrustStates || old.Incarnation == made.Incarnation || old.Incarnation == 0) {
		if made.newerThan(old) {
			old.stats.recordAt.Store(int64(now))
			if self.TrustStates {
				// Its daemon is heard again: what calls met before is old.
				old.stats.success()
			}
		}
		return old.stats
	}
	fresh := &stats{}
	fresh.recordAt.Store(int64(now))
	fresh.readyAt.Store(int64(now))
	if (previous == nil || self.TrustStates) && made.State != protocol.EndpointWarming {
		fresh.readyAt.Store(int64(now - warmUp))
	}
	return fresh
}

// newerThan tells whether the daemon's record is newer than that of another
// endpoint.
func (e *Endpoint) newerThan(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
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

// Only returns the set of the endpoints that satisfy a condition, which are those of
// this set.
func (s *Set) Filter(fits func(*Endpoint) bool) *Set {
	part := &Set{spill: s.spill}
	for _, one := range s.All {
		if fits(one) {
			part.All = append(part.All, one)
		}
	}
	for distance, tier := range s.tiers {
		for _, one := range tier {
			if fits(one) {
				part.tiers[distance] = append(part.tiers[distance], one)
				part.usable++
			}
		}
	}
	return part
}

// Within returns the set of the endpoints in allowed regions, which are those of this set.
func (s *Set) InRegions(allowed region.Allowed) *Set {
	return s.Filter(func(one *Endpoint) bool { return allowed.Has(one.Region) })
}

// Usable is the number of endpoints that may take new work by their daemons'
// own word.
func (s *Set) UsableCount() int { return s.usable }

// Evacuated tells whether no endpoint may take new work, and some would if their zones were
// not to be empty.
func (s *Set) BlockedByEvacuation() bool {
	return s.usable == 0 && slices.ContainsFunc(s.All, func(one *Endpoint) bool {
		return one.State == protocol.EndpointEvacuated
	})
}

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
func (s *Set) HasUntried(now time.Duration, tried Tried) bool {
	return s.leaves(now, tried, func(*Endpoint) bool { return true })
}

// OthersTaking tells whether an endpoint is left that was not tried and has not
// lately refused a call for load.
func (s *Set) HasUntriedWithCapacity(now time.Duration, tried Tried) bool {
	return s.leaves(now, tried, func(candidate *Endpoint) bool { return !candidate.refusing(now) })
}

// leaves tells whether an endpoint is left that was not tried, takes new work and
// satisfies a condition.
func (s *Set) leaves(now time.Duration, tried Tried, condition func(*Endpoint) bool) bool {
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if !tried.has(candidate) && !candidate.shut(now) && condition(candidate) {
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
