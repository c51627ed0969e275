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

// Locality is the location of the calling daemon, with the settings by which it chooses endpoints.
type Locality struct {
	Region string
	Zone   string
	// TrustStates is set if back ends report their own warm-up: an endpoint that
	// is new and reports ready then gets its full share at once.
	TrustStates bool
	// ColdRate is the calls per second that a cold back end of the service can serve; 0
	// if not configured.
	ColdRate float64
	// Spill sets when calls leave the own zone; the zero value means DefaultSpillover.
	Spill Spillover
	// Evacuations lists the evacuated zones, whose endpoints receive no new calls.
	Evacuations evacuation.Orders
}

// tierCount is the number of distances: own zone, own region, other regions.
const tierCount = 3

// Set holds the endpoints of one service. It is immutable.
type Set struct {
	// All holds every configured endpoint, in the order of the configuration.
	All []*Endpoint
	// tiers holds the endpoints that may receive new calls, by distance.
	tiers [tierCount][]*Endpoint
	// usableCount is the number of endpoints in tiers.
	usableCount int
	spill       Spillover
}

// MemberIndex maps a back end to the member record of its daemon's latest incarnation. It
// is built once for the sets of all services and points into the records that it was
// built from.
type MemberIndex map[backendKey]*protocol.Member

// backendKey identifies a back end.
type backendKey struct {
	service resource.ServiceRef
	backend string
}

// NewMemberIndex builds the index of the member records. If two records name the same back end,
// for example after it restarted on another machine, the one with the later start is used.
func NewMemberIndex(members []protocol.Member) MemberIndex {
	index := make(MemberIndex, len(members))
	for position := range members {
		member := &members[position]
		if member.Backend == "" {
			continue
		}
		key := backendKey{service: member.Service, backend: member.Backend}
		if existing, found := index[key]; !found || isNewerRecord(member, existing) {
			index[key] = member
		}
	}
	return index
}

// isNewerRecord reports whether the first of two records of the same back end is the newer.
func isNewerRecord(record, other *protocol.Member) bool {
	if record.Born != other.Born {
		return record.Born > other.Born
	}
	return record.Incarnation > other.Incarnation
}

// Build builds the set of a service from the configuration and the member records. See
// BuildIndexed.
func Build(previous *Set, self Locality, backends []resource.Backend, members []protocol.Member, now time.Duration) *Set {
	return BuildIndexed(previous, self, backends, NewMemberIndex(members), now)
}

// BuildIndexed builds the set of a service from the configuration and the index of the
// member records. Endpoints keep their statistics from the previous set, which may be nil,
// unless the back end or, without Locality.TrustStates, its daemon has restarted.
func BuildIndexed(previous *Set, self Locality, backends []resource.Backend, index MemberIndex, now time.Duration) *Set {
	set := &Set{spill: cmp.Or(self.Spill, DefaultSpillover())}
	set.All = make([]*Endpoint, 0, len(backends))
	previousByName := previous.byName()
	for _, backend := range backends {
		current, usable := newEndpoint(backend, index)
		current.ColdRate = self.ColdRate
		if usable && self.Evacuations.Evacuates(current.Zone) {
			current.State = protocol.EndpointEvacuated
			usable = false
		}
		endpoint := reuseOrCreate(self, previous, previousByName[backend.Name], current, now)
		set.All = append(set.All, endpoint)
		if !usable {
			continue
		}
		tier := distance(self, endpoint)
		set.tiers[tier] = append(set.tiers[tier], endpoint)
		set.usableCount++
	}
	return set
}

// byName indexes the endpoints by back end name. The set may be nil.
func (s *Set) byName() map[string]*Endpoint {
	if s == nil {
		return nil
	}
	index := make(map[string]*Endpoint, len(s.All))
	for _, endpoint := range s.All {
		index[endpoint.Backend] = endpoint
	}
	return index
}

// newEndpoint combines a back end's configuration with its daemon's member record, without
// statistics, and reports whether the endpoint may receive new calls. State,
// address and location of the record take precedence over the configuration. Without a
// record the endpoint is usable but doubted, because the record may still arrive.
func newEndpoint(backend resource.Backend, index MemberIndex) (Endpoint, bool) {
	endpoint := Endpoint{
		Service: backend.ServiceRef(),
		Backend: backend.Name,
		Address: backend.Address,
		Region:  backend.Region,
		Zone:    backend.Zone,
		Slots:   backend.Slots,
		Doubted: true,
	}
	member, found := index[backendKey{service: endpoint.Service, backend: endpoint.Backend}]
	if !found {
		return endpoint, true
	}
	endpoint.Node = member.ID
	endpoint.Incarnation = member.Incarnation
	endpoint.Sequence = member.Sequence
	endpoint.State = effectiveState(member)
	endpoint.Doubted = member.State == protocol.MemberSuspect
	endpoint.Region = member.Region
	endpoint.Zone = member.Zone
	endpoint.Address = cmp.Or(member.DataAddress, endpoint.Address)
	endpoint.Slots = cmp.Or(member.Slots, endpoint.Slots)
	endpoint.Software = member.Software
	endpoint.Born = member.Born
	endpoint.CallRate = member.CallRate
	return endpoint, endpoint.State.AcceptsCalls()
}

// effectiveState returns the state of a back end by its daemon's record. A back end whose daemon
// is leaving or dead counts as draining.
func effectiveState(member *protocol.Member) protocol.EndpointState {
	if member.State != protocol.MemberAlive && member.State != protocol.MemberSuspect {
		return protocol.EndpointDraining
	}
	return member.Endpoint
}

// reuseOrCreate returns the endpoint of the previous set if it equals the current one, otherwise
// the current one with the statistics that carryOverStats returns.
func reuseOrCreate(self Locality, previous *Set, old *Endpoint, current Endpoint, now time.Duration) *Endpoint {
	if old != nil {
		current.stats = old.stats
		if current == *old {
			return old
		}
	}
	created := current
	created.stats = carryOverStats(self, previous, old, &created, now)
	return &created
}

// carryOverStats returns the statistics for an endpoint: those of the previous set, or fresh
// ones if it is new or has restarted. Endpoints that report warming up start their
// warm-up now. Others count as warm with TrustStates, and also in the first set, because
// then only the calling daemon is new.
func carryOverStats(self Locality, previous *Set, old, created *Endpoint, now time.Duration) *stats {
	restarted := old != nil && old.Born != created.Born // earlier statistics do not apply
	if old != nil && !restarted && (self.TrustStates || old.Incarnation == created.Incarnation || old.Incarnation == 0) {
		if created.hasNewerRecord(old) {
			old.stats.recordReceivedAt.Store(int64(now))
			if self.TrustStates {
				// The daemon has published a newer record, so earlier failures are outdated.
				old.stats.clearFailures()
			}
		}
		return old.stats
	}
	fresh := &stats{}
	fresh.recordReceivedAt.Store(int64(now))
	fresh.warmUpStartedAt.Store(int64(now))
	if (previous == nil || self.TrustStates) && created.State != protocol.EndpointWarming {
		fresh.warmUpStartedAt.Store(int64(now - warmUpPeriod))
	}
	return fresh
}

// hasNewerRecord reports whether the daemon's member record is newer than that of another
// endpoint.
func (e *Endpoint) hasNewerRecord(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

// distance returns the index into Set.tiers of an endpoint.
func distance(self Locality, endpoint *Endpoint) int {
	switch {
	case endpoint.Region != self.Region:
		return 2
	case endpoint.Zone != self.Zone:
		return 1
	}
	return 0
}

// Filter returns the set of those endpoints that satisfy a condition. The endpoints are
// shared with this set, not copied.
func (s *Set) Filter(condition func(*Endpoint) bool) *Set {
	filtered := &Set{spill: s.spill}
	for _, endpoint := range s.All {
		if condition(endpoint) {
			filtered.All = append(filtered.All, endpoint)
		}
	}
	for distance, tier := range s.tiers {
		for _, endpoint := range tier {
			if condition(endpoint) {
				filtered.tiers[distance] = append(filtered.tiers[distance], endpoint)
				filtered.usableCount++
			}
		}
	}
	return filtered
}

// InRegions returns the set of those endpoints that are in allowed regions; see Filter.
func (s *Set) InRegions(allowed region.Set) *Set {
	return s.Filter(func(endpoint *Endpoint) bool { return allowed.Has(endpoint.Region) })
}

// UsableCount returns the number of endpoints that may receive new calls by the state that
// their daemons report.
func (s *Set) UsableCount() int { return s.usableCount }

// BlockedByEvacuation reports whether no endpoint may receive new calls and at least one is
// excluded by the evacuation of its zone.
func (s *Set) BlockedByEvacuation() bool {
	return s.usableCount == 0 && slices.ContainsFunc(s.All, func(endpoint *Endpoint) bool {
		return endpoint.State == protocol.EndpointEvacuated
	})
}

// Tried lists the endpoints that a call has already been sent to.
type Tried []*Endpoint

// contains reports whether the endpoint is listed. It compares the statistics by identity,
// because the set may be replaced between two attempts of a call.
func (t Tried) contains(candidate *Endpoint) bool {
	for _, tried := range t {
		if tried.stats == candidate.stats {
			return true
		}
	}
	return false
}

// HasUntried reports whether an untried endpoint accepts calls.
func (s *Set) HasUntried(now time.Duration, tried Tried) bool {
	return s.hasUntriedMatching(now, tried, func(*Endpoint) bool { return true })
}

// HasUntriedWithCapacity reports whether an untried endpoint accepts calls and has not just
// refused one for load.
func (s *Set) HasUntriedWithCapacity(now time.Duration, tried Tried) bool {
	return s.hasUntriedMatching(now, tried, func(candidate *Endpoint) bool { return !candidate.isOverloaded(now) })
}

// hasUntriedMatching reports whether an untried endpoint accepts calls and satisfies a condition.
func (s *Set) hasUntriedMatching(now time.Duration, tried Tried, condition func(*Endpoint) bool) bool {
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if !tried.contains(candidate) && !candidate.refusesCalls(now) && condition(candidate) {
				return true
			}
		}
	}
	return false
}

// rendezvousHash returns the rendezvous hash of a key and a back end's name.
func rendezvousHash(key uint64, backend string) uint64 {
	mixed := xxhash.Sum64String(backend) ^ key
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
