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
	hangLook = 100 * time.Millisecond
	// watchedCells bounds the calls that are watched at a time; more are not, and wait for
	// their deadlines.
	watchedCells = 256
)

// confirmed is the value of a header that says yes; it is never changed.
var confirmed = []string{"1"}

// sending is one sending of a call to the back end. It is not changed while it is watched.
type sending struct {
	call   *gateCall
	start  protocol.BackendStart
	sentAt time.Duration
	// hangs says that it was found to hang.
	hangs atomic.Bool
}

// hangs watches the calls under way at the back end for such as are never answered. A call
// pays two atomic writes for it.
type hangs struct {
	answers hang.RecentAnswers
	balance hang.MissingCalls
	// cells hold the calls under way, count how many there are, also without a cell.
	cells [watchedCells]atomic.Pointer[sending]
	next  atomic.Uint32
	count atomic.Int64
}

const (
	// noCell stands for a call that found no free cell.
	noCell = -1
	// cellTries is how many cells a call looks at: with half of them taken, one call in 256
	// finds none.
	cellTries = 8
)

// enter begins to watch a sending that is about to be made; leave must follow.
func (h *hangs) enter(made *sending) (cell int) {
	h.count.Add(1)
	for range cellTries {
		cell := int(h.next.Add(1) % watchedCells)
		if h.cells[cell].CompareAndSwap(nil, made) {
			return cell
		}
	}
	return noCell
}

// leave ends the watch that enter began.
func (h *hangs) leave(cell int) {
	h.count.Add(-1)
	if cell != noCell {
		h.cells[cell].Store(nil)
	}
}

// noteHeld learns from an answer what else the back end holds, and how long calls take.
func (c *gateCall) noteHeld(answer *http.Response, took time.Duration) {
	p := c.proxy
	now := p.config.Clock()
	p.hangs.answers.Record(c.sendings[c.sent-1].sentAt)
	if answer.StatusCode < http.StatusInternalServerError {
		p.gate.RecordServiceTime(&c.ticket.Call, took)
	}
	p.gate.RecordAnswer(now)
	if p.config.Edge == nil {
		return
	}
	if held, told := HeldCalls(answer.Header.Get(p.config.Edge.Load)); told {
		underWay := int(p.hangs.count.Load())
		p.hangs.balance.Record(now, underWay, held)
		// The answered call itself may be among those that are held.
		p.gate.CapOrphanedCalls(now, held-underWay-1)
	}
}

// watchBackend looks for calls that hang, and for what time alone changes at the gate, until
// the proxy is closed.
func (p *Proxy) watchBackend() {
	ticker := time.NewTicker(hangLook)
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
type suspect struct {
	*sending
	evidence hang.Evidence
	overdue  float64
}

// findHung tells of the calls that are found to hang.
func (p *Proxy) findHung(now time.Duration) {
	missing, told := p.hangs.balance.Count(now)
	for index, one := range p.suspects(now) {
		one.evidence.Told, one.evidence.Missing, one.evidence.Rank = told, missing, index+1
		if one.evidence.IsHung() && one.hangs.CompareAndSwap(false, true) {
			p.gate.MarkHung(now, one.call.ticket)
			p.tellHung(one)
		}
	}
}

// suspects are the calls under way, the one longest overdue first; none if none takes long.
func (p *Proxy) suspects(now time.Duration) []suspect {
	if !p.anyTakesLong(now) {
		return nil
	}
	var found []suspect
	for index := range p.hangs.cells {
		if made := p.hangs.cells[index].Load(); made != nil {
			found = append(found, p.suspect(now, made))
		}
	}
	slices.SortFunc(found, func(a, b suspect) int { return cmp.Compare(b.overdue, a.overdue) })
	return found
}

// anyTakesLong tells whether a call under way takes longer than most of its class. It makes no
// garbage, for it is asked at each look.
func (p *Proxy) anyTakesLong(now time.Duration) bool {
	if p.hangs.count.Load() == 0 {
		return false
	}
	for index := range p.hangs.cells {
		made := p.hangs.cells[index].Load()
		if made != nil && now-made.sentAt > p.gate.ServiceTimes(&made.call.ticket.Call).Long {
			return true
		}
	}
	return false
}

// suspect gathers what is known of a sending.
func (p *Proxy) suspect(now time.Duration, made *sending) suspect {
	times := p.gate.ServiceTimes(&made.call.ticket.Call)
	age := now - made.sentAt
	return suspect{
		sending: made,
		overdue: age.Seconds() / max(times.Mean, time.Millisecond).Seconds(),
		evidence: hang.Evidence{
			Age: age, Long: times.Long, Longest: times.Longest, Seen: times.Seen,
			Overtaken: p.hangs.answers.CountSentAfter(made.sentAt),
		},
	}
}

// tellHung logs that a call hangs, counts it as failed, and tells its sender if that asked for
// it: on a goroutine of its own, for the connection may be slow. The call goes on, and an answer
// that comes all the same counts. Its connection is closed, never used again, when its sender
// gives it up or its time is over.
func (p *Proxy) tellHung(one suspect) {
	p.tally.hungCalls.Add(1)
	mayHedge := one.call.request.Header.Get(headerMayHedge) != ""
	evidence := one.evidence
	p.event("call_hangs",
		textField("request", p.requestID(one.call.request.Header)),
		textField("backend", one.start.Instance), bornField(one.start),
		textField("age_ms", millis(evidence.Age)),
		textField("long_ms", millis(evidence.Long)),
		textField("longest_ms", millis(evidence.Longest)),
		textField("overtaken", number(evidence.Overtaken)),
		textField("told", strconv.FormatBool(evidence.Told)),
		textField("missing", number(evidence.Missing)),
		textField("told_sender", strconv.FormatBool(mayHedge)))
	if p.config.OnBackendFailed != nil {
		// Known now, it ejects a back end that leaves many calls unanswered before those end.
		p.config.OnBackendFailed(one.start, p.tally.answered.Load())
	}
	if mayHedge {
		go one.call.relay.tellHang()
	}
}

// foundToHang tells whether the last sending of the call was found to hang.
func (c *gateCall) foundToHang() bool { return c.sent > 0 && c.sendings[c.sent-1].hangs.Load() }
