package hosted

import (
	"strconv"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/authority"
)

// eraTracker tracks the newest known era of the store. An era is the time between two restorations of
// the store from an older copy; eras are numbered in ascending order. It is safe for concurrent use.
type eraTracker struct {
	events eventLog
	clock  func() time.Duration
	// onRise holds functions that are called after each rise of the era, without the lock. They must
	// not block.
	onRise []func(era uint64)

	mutex sync.Mutex
	era   uint64
	// risenAt is when the era last rose; 0 if it has not risen since the start of the daemon.
	risenAt time.Duration
	// unreadableEras counts the answers of the store without a readable era.
	unreadableEras uint64
}

// current returns the newest known era, or 0 if none is known.
func (e *eraTracker) current() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.era
}

// unreadableCount returns the number of answers of the store without a readable era.
func (e *eraTracker) unreadableCount() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.unreadableEras
}

// timeSinceRise returns the time since the era last rose, and false if it has not risen since the
// start of the daemon.
func (e *eraTracker) timeSinceRise() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.clock() - e.risenAt, e.risenAt != 0
}

// recordAnswer records the era of an answer of the store, or the fault that made it unreadable. It
// implements EraHandler.
func (e *eraTracker) recordAnswer(era uint64, fault error) {
	if fault != nil {
		e.recordFault(fault)
		return
	}
	e.observe(era, sourceStore)
}

// recordFault counts an answer without a readable era, and logs the first one.
func (e *eraTracker) recordFault(fault error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unreadableEras++
	if e.unreadableEras == 1 {
		e.events.event("store_era_untold", field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
	}
}

// observe records an era reported by a source and calls onRise if the era has risen. Eras that are
// not later than the known one are ignored.
func (e *eraTracker) observe(era uint64, source string) {
	if !e.advance(era, source) {
		return
	}
	for _, notify := range e.onRise {
		notify(era)
	}
}

// advance stores an era if it is later than the known one, and reports whether the era has risen.
// Learning the first era does not count as a rise.
func (e *eraTracker) advance(era uint64, source string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	previous := e.era
	if era <= previous {
		return false
	}
	e.era = era
	if previous == 0 {
		return false
	}
	e.risenAt = e.clock()
	e.events.event("store_era_changed", field("era", strconv.FormatUint(era, 10)),
		field("before", strconv.FormatUint(previous, 10)), field("source", source))
	return true
}

// withEra returns a position from an answer of the store. A position without an era is assumed to
// be of the current era.
func (e *eraTracker) withEra(position authority.Position) authority.Position {
	if position.Era == 0 {
		position.Era = e.current()
	}
	return position
}

// hasEnded reports whether the era of a position has ended.
func (e *eraTracker) hasEnded(position authority.Position) bool { return position.Era < e.current() }
