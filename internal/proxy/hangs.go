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
	// hangCheckInterval is the time between checks for hung calls: a tenth of the time that a
	// caller may expect a usual call to take, so that most of it is left for another attempt.
	hangCheckInterval = 100 * time.Millisecond
	// maxWatchedCalls bounds the calls watched at a time. Further calls are not checked for
	// hanging; they end by their deadlines at the latest.
	maxWatchedCalls = 256
)

// trueHeaderValue is the value of headers that are set or absent; it must not be modified.
var trueHeaderValue = []string{"1"}

// dispatch is one transmission of a call to the back end. Apart from isHung it is not changed while
// it is watched.
type dispatch struct {
	call   *gateCall
	start  protocol.BackendStart
	sentAt time.Duration
	// isHung is set when the call was found to be hung in this dispatch.
	isHung atomic.Bool
}

// hangDetector finds calls at the back end that will probably never be answered. It costs a call
// two atomic writes.
type hangDetector struct {
	recentAnswers hang.RecentAnswers
	missingCalls  hang.MissingCalls
	// cells hold the watched calls; callCount is the number of all calls at the back end, including
	// those without a cell.
	cells     [maxWatchedCalls]atomic.Pointer[dispatch]
	nextCell  atomic.Uint32
	callCount atomic.Int64
}

const (
	// noCell is the result of watch if it found no free cell.
	noCell = -1
	// maxCellProbes is how many cells are tried for a call: if half of all cells are in use, one
	// call in 256 finds none.
	maxCellProbes = 8
)

// watch begins to watch a dispatch that is about to be sent; unwatch must follow.
func (h *hangDetector) watch(watched *dispatch) (cell int) {
	h.callCount.Add(1)
	for range maxCellProbes {
		cell := int(h.nextCell.Add(1) % maxWatchedCalls)
		if h.cells[cell].CompareAndSwap(nil, watched) {
			return cell
		}
	}
	return noCell
}

// unwatch ends the watching of a dispatch. cell is the result of watch for it.
func (h *hangDetector) unwatch(cell int) {
	h.callCount.Add(-1)
	if cell != noCell {
		h.cells[cell].Store(nil)
	}
}

// recordHangEvidence records from an answer how long the call took and how many calls the back end
// reports to hold.
func (c *gateCall) recordHangEvidence(answer *http.Response, serviceTime time.Duration) {
	p := c.proxy
	now := p.config.Clock()
	p.hangDetector.recentAnswers.Record(c.dispatches[c.dispatchCount-1].sentAt)
	if answer.StatusCode < http.StatusInternalServerError {
		p.gate.RecordServiceTime(&c.ticket.Call, serviceTime)
	}
	p.gate.RecordAnswer(now)
	if p.config.Edge == nil {
		return
	}
	if heldCalls, isReported := ParseHeldCalls(answer.Header.Get(p.config.Edge.Load)); isReported {
		callsUnderWay := int(p.hangDetector.callCount.Load())
		p.hangDetector.missingCalls.Record(now, callsUnderWay, heldCalls)
		// The answered call itself may be counted among the held ones.
		p.gate.CapOrphanedCalls(now, heldCalls-callsUnderWay-1)
	}
}

// watchBackend checks for hung calls and drives the gate's time-dependent changes until the proxy
// is closed.
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

// hangSuspect is a dispatch under way; overdueRatio is its age in mean service times of its class.
type hangSuspect struct {
	*dispatch
	evidence     hang.Evidence
	overdueRatio float64
}

// findHung marks and reports the calls that are found to be hung.
func (p *Proxy) findHung(now time.Duration) {
	missing, isReported := p.hangDetector.missingCalls.Count(now)
	for index, candidate := range p.hangSuspects(now) {
		candidate.evidence.Told, candidate.evidence.Missing, candidate.evidence.Rank = isReported, missing, index+1
		if candidate.evidence.IsHung() && candidate.isHung.CompareAndSwap(false, true) {
			p.gate.MarkHung(now, candidate.call.ticket)
			p.reportHung(candidate)
		}
	}
}

// hangSuspects returns the calls under way, the most overdue first, or nil if none takes long.
func (p *Proxy) hangSuspects(now time.Duration) []hangSuspect {
	if !p.hasOverdueCall(now) {
		return nil
	}
	var found []hangSuspect
	for index := range p.hangDetector.cells {
		if watched := p.hangDetector.cells[index].Load(); watched != nil {
			found = append(found, p.newHangSuspect(now, watched))
		}
	}
	slices.SortFunc(found, func(a, b hangSuspect) int { return cmp.Compare(b.overdueRatio, a.overdueRatio) })
	return found
}

// hasOverdueCall reports whether a call under way takes longer than most of its class. It does not
// allocate, because it runs at every check.
func (p *Proxy) hasOverdueCall(now time.Duration) bool {
	if p.hangDetector.callCount.Load() == 0 {
		return false
	}
	for index := range p.hangDetector.cells {
		watched := p.hangDetector.cells[index].Load()
		if watched != nil && now-watched.sentAt > p.gate.ServiceTimes(&watched.call.ticket.Call).Long {
			return true
		}
	}
	return false
}

// newHangSuspect returns a dispatch with the evidence of whether it hangs.
func (p *Proxy) newHangSuspect(now time.Duration, watched *dispatch) hangSuspect {
	times := p.gate.ServiceTimes(&watched.call.ticket.Call)
	age := now - watched.sentAt
	return hangSuspect{
		dispatch:     watched,
		overdueRatio: age.Seconds() / max(times.Mean, time.Millisecond).Seconds(),
		evidence: hang.Evidence{
			Age: age, Long: times.Long, Longest: times.Longest, Seen: times.Seen,
			Overtaken: p.hangDetector.recentAnswers.CountSentAfter(watched.sentAt),
		},
	}
}

// reportHung logs that a call hangs, counts it as a failure of the back end and, if the sender
// asked for it, notifies the sender. The notification runs in its own goroutine, because the
// connection may be slow. The call goes on, and an answer that still arrives is delivered. If the
// sender cancels the call or its time runs out, the connection to the back end is closed and not
// reused.
func (p *Proxy) reportHung(hung hangSuspect) {
	p.counters.hungCalls.Add(1)
	mayHedge := hung.call.request.Header.Get(headerMayHedge) != ""
	evidence := hung.evidence
	p.logEvent("call_hangs",
		textField("request", p.requestID(hung.call.request.Header)),
		textField("backend", hung.start.Instance), bornField(hung.start),
		textField("age_ms", formatMillis(evidence.Age)),
		textField("long_ms", formatMillis(evidence.Long)),
		textField("longest_ms", formatMillis(evidence.Longest)),
		textField("overtaken", formatInt(evidence.Overtaken)),
		textField("told", strconv.FormatBool(evidence.Told)),
		textField("missing", formatInt(evidence.Missing)),
		textField("told_sender", strconv.FormatBool(mayHedge)))
	if p.config.OnBackendFailed != nil {
		// Reporting the failure now ejects a back end that leaves many calls unanswered before
		// their deadlines pass.
		p.config.OnBackendFailed(hung.start, p.counters.succeededCalls.Load())
	}
	if mayHedge {
		go hung.call.relay.reportHang()
	}
}

// isHung reports whether the last dispatch of the call was found to be hung.
func (c *gateCall) isHung() bool {
	return c.dispatchCount > 0 && c.dispatches[c.dispatchCount-1].isHung.Load()
}
