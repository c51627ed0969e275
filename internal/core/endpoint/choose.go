package endpoint

import "time"

const (
	// ejectionFloor is the share of a set that is always left in use: when more
	// than that is ejected, ejections are not heeded.
	ejectionFloor = 0.5
	// degradedLimit is the share of a set that may be degraded. When more is, the
	// cause is likely common to all, such as a service that they call, and to
	// leave some out would only burden the others.
	degradedLimit = 0.3
)

// Spill says how much load calls bear to stay near. Loads are calls by slots, so
// that 1 is an endpoint whose slots are all taken.
type Spillover struct {
	// Above is the load of the better choice in the own zone above which the
	// next zone is looked at.
	Above float64
	// Zone and Region are how much less loaded an endpoint of another zone or
	// region must be.
	Zone   float64
	Region float64
}

// DefaultSpill looks at the next zone before the slots of the own are full.
func DefaultSpillover() Spillover { return Spillover{Above: 0.75, Zone: 0.25, Region: 1} }

// penalty is what an endpoint at a distance must be less loaded by.
func (s Spillover) penalty(distance int) float64 {
	return [tierCount]float64{0, s.Zone, s.Region}[distance]
}

// Choose picks the endpoint of a call: the less loaded of two drawn at random
// in the own zone, or of two farther ones when those are close to full. Random
// is a uniform random number. It answers nil when no endpoint may take the
// call; those tried already are chosen again only if there is no other.
func (s *Set) Choose(now time.Duration, random uint64, tried Tried) *Endpoint {
	chosen := s.choose(now, random, tried, true)
	if chosen == nil && s.ColdWait(now) > 0 {
		return nil // soon a cold one has a start
	}
	if chosen == nil {
		// Everything left is ejected. Trying it beats refusing the call.
		chosen = s.choose(now, random, tried, false)
	}
	if chosen == nil && len(tried) > 0 {
		chosen = s.choose(now, random, nil, false)
	}
	return chosen
}

func (s *Set) choose(now time.Duration, random uint64, tried Tried, heedEvidence bool) *Endpoint {
	var best *Endpoint
	bestLoad := 0.0
	var heed heeded
	if heedEvidence {
		heed = s.heeds(now)
	}
	for distance, tier := range s.tiers {
		candidate := betterOfTwo(tier, now, random, tried, heed)
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

// heeded says which evidence against endpoints is heeded in a choice.
type heeded struct {
	ejections bool
	degraded  bool
}

// bars tells whether an endpoint is left out.
func (h heeded) bars(candidate *Endpoint, now time.Duration) bool {
	return (h.ejections && candidate.Ejected(now)) || (h.degraded && candidate.degraded())
}

// heeds tells which evidence leaves enough of the set in use.
func (s *Set) heeds(now time.Duration) heeded {
	ejected := 0
	degraded := 0
	for _, tier := range s.tiers {
		for _, candidate := range tier {
			if candidate.Ejected(now) {
				ejected++
			}
			if candidate.degraded() {
				degraded++
			}
		}
	}
	return heeded{
		ejections: float64(ejected) <= float64(s.usable)*ejectionFloor,
		degraded:  float64(degraded) <= float64(s.usable)*degradedLimit,
	}
}

// betterOfTwo draws two endpoints of a tier and returns the one that is expected
// to be done sooner.
func betterOfTwo(tier []*Endpoint, now time.Duration, random uint64, tried Tried, heed heeded) *Endpoint {
	if len(tier) == 0 {
		return nil
	}
	high := int(random >> 32)
	low := int(random & 0xffffffff)
	first := usableFrom(tier, high, now, tried, heed, nil)
	if first == nil {
		return nil
	}
	second := usableFrom(tier, low, now, tried, heed, first)
	if second != nil && first.cold() != second.cold() {
		return warmOrCold(first, second, now, random)
	}
	if second == nil || first.goesBefore(second, now, random) {
		return first
	}
	return second
}

// usableFrom returns the first endpoint that may be used, from a random place
// on, other than one that was drawn already.
func usableFrom(tier []*Endpoint, start int, now time.Duration, tried Tried, heed heeded, drawn *Endpoint) *Endpoint {
	for step := range tier {
		candidate := tier[(start+step)%len(tier)]
		if candidate == drawn || tried.has(candidate) || candidate.shut(now) {
			continue
		}
		if heed.bars(candidate, now) {
			continue
		}
		return candidate
	}
	return nil
}

// ChooseKeyed picks by the hash of a request key, so that two sendings of one
// operation meet at the same gate, which refuses the second. It heeds load no
// more than ejection does. With membership changing it is a help only.
func (s *Set) ChooseByRequestKey(now time.Duration, key uint64, tried Tried) *Endpoint {
	best := s.firstRanked(now, key, tried, heeded{})
	if best == nil {
		return s.Choose(now, key, tried)
	}
	return best
}

// ChooseRanked picks by the hash of what is sent, so that all callers' sides send it to the
// same gate, whatever the load there. Other than with a request key, a gate that does not
// answer is passed over.
func (s *Set) ChooseByContentHash(now time.Duration, key uint64, tried Tried) *Endpoint {
	best := s.firstRanked(now, key, tried, heeded{ejections: true})
	if best == nil {
		return s.Choose(now, key, tried)
	}
	return best
}

// firstRanked is the first by rendezvous hashing of those that may be used, outside of the
// own region only if there is none inside.
func (s *Set) firstRanked(now time.Duration, key uint64, tried Tried, heed heeded) *Endpoint {
	var best *Endpoint
	var bestHash uint64
	for distance, tier := range s.tiers {
		if best != nil && distance == tierCount-1 {
			break
		}
		for _, candidate := range tier {
			if tried.has(candidate) || candidate.shut(now) || heed.bars(candidate, now) {
				continue
			}
			if hash := keyedHash(key, candidate.Backend); best == nil || hash > bestHash {
				best = candidate
				bestHash = hash
			}
		}
	}
	return best
}

// ChooseInTurn takes the endpoints one after the other, whatever their load
// and place. It is for comparisons only.
func (s *Set) ChooseRoundRobin(now time.Duration, turn uint64, tried Tried) *Endpoint {
	if s.usable == 0 {
		return nil
	}
	for step := range uint64(s.usable) {
		candidate := s.nth(int((turn + step) % uint64(s.usable)))
		if !tried.has(candidate) && !candidate.shut(now) {
			return candidate
		}
	}
	return s.nth(int(turn % uint64(s.usable)))
}

func (s *Set) nth(index int) *Endpoint {
	for _, tier := range s.tiers {
		if index < len(tier) {
			return tier[index]
		}
		index -= len(tier)
	}
	return nil
}
