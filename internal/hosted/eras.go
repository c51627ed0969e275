package hosted

import (
	"strconv"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/authority"
)

// eras keeps the era of the store that this daemon knows of: it rises when the store has come back
// from an older copy. It may be used by several goroutines.
type eraTracker struct {
	events eventLog
	clock  func() time.Duration
	// risen are called after each rise, without a lock; they must not block.
	onRise []func(era uint64)

	mutex sync.Mutex
	era   uint64
	// risenAt is when the era rose last; 0 when it has not since the daemon's start.
	risenAt time.Duration
	// faults counts the answers that did not tell their era.
	unreadableEras uint64
}

// known is the newest era known; 0 for none.
func (e *eraTracker) current() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.era
}

// faultCount is how many answers of the store did not tell their era.
func (e *eraTracker) unreadableCount() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.unreadableEras
}

// sinceRise is how long ago the era rose; false if it has not since the daemon's start.
func (e *eraTracker) timeSinceRise() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.clock() - e.risenAt, e.risenAt != 0
}

// answered takes the era of an answer of the store; 0 and a fault where it can't be read.
func (e *eraTracker) recordAnswer(era uint64, fault error) {
	if fault != nil {
		e.recordFault(fault)
		return
	}
	e.observe(era, sourceStore)
}

func (e *eraTracker) recordFault(fault error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unreadableEras++
	if e.unreadableEras == 1 {
		e.events.event("store_era_untold", field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
	}
}

// heard takes word of an era, by a source. An earlier one than is known moves nothing back.
func (e *eraTracker) observe(era uint64, source string) {
	if !e.advance(era, source) {
		return
	}
	for _, risen := range e.onRise {
		risen(era)
	}
}

// rises keeps an era that is news, and tells whether it is a later one than the daemon has known.
func (e *eraTracker) advance(era uint64, source string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := e.era
	if era <= before {
		return false
	}
	e.era = era
	if before == 0 {
		return false
	}
	e.risenAt = e.clock()
	e.events.event("store_era_changed", field("era", strconv.FormatUint(era, 10)),
		field("before", strconv.FormatUint(before, 10)), field("source", source))
	return true
}

// place is a position as an answer of the store told it. One without an era is taken for one of the
// era that is known.
func (e *eraTracker) withEra(at authority.Position) authority.Position {
	if at.Era == 0 {
		at.Era = e.current()
	}
	return at
}

// lapsed tells whether a position is of an era that has ended.
func (e *eraTracker) hasEnded(at authority.Position) bool { return at.Era < e.current() }
