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
	maxTransferWaitShare = 0.3
	// transferIdle is how long a body may stand still before it gives its turn to the next
	// one. One that flows brings a packet every few milliseconds, also on a link of some
	// Mbit/s; the rest is for a sender whose processor is spent.
	transferIdleTimeout = 250 * time.Millisecond
	// thousand is the whole of a share in thousandths.
	perMille = 1000
	// excessLimit bounds by how much a wait is believed to exceed what is expected, in
	// thousandths: one stall of the link tells little of the next one.
	maxExcess = 2 * perMille
	// excessLife is how long it is believed after the last body that waited. If it has every
	// body refused that would wait, nothing else tells that the link is free again.
	excessLifetime = 2 * time.Second
	// transferWeight is the weight of a new value in the mean time of a transfer.
	transferMeanWeight = 1.0 / 8
)

// transfers lets large bodies come to a gate a few at a time. Their senders wait
// with the body until they are told to continue.
type transferQueue struct {
	// tokens holds one for each body that comes, waiting is how many wait for one.
	turns   chan struct{}
	waiting atomic.Int64
	// mean is the moving mean of the time that a body takes, in nanoseconds.
	meanNanos atomic.Int64
	// excess is the moving mean of how much longer than expected bodies have waited, as a share
	// of what was expected, in thousandths: others share the link.
	excessPerMille atomic.Int64
	// excessAt is when it was last learned, on the clock, in nanoseconds.
	excessUpdatedAt atomic.Int64
}

func newTransferQueue() *transferQueue {
	return &transferQueue{turns: make(chan struct{}, transferLimit)}
}

// meanTime is how long a body takes.
func (t *transferQueue) meanTime() time.Duration { return time.Duration(t.meanNanos.Load()) }

// expectedWait is how long one more body is expected to wait: until the first of those
// that come has come, for those ahead of it, and for what else is on the link.
func (t *transferQueue) expectedWait(now time.Duration) time.Duration {
	queue := t.queueWait()
	return queue + queue*time.Duration(t.currentExcess(now))/perMille
}

// excessNow is the excess that is believed now.
func (t *transferQueue) currentExcess(now time.Duration) int64 {
	if now-time.Duration(t.excessUpdatedAt.Load()) > excessLifetime {
		return 0
	}
	return t.excessPerMille.Load()
}

// queueWait is how long one more body is expected to wait for those at this gate alone.
func (t *transferQueue) queueWait() time.Duration {
	mean := t.meanNanos.Load()
	wait := t.waiting.Load() * mean / transferLimit
	if len(t.turns) == transferLimit {
		wait += mean / (transferLimit + 1) // the first of so many to end
	}
	return time.Duration(wait)
}

// learnWait learns how long a body has waited, against what queueWait had told.
func (t *transferQueue) recordWait(now, expected, waited time.Duration) {
	if expected <= 0 || expected < t.meanTime()/transferLimit {
		return // so short a wait tells little
	}
	ratio := min(max(int64((waited-expected)*perMille/expected), 0), maxExcess)
	old := t.currentExcess(now)
	t.excessUpdatedAt.Store(int64(now))
	t.excessPerMille.Store(old + int64(float64(ratio-old)*transferMeanWeight))
}

// asQueued is the number of calls that would make the next one wait for a slot as
// long as it would wait for its body: what the gate reports as its load.
func (t *transferQueue) equivalentQueueLength(now time.Duration, slots int, service time.Duration) int {
	waiting := int(t.waiting.Load())
	if service <= 0 {
		return waiting
	}
	return max(waiting, int(t.expectedWait(now)*time.Duration(slots)/service))
}

// await waits until a body may come; false means that ctx has ended before.
func (t *transferQueue) acquireTurn(ctx context.Context) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.turns <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// pass gives the turn to the next body.
func (t *transferQueue) releaseTurn() { <-t.turns }

// done ends a transfer that took a time.
func (t *transferQueue) completeTurn(took time.Duration) {
	t.releaseTurn()
	mean := t.meanNanos.Load()
	next := int64(took)
	if mean > 0 {
		next = mean + int64(float64(next-mean)*transferMeanWeight)
	}
	t.meanNanos.Store(next)
}

// transferTurn is the turn of one body. A body that stands still, for instance since its
// sender's machine is gone, passes it on and goes on without one if it flows again: that it
// is slow is no reason to end its call.
type transferTurn struct {
	queue     *transferQueue
	idleTimer *time.Timer
	released  atomic.Bool
}

// begin begins the turn of a body that await has let in.
func (t *transferQueue) startTurn() *transferTurn {
	turn := &transferTurn{queue: t}
	turn.idleTimer = time.AfterFunc(transferIdleTimeout, func() {
		if turn.released.CompareAndSwap(false, true) {
			t.releaseTurn()
		}
	})
	return turn
}

// flows notes that a part of the body has come.
func (t *transferTurn) recordProgress() {
	if !t.released.Load() {
		t.idleTimer.Reset(transferIdleTimeout)
	}
}

// end ends the turn after a time. Only a body that came whole within its turn tells how
// long bodies take.
func (t *transferTurn) end(took time.Duration, whole bool) {
	t.idleTimer.Stop()
	switch {
	case !t.released.CompareAndSwap(false, true):
	case whole:
		t.queue.completeTurn(took)
	default:
		t.queue.releaseTurn()
	}
}

// lateAfter is by how much a call is expected to miss its target because its body waits; 0 when
// it is not, or hardly waits. While the body has not been sent, going elsewhere costs little.
func (c *gateCall) expectedLateness(now, wait time.Duration) time.Duration {
	if c.ticket.Target <= 0 || wait <= c.proxy.transfers.meanTime() {
		return 0
	}
	service := c.proxy.gate.CautiousServiceTime(&c.ticket.Call)
	return max(now+wait+c.proxy.transfers.meanTime()+service-c.ticket.Target, 0)
}

// besideMe is the endpoint beside this daemon if it is expected to answer a large body in
// time, and else nil. A body crosses no link on its way there, and the links of back ends
// that take uploads are full before their slots are.
func (c *callerCall) localEndpoint(set *endpoint.Set, now time.Duration) *endpoint.Endpoint {
	gate := c.proxy.gate
	if !c.body.isLarge() || gate == nil || !gate.HasFreeSlot() {
		return nil
	}
	service := gate.CautiousServiceTime(&admission.Call{Class: c.route.Class})
	if c.route.Resource.Target > 0 && now+service > c.targetTime {
		return nil
	}
	return set.ChooseOnNode(now, c.proxy.config.NodeID, c.triedEndpoints)
}

// isOwn tells whether the call comes from this daemon itself: by its id, whose last part has
// no hyphen. The name of another daemon may begin with that of this one.
func (c *gateCall) isFromThisDaemon() bool {
	count, found := strings.CutPrefix(c.request.Header.Get(headerRequest), c.proxy.requestIDPrefix)
	return found && !strings.Contains(count, "-")
}

// receive takes in a large body whole before the call asks for a slot, so that a
// slow link holds no slot. It refuses the call when that would take too long.
func (c *gateCall) receiveBody() (Refusal, bool) {
	if !c.body.isLarge() {
		return Refusal{}, true
	}
	if c.isFromThisDaemon() {
		return c.receiveLocalBody()
	}
	transfers := c.proxy.transfers
	now := c.proxy.config.Clock()
	queue, wait := transfers.queueWait(), transfers.expectedWait(now)
	if float64(wait) > maxTransferWaitShare*float64(c.deadline-now) {
		return Refusal{Code: result.QueueFull, RetryAfter: wait}, false
	}
	if late := c.expectedLateness(now, wait); late > 0 {
		return Refusal{Code: result.QueueFull, RetryAfter: late}, false
	}
	if !transfers.acquireTurn(c.context) {
		return Refusal{Code: c.cancellationCode()}, false
	}
	began := c.proxy.config.Clock()
	transfers.recordWait(began, queue, began-now)
	turn := transfers.startTurn()
	err := c.body.preload(c.context, turn.recordProgress)
	turn.end(c.proxy.config.Clock()-began, err == nil)
	if err != nil {
		return bodyRefusal(c.context, err), false
	}
	return Refusal{}, true
}

// receiveOwn takes in a large body from this daemon itself, which needs no turn.
func (c *gateCall) receiveLocalBody() (Refusal, bool) {
	if err := c.body.preload(c.context, nil); err != nil {
		return bodyRefusal(c.context, err), false
	}
	return Refusal{}, true
}
