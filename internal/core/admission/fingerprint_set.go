package admission

import (
	"sync/atomic"
	"time"
)

// Fingerprint is a 64-bit hash of a request id or key. A hash collision can only
// cause a refusal, never a second start.
type Fingerprint uint64

// Reserved values of a cell. All other values are fingerprints.
const (
	cellEmpty        = 0
	cellRemoved      = 1
	firstFingerprint = 2
	// reservedOffset is added to fingerprints that equal a reserved value.
	reservedOffset = 1 << 63
)

// cellValue returns the fingerprint as a cell value that is not reserved.
func (f Fingerprint) cellValue() uint64 {
	if f < firstFingerprint {
		return uint64(f) + reservedOffset
	}
	return uint64(f)
}

// AddResult is the result of FingerprintSet.Add.
type AddResult int

// The results of FingerprintSet.Add.
const (
	// Added means that the fingerprint was absent and has been added.
	Added AddResult = iota + 1
	// Present means that the fingerprint was added before, within the window.
	Present
	// Full means that the set has no room for the fingerprint, so the call must not
	// start.
	Full
)

// generation is an open-addressed hash table of fingerprints, filled by
// compare-and-swap. A cell changes from empty to a fingerprint to removed and never
// back, so a lookup that reaches an empty cell has seen every earlier addition.
type generation struct {
	cells     []atomic.Uint64
	capacity  int
	count     atomic.Int64
	startedAt time.Duration
}

func newGeneration(capacity int, startedAt time.Duration) *generation {
	size := 16
	for size < 2*capacity {
		size *= 2
	}
	return &generation{cells: make([]atomic.Uint64, size), capacity: capacity, startedAt: startedAt}
}

func (g *generation) find(value uint64) *atomic.Uint64 {
	mask := uint64(len(g.cells) - 1)
	for step := uint64(0); step <= mask; step++ {
		cell := &g.cells[(value+step)&mask]
		switch cell.Load() {
		case value:
			return cell
		case cellEmpty:
			return nil
		}
	}
	return nil
}

func (g *generation) add(value uint64) AddResult {
	mask := uint64(len(g.cells) - 1)
	for step := uint64(0); step <= mask; step++ {
		cell := &g.cells[(value+step)&mask]
		for {
			current := cell.Load()
			if current == value {
				return Present
			}
			if current != cellEmpty {
				break
			}
			if cell.CompareAndSwap(cellEmpty, value) {
				g.count.Add(1)
				return Added
			}
		}
	}
	return Full
}

// retiredGeneration is a generation to which no more fingerprints are added.
type retiredGeneration struct {
	*generation
	// retiredAt is the time of retirement; all its fingerprints were added before.
	retiredAt time.Duration
}

// generationSet lists the generations in use. The list is immutable; a rotation replaces
// it as a whole.
type generationSet struct {
	current *generation
	older   []retiredGeneration
}

// contains reports whether an older generation contains a value.
func (s *generationSet) contains(value uint64) bool {
	for _, old := range s.older {
		if old.find(value) != nil {
			return true
		}
	}
	return false
}

// firstCapacity is the capacity of the first generation. Each later generation has
// twice the capacity that its predecessor used.
const firstCapacity = 256

// FingerprintSet remembers fingerprints for at least a time window, in bounded memory
// and without locks. Fingerprints are added to the current generation, which is
// retired when it is full or has reached the age of the window, and is dropped one
// window later. Nothing is dropped early: once the limit is reached, Add returns
// Full.
type FingerprintSet struct {
	window time.Duration
	// limit is the maximum number of fingerprints in all generations.
	limit       int
	generations atomic.Pointer[generationSet]
}

// NewFingerprintSet returns an empty set that remembers at most limit fingerprints.
func NewFingerprintSet(now, window time.Duration, limit int) *FingerprintSet {
	set := &FingerprintSet{window: window, limit: max(limit, 1)}
	first := newGeneration(min(firstCapacity, set.limit), now)
	set.generations.Store(&generationSet{current: first})
	return set
}

// Add adds a fingerprint unless the set contains it. Of several concurrent calls
// with the same fingerprint, at most one returns Added.
func (s *FingerprintSet) Add(now time.Duration, fingerprint Fingerprint) AddResult {
	value := fingerprint.cellValue()
	for {
		generations := s.rotate(now)
		if generations.contains(value) || generations.current.find(value) != nil {
			return Present
		}
		if int(generations.current.count.Load()) >= generations.current.capacity {
			// Either the limit prevents a rotation, or concurrent additions have filled the
			// generation since rotate.
			return Full
		}
		outcome := generations.current.add(value)
		if outcome != Added {
			return outcome
		}
		// If the generations were replaced meanwhile, a concurrent Add may have
		// searched this generation before the value was stored, and added the value to
		// the newer generation. Trying again resolves the race: only one of the two calls
		// adds the value there.
		if s.generations.Load() == generations {
			return Added
		}
		generations.current.remove(value)
	}
}

// Contains reports whether the set contains a fingerprint.
func (s *FingerprintSet) Contains(fingerprint Fingerprint) bool {
	value := fingerprint.cellValue()
	generations := s.generations.Load()
	return generations.current.find(value) != nil || generations.contains(value)
}

// Remove removes a fingerprint. It is meant for calls that certainly did not run.
func (s *FingerprintSet) Remove(fingerprint Fingerprint) {
	value := fingerprint.cellValue()
	generations := s.generations.Load()
	generations.current.remove(value)
	for _, old := range generations.older {
		old.remove(value)
	}
}

func (g *generation) remove(value uint64) {
	if cell := g.find(value); cell != nil {
		cell.CompareAndSwap(value, cellRemoved)
	}
}

// rotate returns the generations in use, after retiring the current one if it is
// full or has reached the age of the window, and dropping those that were retired
// at least one window ago.
func (s *FingerprintSet) rotate(now time.Duration) *generationSet {
	for {
		generations := s.generations.Load()
		full := int(generations.current.count.Load()) >= generations.current.capacity
		if !full && now-generations.current.startedAt < s.window {
			return generations
		}
		next := s.successor(generations, now)
		if next == nil {
			return generations
		}
		if s.generations.CompareAndSwap(generations, next) {
			return next
		}
	}
}

// successor returns the generations after the next rotation, or nil if nothing would
// change. At the limit the new current generation has capacity 0, while older ones
// continue to age.
func (s *FingerprintSet) successor(generations *generationSet, now time.Duration) *generationSet {
	next := &generationSet{}
	used := 0
	if generations.current.capacity > 0 {
		next.older = append(next.older, retiredGeneration{generation: generations.current, retiredAt: now})
		used += int(generations.current.count.Load())
	}
	for _, old := range generations.older {
		if now-old.retiredAt < s.window {
			next.older = append(next.older, old)
			used += int(old.count.Load())
		}
	}
	capacity := max(2*int(generations.current.count.Load()), min(firstCapacity, s.limit))
	capacity = max(0, min(capacity, s.limit-used))
	if capacity == 0 && generations.current.capacity == 0 {
		return nil
	}
	next.current = newGeneration(capacity, now)
	return next
}
