package proxy

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
)

const (
	// maxCallRate is the highest call rate that a back end may state, in calls per second.
	maxCallRate = 1e6
	// maxCallRateLength is the maximum length of a stated call rate, in bytes.
	maxCallRateLength = 24
	// significantRateChange is the change of a call rate, as a fraction, from which it is reported. A
	// rate that begins or ends is always reported.
	significantRateChange = 0.2
	// noticeFaultLogsPerSecond and noticeFaultLogBurst limit the rate of log lines on invalid notices.
	noticeFaultLogsPerSecond = 0.2
	noticeFaultLogBurst      = 5
	// maxLoggedNotice is the number of bytes of an invalid value that are logged.
	maxLoggedNotice = 40
	// leavingValue is the value of Edge.Leaving with which a back end states that it leaves.
	leavingValue = "1"
)

// rateNotice is what an answer states about the call rate of its back end.
type rateNotice int

const (
	// rateAbsent means that the answer states no call rate.
	rateAbsent rateNotice = iota
	rateStated
	// rateInvalid means that the answer states a value that is no call rate. It changes nothing.
	rateInvalid
)

// backendNotices is the state that a back end has stated about itself in its answers to calls.
type backendNotices struct {
	// isLimited is set while a call rate is in force, so that answers that state none need no lock.
	isLimited atomic.Bool
	faults    atomic.Uint64
	faultLogs *logging.Rate

	mutex sync.Mutex
	// start is the start of the back end that the fields below belong to.
	start protocol.BackendStart
	// rate is the call rate in force, 0 if none; statedAt is when an answer last stated or lowered it.
	rate     float64
	statedAt time.Duration
	// reportedRate is the call rate that was last reported.
	reportedRate float64
	// isLeaving is set once the start has stated that it leaves.
	isLeaving bool
	// restored is what a start had stated to an earlier process of this daemon.
	restored restoredRate
}

// restoredRate is a call rate that a start of the back end has stated; the zero value is none.
type restoredRate struct {
	start protocol.BackendStart
	rate  float64
}

// newNoticeFaultLogs returns the rate limit of log lines on invalid notices.
func newNoticeFaultLogs() *logging.Rate {
	return logging.NewRate(noticeFaultLogsPerSecond, noticeFaultLogBurst)
}

// parseCallRate reads a call rate in calls per second: a positive decimal number of plain digits, with a
// fraction or without, in a single header line.
func parseCallRate(lines []string) (float64, rateNotice) {
	if len(lines) == 0 {
		return 0, rateAbsent
	}
	if len(lines) > 1 || !isPlainDecimal(lines[0]) {
		return 0, rateInvalid
	}
	rate, err := strconv.ParseFloat(lines[0], 64)
	if err != nil || !(rate > 0 && rate <= maxCallRate) {
		return 0, rateInvalid
	}
	return rate, rateStated
}

// isPlainDecimal reports whether a text is a number of at most maxCallRateLength digits with at most one
// point between them.
func isPlainDecimal(text string) bool {
	if len(text) == 0 || len(text) > maxCallRateLength {
		return false
	}
	points := 0
	for index, char := range []byte(text) {
		switch {
		case char == '.' && index > 0 && index < len(text)-1:
			points++
		case char < '0' || char > '9':
			return false
		}
	}
	return points <= 1
}

// observeNotices applies what a back end states about itself in an answer to a call that was sent at
// sentAt. Answers of an earlier start are ignored.
func (p *Proxy) observeNotices(start protocol.BackendStart, sentAt time.Duration, header http.Header) {
	edge := p.config.Edge
	if edge == nil || start != p.backendStart() {
		return
	}
	if len(header[edge.Leaving]) > 0 {
		p.observeLeaving(start, header)
	}
	rate, notice := parseCallRate(header[edge.CallRate])
	switch {
	case notice == rateInvalid:
		p.recordNoticeFault(start, edge.CallRate, header[edge.CallRate])
	case notice == rateStated || p.notices.isLimited.Load():
		p.observeCallRate(start, sentAt, rate)
	}
}

// statesLeaving reports whether an answer states that its back end leaves. The Edge may be nil.
func (e *Edge) statesLeaving(header http.Header) bool {
	if e == nil {
		return false
	}
	lines := header[e.Leaving]
	return len(lines) == 1 && lines[0] == leavingValue
}

// observeLeaving handles the statement of a back end that it leaves. On return no new call is sent to it.
func (p *Proxy) observeLeaving(start protocol.BackendStart, header http.Header) {
	if !p.config.Edge.statesLeaving(header) {
		p.recordNoticeFault(start, p.config.Edge.Leaving, header[p.config.Edge.Leaving])
		return
	}
	if !p.markLeaving(start) {
		return
	}
	p.gate.Drain()
	if p.config.OnBackendLeaving != nil {
		p.config.OnBackendLeaving(start)
	}
}

// markLeaving records that a start leaves, and reports whether this is new.
func (p *Proxy) markLeaving(start protocol.BackendStart) bool {
	p.notices.mutex.Lock()
	defer p.notices.mutex.Unlock()
	p.useNoticesOf(start)
	wasLeaving := p.notices.isLeaving
	p.notices.isLeaving = true
	return !wasLeaving
}

// observeCallRate puts a call rate in force, or ends it if rate is 0.
func (p *Proxy) observeCallRate(start protocol.BackendStart, sentAt time.Duration, rate float64) {
	if p.applyCallRate(start, sentAt, rate) && p.config.OnCallRate != nil {
		p.config.OnCallRate(start)
	}
}

// applyCallRate is observeCallRate without the report, and reports whether one is due.
func (p *Proxy) applyCallRate(start protocol.BackendStart, sentAt time.Duration, rate float64) bool {
	p.notices.mutex.Lock()
	defer p.notices.mutex.Unlock()
	now := p.config.Clock()
	if p.notices.updateRate(start, sentAt, now, rate) {
		p.gate.SetCallRate(now, rate)
	}
	return p.notices.takeRateReport()
}

// RestoreCallRate puts the call rate in force that a start of the back end has stated to an earlier process
// of this daemon, until an answer of that start states otherwise.
func (p *Proxy) RestoreCallRate(start protocol.BackendStart, perSecond float64) {
	p.notices.mutex.Lock()
	defer p.notices.mutex.Unlock()
	p.notices.restored = restoredRate{start: start, rate: perSecond}
	if start == p.backendStart() && p.notices.statedAt == 0 {
		p.applyRestoredRate()
	}
}

// applyRestoredRate puts the restored rate in force for its start; the mutex must be held.
func (p *Proxy) applyRestoredRate() {
	now := p.config.Clock()
	if p.notices.updateRate(p.notices.restored.start, now, now, p.notices.restored.rate) {
		p.gate.SetCallRate(now, p.notices.restored.rate)
	}
}

// CallRate returns the number of calls per second that the back end states to accept; 0 if it states
// none.
func (p *Proxy) CallRate() float64 { return p.gate.CallRate() }

// resetNotices replaces the notices of an earlier start of the back end by what is restored for this one.
func (p *Proxy) resetNotices(start protocol.BackendStart) {
	p.notices.mutex.Lock()
	defer p.notices.mutex.Unlock()
	p.useNoticesOf(start)
	if start == p.notices.restored.start && p.notices.statedAt == 0 {
		p.applyRestoredRate()
	}
}

// useNoticesOf ends the call rate of another start of the back end; the mutex must be held.
func (p *Proxy) useNoticesOf(start protocol.BackendStart) {
	if p.notices.useStart(start) {
		p.gate.SetCallRate(p.config.Clock(), 0)
	}
}

// recordNoticeFault counts an invalid notice and logs it at a limited rate.
func (p *Proxy) recordNoticeFault(start protocol.BackendStart, name string, lines []string) {
	p.notices.faults.Add(1)
	if !p.notices.faultLogs.Allow(p.config.Clock()) {
		return
	}
	value := lines[0][:min(len(lines[0]), maxLoggedNotice)]
	p.logEvent("backend_notice_refused", textField("backend", start.Instance), textField("header", name),
		textField("value", strconv.QuoteToASCII(value)), textField("lines", formatInt(len(lines))))
}

// useStart forgets the notices of another start, and reports whether a call rate was among them. The
// mutex must be held.
func (n *backendNotices) useStart(start protocol.BackendStart) (forgotRate bool) {
	if n.start == start {
		return false
	}
	forgotRate = n.rate > 0
	n.start, n.rate, n.statedAt, n.reportedRate, n.isLeaving = start, 0, 0, 0, false
	n.isLimited.Store(false)
	return forgotRate
}

// updateRate applies the call rate of an answer, 0 if it states none, and reports whether the rate in
// force has changed. Answers may arrive out of order: a lower rate applies at once, a higher one or
// the end of the limit only if the call was sent after the present rate was stated. The mutex must be
// held.
func (n *backendNotices) updateRate(start protocol.BackendStart, sentAt, now time.Duration, rate float64) bool {
	changed := n.useStart(start)
	isLower := rate > 0 && (n.rate == 0 || rate < n.rate)
	if rate == n.rate || !isLower && sentAt < n.statedAt {
		return changed
	}
	n.rate, n.statedAt = rate, now
	n.isLimited.Store(rate > 0)
	return true
}

// takeRateReport reports whether the call rate in force differs significantly from the reported one, and
// counts it as reported then. The mutex must be held.
func (n *backendNotices) takeRateReport() bool {
	begins := (n.rate > 0) != (n.reportedRate > 0)
	if !begins && math.Abs(n.rate-n.reportedRate) <= significantRateChange*n.reportedRate {
		return false
	}
	n.reportedRate = n.rate
	return true
}
