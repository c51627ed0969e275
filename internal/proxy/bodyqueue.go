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
	// transferLimit is the number of large bodies that a gate receives at a time. More
	// would not arrive sooner, and everything else that is sent to the machine, such as a
	// configuration update, would queue behind them on a slow link.
	transferLimit = 2
	// maxBodyWaitShare is the maximum share of a call's remaining time that its body may
	// be expected to wait for its turn.
	maxBodyWaitShare = 0.3
	// bodyIdleTimeout is how long a body may stall before it loses its turn to the next
	// one. During a transfer a packet arrives every few milliseconds, even on a link of a few
	// Mbit/s. The timeout is longer to allow for a sender that is short of processor time.
	bodyIdleTimeout = 250 * time.Millisecond
	// perMille is the factor between a ratio and thousandths.
	perMille = 1000
	// maxExcess limits the recorded ratio by which a wait exceeds the expected one, in
	// thousandths: one stall of the link says little about the next one.
	maxExcess = 2 * perMille
	// excessLifetime is how long the recorded excess remains in use after the last body that
	// waited. Without it, an excess that causes all further bodies to be refused would last
	// forever, since no wait could then show that the link is free again.
	excessLifetime = 2 * time.Second
	// newValueWeight is the weight of a new value in the moving means.
	newValueWeight = 1.0 / 8
)

// bodyQueue limits how many large bodies a gate receives at a time by a limited number of
// turns. A sender waits with the body until it gets the status 100 (Continue), which the gate
// sends when the body's turn begins.
type bodyQueue struct {
	// turns holds an element for each turn in use; waitingBodies is how many bodies wait for a
	// turn.
	turns         chan struct{}
	waitingBodies atomic.Int64
	// meanNanos is the moving mean of the time that it takes to receive a body, in
	// nanoseconds.
	meanNanos atomic.Int64
	// excessPerMille is the moving mean of the ratio by which the waits of bodies exceeded
	// queueWait, in thousandths. Waits exceed it if the link carries other traffic.
	excessPerMille atomic.Int64
	// excessUpdatedAt is when excessPerMille was last updated, in nanoseconds on the clock.
	excessUpdatedAt atomic.Int64
}

func newBodyQueue() *bodyQueue {
	return &bodyQueue{turns: make(chan struct{}, transferLimit)}
}

// meanTime returns the mean time that it takes to receive a body; 0 if unknown.
func (t *bodyQueue) meanTime() time.Duration { return time.Duration(t.meanNanos.Load()) }

// expectedWait returns how long one more body is expected to wait for its turn: queueWait,
// increased by the current excess.
func (t *bodyQueue) expectedWait(now time.Duration) time.Duration {
	queueWait := t.queueWait()
	return queueWait + queueWait*time.Duration(t.currentExcess(now))/perMille
}

// currentExcess returns the excess in thousandths; 0 if it is older than excessLifetime.
func (t *bodyQueue) currentExcess(now time.Duration) int64 {
	if now-time.Duration(t.excessUpdatedAt.Load()) > excessLifetime {
		return 0
	}
	return t.excessPerMille.Load()
}

// queueWait returns how long one more body is expected to wait for the bodies at this gate,
// without other traffic on the link.
func (t *bodyQueue) queueWait() time.Duration {
	meanNanos := t.meanNanos.Load()
	wait := t.waitingBodies.Load() * meanNanos / transferLimit
	if len(t.turns) == transferLimit {
		wait += meanNanos / (transferLimit + 1) // the expected time until one of the turns ends
	}
	return time.Duration(wait)
}

// recordWait updates the excess with how long a body has waited for its turn. The argument
// expected is what queueWait returned when the body arrived.
func (t *bodyQueue) recordWait(now, expected, waited time.Duration) {
	if expected <= 0 || expected < t.meanTime()/transferLimit {
		return // too short for a meaningful ratio
	}
	ratio := min(max(int64((waited-expected)*perMille/expected), 0), maxExcess)
	previous := t.currentExcess(now)
	t.excessUpdatedAt.Store(int64(now))
	t.excessPerMille.Store(previous + int64(float64(ratio-previous)*newValueWeight))
}

// equivalentQueueLength returns the number of queued calls that would make the next call
// wait for a slot as long as its body would wait for a turn. The gate adds it to the
// queue length that it reports.
func (t *bodyQueue) equivalentQueueLength(now time.Duration, slots int, serviceTime time.Duration) int {
	waiting := int(t.waitingBodies.Load())
	if serviceTime <= 0 {
		return waiting
	}
	return max(waiting, int(t.expectedWait(now)*time.Duration(slots)/serviceTime))
}

// acquireTurn waits for a turn; it returns false if ctx ends first.
func (t *bodyQueue) acquireTurn(ctx context.Context) bool {
	t.waitingBodies.Add(1)
	defer t.waitingBodies.Add(-1)
	select {
	case t.turns <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseTurn frees a turn for the next body.
func (t *bodyQueue) releaseTurn() { <-t.turns }

// completeTurn frees the turn of a body that took the given time and updates the mean time.
func (t *bodyQueue) completeTurn(duration time.Duration) {
	t.releaseTurn()
	meanNanos := t.meanNanos.Load()
	newMean := int64(duration)
	if meanNanos > 0 {
		newMean = meanNanos + int64(float64(newMean-meanNanos)*newValueWeight)
	}
	t.meanNanos.Store(newMean)
}

// bodyTurn is the turn of one body. A body that stalls for bodyIdleTimeout, for
// instance since its sender's machine has failed, loses its turn. If it continues later, it
// is received without a turn: a stall alone is no reason to end its call.
type bodyTurn struct {
	queue     *bodyQueue
	idleTimer *time.Timer
	released  atomic.Bool
}

// startTurn starts the turn of a body after acquireTurn.
func (t *bodyQueue) startTurn() *bodyTurn {
	turn := &bodyTurn{queue: t}
	turn.idleTimer = time.AfterFunc(bodyIdleTimeout, func() {
		if turn.released.CompareAndSwap(false, true) {
			t.releaseTurn()
		}
	})
	return turn
}

// recordProgress records that a part of the body has arrived.
func (t *bodyTurn) recordProgress() {
	if !t.released.Load() {
		t.idleTimer.Reset(bodyIdleTimeout)
	}
}

// end ends the turn after the given time. Only a body that was received completely
// within its turn counts for the mean time.
func (t *bodyTurn) end(duration time.Duration, complete bool) {
	t.idleTimer.Stop()
	switch {
	case !t.released.CompareAndSwap(false, true):
	case complete:
		t.queue.completeTurn(duration)
	default:
		t.queue.releaseTurn()
	}
}

// expectedLateness returns by how much a call is expected to miss its target because its
// body waits. It returns 0 if the call is expected in time, has no target, or waits no longer
// than one body takes. Before the body has been sent, a retry elsewhere costs little.
func (c *gateCall) expectedLateness(now, wait time.Duration) time.Duration {
	if c.ticket.Target <= 0 || wait <= c.proxy.bodyQueue.meanTime() {
		return 0
	}
	serviceTime := c.proxy.gate.CautiousServiceTime(&c.ticket.Call)
	return max(now+wait+c.proxy.bodyQueue.meanTime()+serviceTime-c.ticket.Target, 0)
}

// localEndpoint returns the endpoint of this daemon's own back end if the call has a large
// body and is expected to be answered there in time, and otherwise nil. The body then
// crosses no network link. The link of a back end that receives uploads is saturated before
// its slots are all in use.
func (c *callerCall) localEndpoint(set *endpoint.Set, now time.Duration) *endpoint.Endpoint {
	gate := c.proxy.gate
	if !c.body.isLarge() || gate == nil || !gate.HasFreeSlot() {
		return nil
	}
	serviceTime := gate.CautiousServiceTime(&admission.Call{Class: c.route.Class})
	if c.route.Resource.Target > 0 && now+serviceTime > c.targetTime {
		return nil
	}
	return set.ChooseOnNode(now, c.proxy.config.NodeID, c.triedEndpoints)
}

// isFromThisDaemon reports whether this daemon itself has sent the call. The request id of
// such a call consists of requestIDPrefix and a count without a hyphen. The prefix alone is
// not enough, since the request ids of another daemon may begin with it.
func (c *gateCall) isFromThisDaemon() bool {
	count, found := strings.CutPrefix(c.request.Header.Get(headerRequest), c.proxy.requestIDPrefix)
	return found && !strings.Contains(count, "-")
}

// receiveBody reads a large body completely before the call asks for a slot, so that no
// slot is occupied while a slow link transfers it. It refuses the call if the body would
// arrive too late.
func (c *gateCall) receiveBody() (Refusal, bool) {
	if !c.body.isLarge() {
		return Refusal{}, true
	}
	if c.isFromThisDaemon() {
		return c.receiveLocalBody()
	}
	queue := c.proxy.bodyQueue
	now := c.proxy.config.Clock()
	queueWait, wait := queue.queueWait(), queue.expectedWait(now)
	if float64(wait) > maxBodyWaitShare*float64(c.deadline-now) {
		return Refusal{Code: result.QueueFull, RetryAfter: wait}, false
	}
	if lateness := c.expectedLateness(now, wait); lateness > 0 {
		return Refusal{Code: result.QueueFull, RetryAfter: lateness}, false
	}
	if !queue.acquireTurn(c.context) {
		return Refusal{Code: c.cancellationCode()}, false
	}
	startedAt := c.proxy.config.Clock()
	queue.recordWait(startedAt, queueWait, startedAt-now)
	turn := queue.startTurn()
	err := c.body.preload(c.context, turn.recordProgress)
	turn.end(c.proxy.config.Clock()-startedAt, err == nil)
	if err != nil {
		return bodyRefusal(c.context, err), false
	}
	return Refusal{}, true
}

// receiveLocalBody reads a large body that this daemon itself sends, which needs no turn.
func (c *gateCall) receiveLocalBody() (Refusal, bool) {
	if err := c.body.preload(c.context, nil); err != nil {
		return bodyRefusal(c.context, err), false
	}
	return Refusal{}, true
}
