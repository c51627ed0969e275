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
	cells []atomic.Uint64
	count atomic.Int64
	since time.Duration
}

func newGeneration(capacity int, since time.Duration) *generation {
	size := 16
	for size < 2*capacity {
		size *= 2
	}
	return &generation{cells: make([]atomic.Uint64, size), since: since}
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

// pair is the two generations in use; it is replaced whole.
type pair struct {
	current  *generation
	previous *generation
}

// Seen remembers fingerprints for at least a window, in bounded memory and
// without locks: two generations are kept and the older is dropped once the
// newer alone covers the window. When a generation fills up before its window
// has passed, nothing is forgotten early: Add answers Full.
type Seen struct {
	window   time.Duration
	capacity int
	pair     atomic.Pointer[pair]
}

// NewSeen returns an empty set for at most capacity fingerprints a window.
func NewSeen(now, window time.Duration, capacity int) *Seen {
	seen := &Seen{window: window, capacity: max(capacity, 1)}
	seen.pair.Store(&pair{current: newGeneration(seen.capacity, now)})
	return seen
}

// Add remembers a fingerprint unless it is there. Of several concurrent calls
// with one fingerprint at most one gets Added.
func (s *Seen) Add(now time.Duration, fingerprint Fingerprint) AddResult {
	value := fingerprint.normal()
	for {
		held := s.rotate(now)
		if held.previous != nil && held.previous.find(value) != nil {
			return Present
		}
		if held.current.count.Load() >= int64(s.capacity) {
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
		if s.pair.Load() == held {
			return Added
		}
		held.current.remove(value)
	}
}

// Remove forgets a fingerprint whose call is certain not to have run.
func (s *Seen) Remove(fingerprint Fingerprint) {
	value := fingerprint.normal()
	held := s.pair.Load()
	held.current.remove(value)
	if held.previous != nil {
		held.previous.remove(value)
	}
}

func (g *generation) remove(value uint64) {
	if cell := g.find(value); cell != nil {
		cell.CompareAndSwap(value, cellRemoved)
	}
}

// rotate drops the older generation once the newer has covered the window.
func (s *Seen) rotate(now time.Duration) *pair {
	for {
		held := s.pair.Load()
		if now-held.current.since < s.window {
			return held
		}
		next := &pair{current: newGeneration(s.capacity, now), previous: held.current}
		if s.pair.CompareAndSwap(held, next) {
			return next
		}
	}
}
