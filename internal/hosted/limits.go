package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/proxy"
)

const (
	// graceParts divides the platform's grace: calls may run for all parts but
	// the last, in which they are cut and connections closed.
	graceParts = 6
	// cutMargin is how far into the last part calls may still run.
	drainMargin = 100 * time.Millisecond
	// lingerLimit is the longest time that callers are served after the daemon
	// has called itself not ready: until whoever asks for that has asked twice.
	maxDrainLinger = 2500 * time.Millisecond
	// announceAhead is how long before its gate closes a daemon that stops tells
	// its peers to send it nothing more: longer than a relay may gather (batchPeriod)
	// and a view may wait (publishPeriod), with as much for the way.
	stopAnnounceLead = 700 * time.Millisecond
	// keepIdle is how long an idle connection of a caller is kept. It is longer
	// than what callers are told, so that they close first.
	callerIdleTimeout = 2 * time.Minute
	// gateIdle is how long a connection to another daemon's gate is kept.
	gateIdleTimeout = 30 * time.Second
	// dialTimeout bounds connecting to a gate or back end. Either is a round
	// trip away, and a silent one must leave time for another attempt.
	dialTimeout = 150 * time.Millisecond
	// dialLimit bounds it where peers take longer to answer: behind uploads on a slow link.
	maxDialTimeout = 600 * time.Millisecond
	// collectBytes holds a usual answer whole.
	collectBytes = 64 << 10
	// replayBytes holds a usual upload whole.
	replayBytes = 512 << 10
	// startWait is how long after its start a daemon lets calls wait that it can't send yet.
	// With the store and peers at hand it knows where to send them within half a second;
	// one that knows nothing after this has little hope to learn it in a call's time.
	maxStartWait = 2 * time.Second
	// queueWait bounds the expected wait at the gate; deadlines end it earlier.
	maxQueueWait = 2 * time.Second
	// cancelWait is how long past its deadline a back end may be at work on a call: it stops
	// at the deadline that it is handed, later by what a busy machine takes to notice.
	cancelGrace = 500 * time.Millisecond
)

// stayNear keeps calls in their zone until waiting there costs about as long as
// running: bytes between zones are paid for.
var spilloverLimits = endpoint.Spillover{Above: 1.5, Zone: 1, Region: 4}

// drainBound is when calls that still run are cut, after the start of a stop.
func drainTimeout(grace time.Duration) time.Duration {
	return grace - grace/graceParts + drainMargin
}

// lingerOf is how long callers are served after the start of a stop.
func drainLinger(grace time.Duration) time.Duration {
	return min(maxDrainLinger, drainTimeout(grace)/2)
}

// pathLimits are the limits of the data path of a hosted daemon.
func proxyLimits(grace time.Duration) proxy.Limits {
	limits := proxy.DefaultLimits()
	limits.IdleTimeout = callerIdleTimeout
	limits.UpstreamIdle = gateIdleTimeout
	limits.DialTimeout = dialTimeout
	limits.DialLimit = maxDialTimeout
	limits.CollectBytes = collectBytes
	limits.ReplayBytes = replayBytes
	limits.QueueWait = maxQueueWait
	limits.CancelWait = cancelGrace
	limits.StartWait = maxStartWait
	limits.QuietClose = true
	limits.NoSpares = true
	limits.DrainLinger = drainLinger(grace)
	limits.DrainBound = drainTimeout(grace)
	limits.GateLingers = true
	limits.RequestCount = 1 << 17
	limits.KeyCount = 1 << 10
	return limits
}

// controlLimits are the limits of the control protocol: a few small messages a
// second from each peer, and a document now and then.
func controlLimits() control.Limits {
	limits := control.DefaultLimits()
	limits.DialTimeout = controlTimeout
	limits.WriteTimeout = controlTimeout
	return limits
}

// retryBudget is this daemon's part of the budget of all daemons: the slack is
// divided among them, and its own calls of the present window allow the rest. So the
// sum over all daemons stays within what is allowed for any number of daemons.
func (d *Daemon) retryLimits(daemons int) retry.Limits {
	bound := d.settings.Retries
	return retry.LimitsForChain(bound.Ratio, bound.Slack, bound.CallDepth, daemons, bound.Window())
}

// closeBound is how long the servers may take to end once nothing runs.
func closeTimeout() time.Duration { return 500 * time.Millisecond }
