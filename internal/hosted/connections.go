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
	// leastSilence is how long a connection that owes an answer may say nothing at least before
	// a new one is tried beside it: longer than a busy daemon or store usually takes.
	minSilence = 200 * time.Millisecond
	// mostSilence is that bound however slow answers were lately: with it, what waits for a
	// daemon's comparison still comes within the time in which a version has to be in force.
	maxSilence = 700 * time.Millisecond
)

// lateAnswer is how much later than the answer over a new connection the one over the old may come
// without that being taken for dead: a store that stood still answers both at once.
const oldConnectionGrace = 100 * time.Millisecond

// silenceAfter is how long a connection may owe an answer where answers take as long as estimated.
func silenceTimeout(answers *roundtrip.Estimator) time.Duration {
	return min(max(answers.Timeout(), minSilence), maxSilence)
}

// connections has the long-lived connections of a daemon made anew when one of them was found
// dead. It may be used by several goroutines.
type connectionRenewer struct {
	events  eventLog
	clock   func() time.Duration
	context context.Context
	running *sync.WaitGroup
	eras    *eraTracker
	// renew has calls from now on made over new connections, renewStore those to the store only.
	// They must not block.
	replaceConnections      func()
	replaceStoreConnections func()

	mutex     sync.Mutex
	scheduler renewal.Scheduler
	// epoch ends with the next renewal, by endEpoch.
	epoch    context.Context
	endEpoch func()
}

// start begins the first epoch.
func (c *connectionRenewer) start() { c.epoch, c.endEpoch = context.WithCancel(c.context) }

// The places that connections lead to, in logs.
const (
	remoteStore = "store"
	remotePeer  = "peer"
)

// dead takes that a connection to a place, opened at a time, was found dead.
func (c *connectionRenewer) reportDead(place string, opened time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock()
	c.events.event("connection_dead", field("to", place), field("age_ms", formatMillis(now-opened)))
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

// renewAll makes all connections anew.
func (c *connectionRenewer) renewAll() {
	c.replaceConnections()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scheduler.MarkRenewed(c.clock())
	c.nextEpoch()
	c.events.event("connections_renewed")
}

// watchMissed takes that a watch which has waited for a time did not tell of a change that others
// know. The connections to the store are made anew.
func (c *connectionRenewer) renewAfterMissedChange(waited time.Duration) {
	c.replaceStoreConnections()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextEpoch()
	c.events.event("watch_renewed", field("waited_ms", formatMillis(waited)))
}

// rewatch has all watches made again, over the connections that are there.
func (c *connectionRenewer) restartWatches() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextEpoch()
}

// nextEpoch ends the waits of watches, so that they are made again; the lock is held.
func (c *connectionRenewer) nextEpoch() {
	c.endEpoch()
	c.epoch, c.endEpoch = context.WithCancel(c.context)
}

// untilRenewed is a context that ends with the next renewal too. renewed tells, once it has ended,
// whether by that.
func (c *connectionRenewer) contextUntilRenewal(parent context.Context) (ctx context.Context, renewed func() bool, cancel func()) {
	c.mutex.Lock()
	epoch := c.epoch
	c.mutex.Unlock()
	ctx, end := context.WithCancel(parent)
	stop := context.AfterFunc(epoch, end)
	renewed = func() bool { return epoch.Err() != nil && parent.Err() == nil }
	return ctx, renewed, func() {
		stop()
		end()
	}
}

// watched makes a watch from a position that waits for a time at most, and makes it again over a new
// connection whenever connections are renewed meanwhile. It fails, with nothing asked, once the era of
// the position has ended.
func watchAcrossRenewals[Answer any](
	c *connectionRenewer, parent context.Context, from authority.Position, bound time.Duration, watch func(context.Context) (Answer, error),
) (answer Answer, err error) {
	for !c.eras.hasEnded(from) {
		bounded, cancel := context.WithTimeout(parent, bound)
		ctx, renewed, end := c.contextUntilRenewal(bounded)
		answer, err = watch(ctx)
		again := renewed()
		end()
		cancel()
		if !again {
			return answer, err
		}
	}
	var none Answer
	return none, result.New(result.PlatformCompacted, "the store's era has changed")
}
