package endpoint

import "time"

const (
	// ejectionFloor is the minimum share of a set that is not ejected. Ejections are
	// ignored while fewer endpoints than that are left.
	ejectionFloor = 0.5
	// degradedLimit is the largest share of degraded endpoints in a set at which
	// these endpoints are avoided. A larger share points to a common cause, such as a shared
	// dependency; avoiding some endpoints would then only overload the others.
	degradedLimit = 0.3
)

// Spillover sets the load thresholds at which calls leave the own zone. The load is that of
// Endpoint.load: at 1 the new call occupies the last slot of a warm endpoint.
type Spillover struct {
	// Above is the load of the better candidate of the own zone above which
	// endpoints of other zones are considered.
	Above float64
	// Zone and Region are the load difference by which an endpoint of another
	// zone or region must be less loaded to be preferred.
	Zone   float64
	Region float64
}

// DefaultSpillover returns thresholds at which endpoints of other zones are considered before
// all slots of the own zone are occupied.
func DefaultSpillover() Spillover { return Spillover{Above: 0.75, Zone: 0.25, Region: 1} }

// penalty returns the load added to an endpoint at a distance.
func (s Spillover) penalty(distance int) float64 {
	return [tierCount]float64{0, s.Zone, s.Region}[distance]
}

// Choose picks the endpoint of a call: the better of two drawn at random in the own zone or,
// if its load is above Spillover.Above, possibly an endpoint drawn in the same way in another
// zone or region. random must be uniform. Choose returns nil when no endpoint may receive the call;
// endpoints in tried are chosen again only if there is no other.
func (s *Set) Choose(now time.Duration, random uint64, tried Tried) *Endpoint {
	chosen := s.choose(now, random, tried, true)
	if chosen == nil && s.ColdWait(now) > 0 {
		return nil // a cold endpoint accepts a call soon
	}
	if chosen == nil {
		// All remaining endpoints are ejected; try one rather than refuse the call.
		chosen = s.choose(now, random, tried, false)
	}
	if chosen == nil && len(tried) > 0 {
		chosen = s.choose(now, random, nil, false)
	}
	return chosen
}

// choose picks an endpoint for Choose. Unless avoidUnhealthy is set, it also considers
// ejected and degraded endpoints.
func (s *Set) choose(now time.Duration, random uint64, tried Tried, avoidUnhealthy bool) *Endpoint {
	var best *Endpoint
	bestLoad := 0.0
	var excluded exclusions
	if avoidUnhealthy {
		excluded = s.exclusionsAt(now)
	}
	for distance, tier := range s.tiers {
		candidate := betterOfTwo(tier, now, random, tried, excluded)
		if candidate == nil {
			continue
		}
		load := candidate.load(now) + s.spill.penalty(distance)
		if best == nil || load < bestLoad {
			best = candidate
			bestLoad = load
		}
		if bestLoad <= s.spill.Above+s.spill.penalty(distance) {
			break
		}
	}
	return best
}

// exclusions selects which kinds of unhealthy endpoints a choice skips.
type exclusions struct {
	ejected  bool
	degraded bool
}

// excludes reports whether the endpoint is skipped.
func (x exclusions) excludes(candidate *Endpoint, now time.Duration) bool {
	return (x.ejected && candidate.Ejected(now)) || (x.degraded && candidate.isDegraded())
}

// exclusionsAt returns the exclusions that leave enough endpoints of the set in use.
func (s *Set) exclusionsAt(now time.Duration) exclusions {
	ejected := 0
	degraded := 0
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if candidate.Ejected(now) {
				ejected++
			}
			if candidate.isDegraded() {
				degraded++
			}
		}
	}
	return exclusions{
		ejected:  float64(ejected) <= float64(s.usableCount)*ejectionFloor,
		degraded: float64(degraded) <= float64(s.usableCount)*degradedLimit,
	}
}

// betterOfTwo draws two endpoints of a tier and returns the one with the shorter
// expected completion time. It returns nil when the tier has no usable endpoint.
func betterOfTwo(tier []*Endpoint, now time.Duration, random uint64, tried Tried, excluded exclusions) *Endpoint {
	if len(tier) == 0 {
		return nil
	}
	high := int(random >> 32)
	low := int(random & 0xffffffff)
	first := firstUsableFrom(tier, high, now, tried, excluded, nil)
	if first == nil {
		return nil
	}
	second := firstUsableFrom(tier, low, now, tried, excluded, first)
	if second != nil && first.isLimited() != second.isLimited() {
		return pickWithLimited(first, second, now, random)
	}
	if second == nil || first.preferredOver(second, now, random) {
		return first
	}
	return second
}

// firstUsableFrom returns the first usable endpoint at or after the start position,
// wrapping around and skipping the endpoint that has been drawn already.
func firstUsableFrom(tier []*Endpoint, start int, now time.Duration, tried Tried, excluded exclusions, drawn *Endpoint) *Endpoint {
	for step := range tier {
		candidate := tier[(start+step)%len(tier)]
		if candidate == drawn || tried.contains(candidate) || candidate.refusesCalls(now) {
			continue
		}
		if excluded.excludes(candidate, now) {
			continue
		}
		return candidate
	}
	return nil
}

// ChooseByRequestKey picks by the hash of a request key and ignores load and ejections,
// so that two requests for one operation reach the same gate, which refuses the
// second. This is best effort: a membership change can move a key.
func (s *Set) ChooseByRequestKey(now time.Duration, key uint64, tried Tried) *Endpoint {
	best := s.highestRanked(now, key, tried, exclusions{})
	if best == nil {
		return s.Choose(now, key, tried)
	}
	return best
}

// ChooseByContentHash picks by the hash of the request content and ignores load, so that all
// daemons send equal requests to the same gate. Unlike with a request key, ejected
// endpoints are skipped.
func (s *Set) ChooseByContentHash(now time.Duration, key uint64, tried Tried) *Endpoint {
	best := s.highestRanked(now, key, tried, exclusions{ejected: true})
	if best == nil {
		return s.Choose(now, key, tried)
	}
	return best
}

// highestRanked returns the usable endpoint with the highest rendezvous hash. Endpoints of
// other regions are used only if the own region has none.
func (s *Set) highestRanked(now time.Duration, key uint64, tried Tried, excluded exclusions) *Endpoint {
	var best *Endpoint
	var bestHash uint64
	for distance, tier := range s.tiers {
		if best != nil && distance == tierCount-1 {
			break
		}
		for _, candidate := range tier {
			if tried.contains(candidate) || candidate.refusesCalls(now) || excluded.excludes(candidate, now) {
				continue
			}
			if hash := rendezvousHash(key, candidate.Backend); best == nil || hash > bestHash {
				best = candidate
				bestHash = hash
			}
		}
	}
	return best
}

// ChooseRoundRobin picks endpoints round robin, regardless of load and distance. It
// is a baseline for comparisons only.
func (s *Set) ChooseRoundRobin(now time.Duration, turn uint64, tried Tried) *Endpoint {
	if s.usableCount == 0 {
		return nil
	}
	for step := range uint64(s.usableCount) {
		candidate := s.nthUsable(int((turn + step) % uint64(s.usableCount)))
		if !tried.contains(candidate) && !candidate.refusesCalls(now) {
			return candidate
		}
	}
	return s.nthUsable(int(turn % uint64(s.usableCount)))
}

// nthUsable returns the usable endpoint at an index, counted across the tiers.
func (s *Set) nthUsable(index int) *Endpoint {
	for _, tier := range s.tiers {
		if index < len(tier) {
			return tier[index]
		}
		index -= len(tier)
	}
	return nil
}
