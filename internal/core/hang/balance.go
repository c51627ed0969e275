package hang

import (
	"math"
	"sync"
	"time"
)

const (
	// balanceSpan is the period over which the minimum is taken. A call that was still on its way,
	// or was answered while the report was on its way, is missing only for a few milliseconds.
	balanceSpan = 200 * time.Millisecond
	// balanceReports is the number of reports that a period must contain to be valid.
	balanceReports = 3
	// balanceAge is the time for which the result of a period remains valid.
	balanceAge = 2 * time.Second
)

// Balance tracks how many of the calls in flight at a back end the back end does not report as
// held. It is safe for concurrent use, and recording never blocks. The zero value has no data.
type MissingCalls struct {
	mutex sync.Mutex
	// since is the start of the present period, least the lowest number of missing calls in its
	// reports.
	since   time.Duration
	reports int
	least   int
	// last is the result of the latest complete period, which ended at lastAt; lastAt is 0 if there
	// is none.
	last   int
	lastAt time.Duration
}

// Note records a back end's report of the number of calls it holds, with the number of calls in
// flight there. A report that arrives while another one is being recorded is dropped, since reports
// are frequent.
func (b *MissingCalls) Record(now time.Duration, underWay, held int) {
	if !b.mutex.TryLock() {
		return
	}
	defer b.mutex.Unlock()
	if b.reports == 0 {
		b.since, b.least = now, math.MaxInt
	}
	b.least = min(b.least, max(underWay-held, 0))
	b.reports++
	if now-b.since < balanceSpan || b.reports < balanceReports {
		return
	}
	b.last, b.lastAt = b.least, max(now, 1)
	b.reports = 0
}

// Missing returns the number of missing calls; false if there is no recent result.
func (b *MissingCalls) Count(now time.Duration) (int, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.lastAt == 0 || now-b.lastAt > balanceAge {
		return 0, false
	}
	return b.last, true
}

// Reset discards the reports of an earlier start of the back end.
func (b *MissingCalls) Reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reports, b.last, b.lastAt = 0, 0, 0
}
