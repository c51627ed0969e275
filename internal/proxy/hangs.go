package proxy

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/hang"
	"github.com/springstack/springstack/internal/core/protocol"
)

const (
	// hangLook is the time between looks for calls that hang: a tenth of what a caller may
	// expect of a usual call, so that most of its time is left for another attempt.
	hangCheckInterval = 100 * time.Millisecond
	// watchedCells bounds the calls that are watched at a time; more are not, and wait for
	// their deadlines.
	maxWatchedCalls = 256
)

// confirmed is the value of a header that says yes; it is never changed.
var trueHeaderValue = []string{"1"}

// sending is one sending of a call to the back end. It is not changed while it is watched.
type dispatch struct {
	call   *gateCall
	start  protocol.BackendStart
	sentAt time.Duration
	// hangs says that it was found to hang.
	isHung atomic.Bool
}

// hangs watches the calls under way at the back end for such as are never answered. A call
// pays two atomic writes for it.
type hangDetector struct {
	recentAnswers hang.RecentAnswers
	missingCalls  hang.MissingCalls
	// cells hold the calls under way, count how many there are, also without a cell.
	cells     [maxWatchedCalls]atomic.Pointer[dispatch]
	nextCell  atomic.Uint32
	callCount atomic.Int64
}

const (
	// noCell stands for a call that found no free cell.
	noCell = -1
	// cellTries is how many cells a call looks at: with half of them taken, one call in 256
	// finds none.
	maxCellProbes = 8
)

// enter begins to watch a sending that is about to be made; leave must follow.
func (h *hangDetector) watch(made *dispatch) (cell int) {
	h.callCount.Add(1)
	for range maxCellProbes {
		cell := int(h.nextCell.Add(1) % maxWatchedCalls)
		if h.cells[cell].CompareAndSwap(nil, made) {
			return cell
		}
	}
	return noCell
}

// leave ends the watch that enter began.
func (h *hangDetector) unwatch(cell int) {
	h.callCount.Add(-1)
	if cell != noCell {
		h.cells[cell].Store(nil)
	}
}

// noteHeld learns from an answer what else the back end holds, and how long calls take.
func (c *gateCall) recordHangEvidence(answer *http.Response, took time.Duration) {
	p := c.proxy
	now := p.config.Clock()
	p.hangDetector.recentAnswers.Record(c.dispatches[c.dispatchCount-1].sentAt)
	if answer.StatusCode < http.StatusInternalServerError {
		p.gate.RecordServiceTime(&c.ticket.Call, took)
	}
	p.gate.RecordAnswer(now)
	if p.config.Edge == nil {
		return
	}
	if held, told := ParseHeldCalls(answer.Header.Get(p.config.Edge.Load)); told {
		underWay := int(p.hangDetector.callCount.Load())
		p.hangDetector.missingCalls.Record(now, underWay, held)
		// The answered call itself may be among those that are held.
		p.gate.CapOrphanedCalls(now, held-underWay-1)
	}
}

// watchBackend looks for calls that hang, and for what time alone changes at the gate, until
// the proxy is closed.
func (p *Proxy) watchBackend() {
	ticker := time.NewTicker(hangCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-ticker.C:
			now := p.config.Clock()
			p.gate.Tick(now)
			p.findHung(now)
		}
	}
}

// suspect is a sending under way and how many mean service times of its class it is old.
type hangSuspect struct {
	*dispatch
	evidence     hang.Evidence
	overdueRatio float64
}

// findHung tells of the calls that are found to hang.
func (p *Proxy) findHung(now time.Duration) {
	missing, told := p.hangDetector.missingCalls.Count(now)
	for index, one := range p.hangSuspects(now) {
		one.evidence.Told, one.evidence.Missing, one.evidence.Rank = told, missing, index+1
		if one.evidence.IsHung() && one.isHung.CompareAndSwap(false, true) {
			p.gate.MarkHung(now, one.call.ticket)
			p.reportHung(one)
		}
	}
}

// suspects are the calls under way, the one longest overdue first; none if none takes long.
func (p *Proxy) hangSuspects(now time.Duration) []hangSuspect {
	if !p.hasOverdueCall(now) {
		return nil
	}
	var found []hangSuspect
	for index := range p.hangDetector.cells {
		if made := p.hangDetector.cells[index].Load(); made != nil {
			found = append(found, p.newHangSuspect(now, made))
		}
	}
	slices.SortFunc(found, func(a, b hangSuspect) int { return cmp.Compare(b.overdueRatio, a.overdueRatio) })
	return found
}

// anyTakesLong tells whether a call under way takes longer than most of its class. It makes no
// garbage, for it is asked at each look.
func (p *Proxy) hasOverdueCall(now time.Duration) bool {
	if p.hangDetector.callCount.Load() == 0 {
		return false
	}
	for index := range p.hangDetector.cells {
		made := p.hangDetector.cells[index].Load()
		if made != nil && now-made.sentAt > p.gate.ServiceTimes(&made.call.ticket.Call).Long {
			return true
		}
	}
	return false
}

// suspect gathers what is known of a sending.
func (p *Proxy) newHangSuspect(now time.Duration, made *dispatch) hangSuspect {
	times := p.gate.ServiceTimes(&made.call.ticket.Call)
	age := now - made.sentAt
	return hangSuspect{
		dispatch:     made,
		overdueRatio: age.Seconds() / max(times.Mean, time.Millisecond).Seconds(),
		evidence: hang.Evidence{
			Age: age, Long: times.Long, Longest: times.Longest, Seen: times.Seen,
			Overtaken: p.hangDetector.recentAnswers.CountSentAfter(made.sentAt),
		},
	}
}

// tellHung logs that a call hangs, counts it as failed, and tells its sender if that asked for
// it: on a goroutine of its own, for the connection may be slow. The call goes on, and an answer
// that comes all the same counts. Its connection is closed, never used again, when its sender
// gives it up or its time is over.
func (p *Proxy) reportHung(one hangSuspect) {
	p.counters.hungCalls.Add(1)
	mayHedge := one.call.request.Header.Get(headerMayHedge) != ""
	evidence := one.evidence
	p.logEvent("call_hangs",
		textField("request", p.requestID(one.call.request.Header)),
		textField("backend", one.start.Instance), bornField(one.start),
		textField("age_ms", formatMillis(evidence.Age)),
		textField("long_ms", formatMillis(evidence.Long)),
		textField("longest_ms", formatMillis(evidence.Longest)),
		textField("overtaken", formatInt(evidence.Overtaken)),
		textField("told", strconv.FormatBool(evidence.Told)),
		textField("missing", formatInt(evidence.Missing)),
		textField("told_sender", strconv.FormatBool(mayHedge)))
	if p.config.OnBackendFailed != nil {
		// Known now, it ejects a back end that leaves many calls unanswered before those end.
		p.config.OnBackendFailed(one.start, p.counters.succeeded.Load())
	}
	if mayHedge {
		go one.call.relay.reportHang()
	}
}

// foundToHang tells whether the last sending of the call was found to hang.
func (c *gateCall) isHung() bool {
	return c.dispatchCount > 0 && c.dispatches[c.dispatchCount-1].isHung.Load()
}
