package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/renewal"
	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

const (
	// minSilence is the minimum time to wait for an answer on a connection before the call is also
	// made over a new one: longer than a busy daemon or store usually takes.
	minSilence = 200 * time.Millisecond
	// maxSilence is the maximum time to wait, however slow recent answers were. It is short enough
	// that a version of which a daemon learns only by a comparison is in force within the required
	// time.
	maxSilence = 700 * time.Millisecond
)

// oldConnectionGrace is the time after an answer over a new connection within which the old
// connection must answer too, or else it is considered dead. A store that was only paused answers
// over both at about the same time.
const oldConnectionGrace = 100 * time.Millisecond

// silenceTimeout returns how long to wait for an answer before the call is also made over a new
// connection, given the estimated answer time.
func silenceTimeout(answerTimes *roundtrip.Estimator) time.Duration {
	return min(max(answerTimes.Timeout(), minSilence), maxSilence)
}

// connectionRenewer replaces the long-lived connections of a daemon when one of them is found dead.
// It is safe for concurrent use.
type connectionRenewer struct {
	events  eventLog
	clock   func() time.Duration
	context context.Context
	running *sync.WaitGroup
	eras    *eraTracker
	// replaceConnections makes all later calls use new connections, replaceStoreConnections only
	// those to the store. They must not block.
	replaceConnections      func()
	replaceStoreConnections func()

	mutex     sync.Mutex
	scheduler renewal.Scheduler
	// epoch is the context of the pending watches; endEpoch cancels it to restart them.
	epoch    context.Context
	endEpoch func()
}

// start starts the first epoch. It must be called before any other method.
func (c *connectionRenewer) start() { c.epoch, c.endEpoch = context.WithCancel(c.context) }

// The remote ends of connections, as logged.
const (
	remoteStore = "store"
	remotePeer  = "peer"
)

// reportDead schedules the renewal of all connections, unless they have been renewed since the dead
// one was opened. opened may also be a later time at which the dead connection was in use.
func (c *connectionRenewer) reportDead(remote string, opened time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock()
	c.events.event("connection_dead", field("to", remote), field("age_ms", formatMillis(now-opened)))
	wait, renew := c.scheduler.ReportDead(now, opened)
	if !renew || c.context.Err() != nil {
		return
	}
	c.running.Go(func() {
		if pause.For(c.context, wait) {
			c.renewAll()
		}
	})
}

// renewAll replaces all connections and restarts the pending watches.
func (c *connectionRenewer) renewAll() {
	c.replaceConnections()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scheduler.MarkRenewed(c.clock())
	c.nextEpoch()
	c.events.event("connections_renewed")
}

// renewAfterMissedChange replaces the connections to the store and restarts all watches, because the
// watch that has been pending for the time waited missed a change that a poll or a peer reported.
func (c *connectionRenewer) renewAfterMissedChange(waited time.Duration) {
	c.replaceStoreConnections()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextEpoch()
	c.events.event("watch_renewed", field("waited_ms", formatMillis(waited)))
}

// restartWatches restarts all pending watches over the existing connections.
func (c *connectionRenewer) restartWatches() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextEpoch()
}

// nextEpoch cancels the pending watches, so that they are restarted; the lock is held.
func (c *connectionRenewer) nextEpoch() {
	c.endEpoch()
	c.epoch, c.endEpoch = context.WithCancel(c.context)
}

// contextUntilRenewal returns a context that ends with parent or with the current epoch. renewed
// reports whether the epoch has ended and parent has not. cancel releases the context.
func (c *connectionRenewer) contextUntilRenewal(parent context.Context) (ctx context.Context, renewed func() bool, cancel func()) {
	c.mutex.Lock()
	epoch := c.epoch
	c.mutex.Unlock()
	ctx, cancelContext := context.WithCancel(parent)
	detach := context.AfterFunc(epoch, cancelContext)
	renewed = func() bool { return epoch.Err() != nil && parent.Err() == nil }
	return ctx, renewed, func() {
		detach()
		cancelContext()
	}
}

// watchAcrossRenewals calls watch with a timeout, and calls it again whenever the epoch ends
// meanwhile. Once the era of the position has ended it fails with PlatformCompacted instead.
func watchAcrossRenewals[Answer any](
	c *connectionRenewer, parent context.Context, from authority.Position, timeout time.Duration, watch func(context.Context) (Answer, error),
) (answer Answer, err error) {
	for !c.eras.hasEnded(from) {
		bounded, cancelTimeout := context.WithTimeout(parent, timeout)
		ctx, renewed, release := c.contextUntilRenewal(bounded)
		answer, err = watch(ctx)
		restart := renewed()
		release()
		cancelTimeout()
		if !restart {
			return answer, err
		}
	}
	var empty Answer
	return empty, result.New(result.PlatformCompacted, "the era of the watch position has ended")
}
