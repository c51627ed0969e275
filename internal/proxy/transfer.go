package proxy

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/result"
)

const (
	// transferLimit bounds the large bodies that a gate receives at a time. More at
	// once would not come sooner, and all else that comes to the machine, such as
	// news of a configuration, would queue behind them on a slow link.
	transferLimit = 2
	// transferShare is the most of a call's remaining time that its body may be
	// expected to wait before it is sent.
	transferShare = 0.3
	// transferIdle is how long a body may stand still before it gives its turn to the next
	// one. One that flows brings a packet every few milliseconds, also on a link of some
	// Mbit/s; the rest is for a sender whose processor is spent.
	transferIdle = 250 * time.Millisecond
	// thousand is the whole of a share in thousandths.
	thousand = 1000
	// excessLimit bounds by how much a wait is believed to exceed what is expected, in
	// thousandths: one stall of the link tells little of the next one.
	excessLimit = 2 * thousand
	// excessLife is how long it is believed after the last body that waited. If it has every
	// body refused that would wait, nothing else tells that the link is free again.
	excessLife = 2 * time.Second
	// transferWeight is the weight of a new value in the mean time of a transfer.
	transferWeight = 1.0 / 8
)

// transfers lets large bodies come to a gate a few at a time. Their senders wait
// with the body until they are told to continue.
type transfers struct {
	// tokens holds one for each body that comes, waiting is how many wait for one.
	tokens  chan struct{}
	waiting atomic.Int64
	// mean is the moving mean of the time that a body takes, in nanoseconds.
	mean atomic.Int64
	// excess is the moving mean of how much longer than expected bodies have waited, as a share
	// of what was expected, in thousandths: others share the link.
	excess atomic.Int64
	// excessAt is when it was last learned, on the clock, in nanoseconds.
	excessAt atomic.Int64
}

func newTransfers() *transfers {
	return &transfers{tokens: make(chan struct{}, transferLimit)}
}

// meanTime is how long a body takes.
func (t *transfers) meanTime() time.Duration { return time.Duration(t.mean.Load()) }

// expectedWait is how long one more body is expected to wait: until the first of those
// that come has come, for those ahead of it, and for what else is on the link.
func (t *transfers) expectedWait(now time.Duration) time.Duration {
	queue := t.queueWait()
	return queue + queue*time.Duration(t.excessNow(now))/thousand
}

// excessNow is the excess that is believed now.
func (t *transfers) excessNow(now time.Duration) int64 {
	if now-time.Duration(t.excessAt.Load()) > excessLife {
		return 0
	}
	return t.excess.Load()
}

// queueWait is how long one more body is expected to wait for those at this gate alone.
func (t *transfers) queueWait() time.Duration {
	mean := t.mean.Load()
	wait := t.waiting.Load() * mean / transferLimit
	if len(t.tokens) == transferLimit {
		wait += mean / (transferLimit + 1) // the first of so many to end
	}
	return time.Duration(wait)
}

// learnWait learns how long a body has waited, against what queueWait had told.
func (t *transfers) learnWait(now, expected, waited time.Duration) {
	if expected <= 0 || expected < t.meanTime()/transferLimit {
		return // so short a wait tells little
	}
	ratio := min(max(int64((waited-expected)*thousand/expected), 0), excessLimit)
	old := t.excessNow(now)
	t.excessAt.Store(int64(now))
	t.excess.Store(old + int64(float64(ratio-old)*transferWeight))
}

// asQueued is the number of calls that would make the next one wait for a slot as
// long as it would wait for its body: what the gate reports as its load.
func (t *transfers) asQueued(now time.Duration, slots int, service time.Duration) int {
	waiting := int(t.waiting.Load())
	if service <= 0 {
		return waiting
	}
	return max(waiting, int(t.expectedWait(now)*time.Duration(slots)/service))
}

// await waits until a body may come; false means that ctx has ended before.
func (t *transfers) await(ctx context.Context) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.tokens <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// pass gives the turn to the next body.
func (t *transfers) pass() { <-t.tokens }

// done ends a transfer that took a time.
func (t *transfers) done(took time.Duration) {
	t.pass()
	mean := t.mean.Load()
	next := int64(took)
	if mean > 0 {
		next = mean + int64(float64(next-mean)*transferWeight)
	}
	t.mean.Store(next)
}

// transferTurn is the turn of one body. A body that stands still, for instance since its
// sender's machine is gone, passes it on and goes on without one if it flows again: that it
// is slow is no reason to end its call.
type transferTurn struct {
	of   *transfers
	idle *time.Timer
	over atomic.Bool
}

// begin begins the turn of a body that await has let in.
func (t *transfers) begin() *transferTurn {
	turn := &transferTurn{of: t}
	turn.idle = time.AfterFunc(transferIdle, func() {
		if turn.over.CompareAndSwap(false, true) {
			t.pass()
		}
	})
	return turn
}

// flows notes that a part of the body has come.
func (t *transferTurn) flows() {
	if !t.over.Load() {
		t.idle.Reset(transferIdle)
	}
}

// end ends the turn after a time. Only a body that came whole within its turn tells how
// long bodies take.
func (t *transferTurn) end(took time.Duration, whole bool) {
	t.idle.Stop()
	switch {
	case !t.over.CompareAndSwap(false, true):
	case whole:
		t.of.done(took)
	default:
		t.of.pass()
	}
}

// lateAfter is by how much a call is expected to miss its target because its body waits; 0 when
// it is not, or hardly waits. While the body has not been sent, going elsewhere costs little.
func (c *gateCall) lateAfter(now, wait time.Duration) time.Duration {
	if c.ticket.Target <= 0 || wait <= c.proxy.transfers.meanTime() {
		return 0
	}
	service := c.proxy.gate.LongServiceTime(&c.ticket.Call)
	return max(now+wait+c.proxy.transfers.meanTime()+service-c.ticket.Target, 0)
}

// besideMe is the endpoint beside this daemon if it is expected to answer a large body in
// time, and else nil. A body crosses no link on its way there, and the links of back ends
// that take uploads are full before their slots are.
func (c *callerCall) besideMe(set *endpoint.Set, now time.Duration) *endpoint.Endpoint {
	gate := c.proxy.gate
	if !c.body.isLarge() || gate == nil || !gate.HasFreeSlot() {
		return nil
	}
	service := gate.LongServiceTime(&admission.Call{Class: c.route.Class})
	if c.route.Resource.Target > 0 && now+service > c.target {
		return nil
	}
	return set.ChooseOnNode(now, c.proxy.config.NodeID, c.tried)
}

// isOwn tells whether the call comes from this daemon itself: by its id, whose last part has
// no hyphen. The name of another daemon may begin with that of this one.
func (c *gateCall) isOwn() bool {
	count, found := strings.CutPrefix(c.request.Header.Get(headerRequest), c.proxy.requestPrefix)
	return found && !strings.Contains(count, "-")
}

// receive takes in a large body whole before the call asks for a slot, so that a
// slow link holds no slot. It refuses the call when that would take too long.
func (c *gateCall) receive() (Refusal, bool) {
	if !c.body.isLarge() {
		return Refusal{}, true
	}
	if c.isOwn() {
		return c.receiveOwn()
	}
	transfers := c.proxy.transfers
	now := c.proxy.config.Clock()
	queue, wait := transfers.queueWait(), transfers.expectedWait(now)
	if float64(wait) > transferShare*float64(c.deadline-now) {
		return Refusal{Code: result.QueueFull, RetryAfter: wait}, false
	}
	if late := c.lateAfter(now, wait); late > 0 {
		return Refusal{Code: result.QueueFull, RetryAfter: late}, false
	}
	if !transfers.await(c.context) {
		return Refusal{Code: c.endCode()}, false
	}
	began := c.proxy.config.Clock()
	transfers.learnWait(began, queue, began-now)
	turn := transfers.begin()
	err := c.body.preload(c.context, turn.flows)
	turn.end(c.proxy.config.Clock()-began, err == nil)
	if err != nil {
		return unsentRefusal(c.context, err), false
	}
	return Refusal{}, true
}

// receiveOwn takes in a large body from this daemon itself, which needs no turn.
func (c *gateCall) receiveOwn() (Refusal, bool) {
	if err := c.body.preload(c.context, nil); err != nil {
		return unsentRefusal(c.context, err), false
	}
	return Refusal{}, true
}
