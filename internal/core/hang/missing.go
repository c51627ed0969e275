package hang

import (
	"math"
	"sync"
	"time"
)

const (
	// missingPeriod is the minimum duration of a period. The result of a period is the lowest
	// number of missing calls in its reports, because a call that is on its way to the back end, or
	// is answered while the report is on its way, is missing only for a few milliseconds.
	missingPeriod = 200 * time.Millisecond
	// minReportsPerPeriod is the minimum number of reports in a period. A period with fewer is
	// extended.
	minReportsPerPeriod = 3
	// maxResultAge is the time for which the result of a period remains valid.
	maxResultAge = 2 * time.Second
)

// MissingCalls tracks the number of missing calls of a back end: the calls in flight there minus
// those that it reports as held (running or queued). It is safe for concurrent use, and Record never
// blocks. The zero value has no data.
type MissingCalls struct {
	mutex sync.Mutex
	// periodStart is the start of the present period, lowestMissing the lowest number of missing
	// calls in its reports.
	periodStart   time.Duration
	reports       int
	lowestMissing int
	// lastResult is the result of the latest complete period, which ended at lastResultAt;
	// lastResultAt is 0 if there is none.
	lastResult   int
	lastResultAt time.Duration
}

// Record records a back end's report of the number of calls it holds, with the number of calls in
// flight there. A report that arrives while another one is being recorded is dropped, since reports
// are frequent.
func (m *MissingCalls) Record(now time.Duration, inFlight, held int) {
	if !m.mutex.TryLock() {
		return
	}
	defer m.mutex.Unlock()
	if m.reports == 0 {
		m.periodStart, m.lowestMissing = now, math.MaxInt
	}
	m.lowestMissing = min(m.lowestMissing, max(inFlight-held, 0))
	m.reports++
	if now-m.periodStart < missingPeriod || m.reports < minReportsPerPeriod {
		return
	}
	m.lastResult, m.lastResultAt = m.lowestMissing, max(now, 1) // 0 would mean that there is no result
	m.reports = 0
}

// Count returns the number of missing calls; false if there is no recent result.
func (m *MissingCalls) Count(now time.Duration) (int, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.lastResultAt == 0 || now-m.lastResultAt > maxResultAge {
		return 0, false
	}
	return m.lastResult, true
}

// Reset discards the reports of an earlier start of the back end.
func (m *MissingCalls) Reset() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reports, m.lastResult, m.lastResultAt = 0, 0, 0
}
