package hang

import (
	"math"
	"sync"
	"time"
)

const (
	// balanceSpan is the span in which the least number counts. Calls that have been sent and
	// have not arrived, or were answered while the report was on its way, are no longer
	// missed a few milliseconds later.
	balanceSpan = 200 * time.Millisecond
	// balanceReports is how many reports a span must hold to tell anything.
	balanceReports = 3
	// balanceAge is how old a span may be that still tells something.
	balanceAge = 2 * time.Second
)

// Balance follows how many calls fewer a back end says to hold than are under way there. It
// may be used from several goroutines, of which none waits. The zero value knows nothing.
type MissingCalls struct {
	mutex sync.Mutex
	// since is the start of the present span; least of its reports so many were missing.
	since   time.Duration
	reports int
	least   int
	// last is that of the newest whole span, which ended at lastAt; 0 for none.
	last   int
	lastAt time.Duration
}

// Note takes a back end's report that it holds a number of calls, while so many were under
// way there. One that comes while another is taken is left out: more will come.
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

// Missing is how many are missing; false means that the back end has not told lately.
func (b *MissingCalls) Count(now time.Duration) (int, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.lastAt == 0 || now-b.lastAt > balanceAge {
		return 0, false
	}
	return b.last, true
}

// Reset forgets what an earlier start of the back end has told.
func (b *MissingCalls) Reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reports, b.last, b.lastAt = 0, 0, 0
}
