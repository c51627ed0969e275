package admission

import (
	"sync/atomic"
	"time"
)

// Fingerprint is a 64-bit hash of a request id or key. Two different ids with
// one fingerprint only lead to a refusal, never to a second start.
type Fingerprint uint64

// The values of a cell that are not fingerprints.
const (
	cellEmpty   = 0
	cellRemoved = 1
	firstFree   = 2
	// reservedShift moves the fingerprints that are cell values elsewhere.
	reservedShift = 1 << 63
)

// normal keeps fingerprints clear of the reserved cell values.
func (f Fingerprint) normal() uint64 {
	if f < firstFree {
		return uint64(f) + reservedShift
	}
	return uint64(f)
}

// AddResult tells what Seen.Add found.
type AddResult int

// The results of Seen.Add.
const (
	// Added: the fingerprint was not there and is now.
	Added AddResult = iota + 1
	// Present: it was added before, within the window.
	Present
	// Full: it can't be remembered, so the call may not start.
	Full
)

// generation is an open-addressed table of fingerprints, filled by
// compare-and-swap. Cells go from empty to a fingerprint to removed and never
// back, so a probe that meets an empty cell has seen every earlier addition.
type generation struct {
	cells    []atomic.Uint64
	capacity int
	count    atomic.Int64
	since    time.Duration
}

func newGeneration(capacity int, since time.Duration) *generation {
	size := 16
	for size < 2*capacity {
		size *= 2
	}
	return &generation{cells: make([]atomic.Uint64, size), capacity: capacity, since: since}
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

// retired is a generation that nothing is added to any more.
type retired struct {
	*generation
	// at is when it was retired; whatever it holds was added before.
	at time.Duration
}

// epoch is the generations in use; it is replaced whole.
type epoch struct {
	current *generation
	older   []retired
}

// find tells whether an older generation holds a value.
func (e *epoch) find(value uint64) bool {
	for _, old := range e.older {
		if old.find(value) != nil {
			return true
		}
	}
	return false
}

// firstCapacity is the size of the first generation; a later one is twice as
// large as what the one before it took.
const firstCapacity = 256

// Seen remembers fingerprints for at least a window, in bounded memory and
// without locks. They are added to one generation, which is retired when it is
// full or as old as the window, and dropped a window after that. Nothing is
// forgotten early: when the limit is reached, Add answers Full.
type FingerprintSet struct {
	window time.Duration
	limit  int
	epoch  atomic.Pointer[epoch]
}

// NewSeen returns an empty set that remembers at most limit fingerprints.
func NewFingerprintSet(now, window time.Duration, limit int) *FingerprintSet {
	seen := &FingerprintSet{window: window, limit: max(limit, 1)}
	first := newGeneration(min(firstCapacity, seen.limit), now)
	seen.epoch.Store(&epoch{current: first})
	return seen
}

// Add remembers a fingerprint unless it is there. Of several concurrent calls
// with one fingerprint at most one gets Added.
func (s *FingerprintSet) Add(now time.Duration, fingerprint Fingerprint) AddResult {
	value := fingerprint.normal()
	for {
		held := s.rotate(now)
		if held.find(value) || held.current.find(value) != nil {
			return Present
		}
		if int(held.current.count.Load()) >= held.current.capacity {
			// Rotate would have made room if the limit allowed it.
			return Full
		}
		outcome := held.current.add(value)
		if outcome != Added {
			return outcome
		}
		// If the generations were replaced meanwhile, another call may have
		// looked into this one before the value stood in it and added the value
		// to the newer one. Going round again settles which of them wins: the
		// value is added to the newer generation by one of them only.
		if s.epoch.Load() == held {
			return Added
		}
		held.current.remove(value)
	}
}

// Has tells whether a fingerprint is remembered.
func (s *FingerprintSet) Contains(fingerprint Fingerprint) bool {
	value := fingerprint.normal()
	held := s.epoch.Load()
	return held.current.find(value) != nil || held.find(value)
}

// Remove forgets a fingerprint whose call is certain not to have run.
func (s *FingerprintSet) Remove(fingerprint Fingerprint) {
	value := fingerprint.normal()
	held := s.epoch.Load()
	held.current.remove(value)
	for _, old := range held.older {
		old.remove(value)
	}
}

func (g *generation) remove(value uint64) {
	if cell := g.find(value); cell != nil {
		cell.CompareAndSwap(value, cellRemoved)
	}
}

// rotate retires the current generation when it is full or has covered the
// window, and drops those that were retired a window ago.
func (s *FingerprintSet) rotate(now time.Duration) *epoch {
	for {
		held := s.epoch.Load()
		full := int(held.current.count.Load()) >= held.current.capacity
		if !full && now-held.current.since < s.window {
			return held
		}
		next := s.successor(held, now)
		if next == nil {
			return held
		}
		if s.epoch.CompareAndSwap(held, next) {
			return next
		}
	}
}

// successor is the epoch after one, or nil when nothing would change. At the
// limit its current generation has no room at all, and older ones go on aging.
func (s *FingerprintSet) successor(held *epoch, now time.Duration) *epoch {
	next := &epoch{}
	taken := 0
	if held.current.capacity > 0 {
		next.older = append(next.older, retired{generation: held.current, at: now})
		taken += int(held.current.count.Load())
	}
	for _, old := range held.older {
		if now-old.at < s.window {
			next.older = append(next.older, old)
			taken += int(old.count.Load())
		}
	}
	capacity := max(2*int(held.current.count.Load()), min(firstCapacity, s.limit))
	capacity = max(0, min(capacity, s.limit-taken))
	if capacity == 0 && held.current.capacity == 0 {
		return nil
	}
	next.current = newGeneration(capacity, now)
	return next
}
