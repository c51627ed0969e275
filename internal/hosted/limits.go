package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

const (
	// graceParts is the number of equal parts of the platform's grace period. Calls may run
	// until drainMargin after the start of the last part. Then they are cancelled and connections are
	// closed.
	graceParts = 6
	// drainMargin is how long calls may still run in the last part of the grace period.
	drainMargin = 100 * time.Millisecond
	// maxDrainLinger is the longest time for which callers are served after the daemon has
	// reported itself not ready, which is enough for two readiness checks.
	maxDrainLinger = 2500 * time.Millisecond
	// stopAnnounceLead is how long before its gate closes a stopping daemon announces to its peers
	// that it accepts no more calls: longer than the delays of the broadcast at a relay
	// (minBroadcastInterval) and of the view at a peer (minPublishInterval) together, and as much
	// again for transmission.
	stopAnnounceLead = 700 * time.Millisecond
	// callerIdleTimeout is how long an idle connection of a caller is kept. It is longer than the
	// time announced to callers, so that they close first.
	callerIdleTimeout = 2 * time.Minute
	// gateIdleTimeout is how long an idle connection to another daemon's gate is kept.
	gateIdleTimeout = 30 * time.Second
	// dialTimeout limits the time to connect to a gate or back end. This takes one round trip; if
	// there is no response, time must be left for another attempt.
	dialTimeout = 150 * time.Millisecond
	// maxDialTimeout is the maximum of the connect timeout, which is raised above dialTimeout while
	// peers take longer to answer, as when uploads fill a slow link.
	maxDialTimeout = 600 * time.Millisecond
	// collectBytes is the size up to which an answer is read completely before it is sent on. A
	// typical answer fits.
	collectBytes = 64 << 10
	// replayBytes is the number of bytes of a request's body that are kept for another attempt. A
	// typical upload fits.
	replayBytes = 512 << 10
	// For maxStartWait after its start, a daemon lets calls wait for which it has no route or
	// endpoint yet. If the store and peers are available, it has routes and endpoints within half a
	// second. If it has none after maxStartWait, it is unlikely to get them before a call's
	// deadline.
	maxStartWait = 2 * time.Second
	// maxQueueWait is the longest expected wait at the gate with which a call is still queued; with a
	// longer one it is refused. A queued call also leaves the queue at its deadline.
	maxQueueWait = 2 * time.Second
	// cancelGrace is how long after its deadline a call may still run at a back end. The back end
	// receives the deadline and stops at it, but a busy machine may notice it late.
	cancelGrace = 500 * time.Millisecond
)

// spilloverLimits keep calls in their zone until waiting there takes about as long as the call
// itself, because traffic between zones is charged for.
var spilloverLimits = endpoint.Spillover{Above: 1.5, Zone: 1, Region: 4}

// drainTimeout returns the time after the start of a stop at which the calls still running are
// cancelled.
func drainTimeout(grace time.Duration) time.Duration {
	return grace - grace/graceParts + drainMargin
}

// drainLinger returns how long callers are served after the start of a stop.
func drainLinger(grace time.Duration) time.Duration {
	return min(maxDrainLinger, drainTimeout(grace)/2)
}

// The parts of the machine's memory that requests may use; the rest is for the connections, for what
// the daemon knows of the mesh, and for the garbage that the runtime has not collected.
const (
	// requestMemoryParts divides the memory into the part for the running requests of one server.
	requestMemoryParts = 8
	// incompleteHeadParts divides it into the part for the incomplete heads of one server.
	incompleteHeadParts = 10
	// bodyParts divides it into the part for bodies that are kept for another attempt.
	bodyParts = 8
	// answerParts divides it into the part for answers that are being written to callers.
	answerParts = 8
	// aheadUnreadParts and aheadAnswerParts divide it into the parts for what pipelined requests and
	// their answers hold.
	aheadUnreadParts = 128
	aheadAnswerParts = 16
)

// minRequestMemory is the least memory for the running requests of one server: the quarter of it that a
// request with many fields may use is then sufficient for a head of the largest size.
const minRequestMemory = 16 << 20

const (
	// fileDescriptors is the number of descriptors that are not available for sockets.
	fileDescriptors = 200
	// connectionParts divides the descriptors for sockets into the part for each of the two servers of
	// the data path. The rest is for connections that the daemon opens and for its other ports.
	connectionParts = 3
)

// The limits of the ports for readiness checks, reports and metrics, each of which serves one or two
// clients.
const (
	webConnections   = 64
	webTimeout       = 5 * time.Second
	webHeaderBytes   = 16 << 10
	webHeadBytes     = 512 << 10
	webRequestMemory = 6 << 20
)

// webLimits returns the limits of a port for readiness checks, reports or metrics.
func webLimits() proxy.Limits {
	return proxy.Limits{
		HeaderBytes: webHeaderBytes, Connections: webConnections, HeaderTimeout: webTimeout, StallTimeout: webTimeout,
		IdleTimeout: callerIdleTimeout, IncompleteHeadBytes: webHeadBytes, RequestBytes: webRequestMemory,
	}
}

// proxyLimits returns the limits of the data path of a hosted daemon.
func proxyLimits(given *settings.Hosted) proxy.Limits {
	limits := proxy.DefaultLimits()
	grace, memory := given.Drain.Grace(), given.Machine.MemoryBytes()
	limits.RequestBytes = max(memory/requestMemoryParts, minRequestMemory)
	limits.IncompleteHeadBytes = memory / incompleteHeadParts
	limits.AnswerMemoryBytes = memory / answerParts
	limits.BodyMemoryBytes = memory / bodyParts
	limits.AheadUnreadBytes = memory / aheadUnreadParts
	limits.AheadHeldBytes = min(limits.AheadHeldBytes, memory/aheadAnswerParts)
	if descriptors := given.Machine.FileDescriptors - fileDescriptors; descriptors > 0 {
		limits.Connections = max(descriptors/connectionParts, 1)
	}
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

// controlLimits returns the limits of the control protocol, which carries a few small messages per
// second from each peer and occasionally a document.
func controlLimits() control.Limits {
	limits := control.DefaultLimits()
	limits.DialTimeout = controlTimeout
	limits.WriteTimeout = controlTimeout
	return limits
}

// retryLimits returns this daemon's part of the retry budget of all daemons. The slack is divided
// among them, and further retries are allowed in proportion to the daemon's own calls of the
// current window. So the sum over all daemons stays within the budget for any number of daemons.
func (d *Daemon) retryLimits(daemons int) retry.Limits {
	retries := d.settings.Retries
	return retry.LimitsForChain(retries.Ratio, retries.Slack, retries.CallDepth, daemons, retries.Window())
}

// closeTimeout returns how long the servers may take to close once no call runs.
func closeTimeout() time.Duration { return 500 * time.Millisecond }
