// Package proxy implements the data path: the callers' side, which routes calls to the daemons of
// back ends, and the gate, which admits calls to this daemon's own back end. It does the input
// and output; core/routing, core/endpoint, core/admission and core/retry make the decisions.
package proxy

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/core/warmup"
)

// Config is the configuration of a proxy.
type Config struct {
	// Clock returns the node's monotonic time since an arbitrary origin.
	Clock       func() time.Duration
	NodeID      protocol.NodeID
	Incarnation protocol.Incarnation
	Region      string
	Zone        string
	// Service and Backend name the daemon's own back end; empty for none.
	Service resource.ServiceRef
	Backend string
	// BackendAddress is the IP address and port of the back end itself.
	BackendAddress string
	// Slots is the number of calls that the back end runs concurrently.
	Slots  int
	Limits Limits
	// Reported is set if the back end's state is reported through ReportBackend; the proxy then
	// doesn't probe the back end. Back ends are identified by instance, and the endpoints of all
	// services come from the member records alone.
	Reported bool
	// Edge describes the headers of a foreign platform's callers and back ends; nil means
	// springstack's own headers.
	Edge *Edge
	// Spill defines when calls are sent to other zones; the zero value means
	// endpoint.DefaultSpillover.
	Spill endpoint.Spillover
	// RetryBudget returns the limits of each retry budget of this daemon, given the number of
	// daemons that share the total; nil means retry.DefaultLimits.
	RetryBudget func(daemons int) retry.Limits
	// TakeQuota asks for the permission to run a call of a tenant, and ReturnQuota gives back that
	// of a call that did not run. If a call is not permitted, retryAfter is when it may be sent
	// again. Both are nil if quotas are not limited.
	TakeQuota   func(ctx context.Context, tenant *tenancy.Tenant) (permitted bool, retryAfter time.Duration)
	ReturnQuota func(tenant *tenancy.Tenant)
	// OnBackendUnreachable, unless nil, is called when a call can't connect to the back end, if
	// Reported is set. It must not block.
	OnBackendUnreachable func(protocol.BackendStart)
	// OnBackendFailed, unless nil, is called when the back end has failed a call; answered is the
	// number of calls that it has answered without a server error so far. It must not block.
	OnBackendFailed func(start protocol.BackendStart, answered uint64)
	// OnSilent is called when a daemon's gate has calls to answer and has answered none for some
	// time. It must not block. If it is nil, silent gates are not detected and calls are not
	// hedged.
	OnSilent func(protocol.NodeID)
	// RoundTrip returns the time within which nearly all recent answers of peers arrived. If it
	// exceeds Limits.DialTimeout, connecting may take that long, at most Limits.DialLimit. It
	// may be nil.
	RoundTrip func() time.Duration
	// OnHarmful, unless nil, is called when there are records of harmful requests to send to the
	// other daemons; urgent is set if they must be sent at once. It must not block.
	OnHarmful func(urgent bool)
	// OnHeld, unless nil, is called with the record of a request that is held after an end of
	// this daemon's back end. It must not block.
	OnHeld func(quarantine.Record)
	// OnCallRate, unless nil, is called when Proxy.CallRate has changed significantly. OnBackendLeaving,
	// unless nil, is called once for a start of the back end that has stated in an answer that it
	// leaves.
	OnCallRate       func(protocol.BackendStart)
	OnBackendLeaving func(protocol.BackendStart)
	// WarmUp defines how far the calls to a cold back end may exceed the rate that its service
	// states.
	WarmUp warmup.Tolerance
	// PeerTLS is the TLS configuration of calls to other daemons' gates; with nil they are not
	// encrypted. The server of a gate has its own, see Server.SetTLS.
	PeerTLS *tls.Config
	// RandomSeed makes the choice of endpoints reproducible; with 0 it differs in each run.
	RandomSeed uint64
	// Baseline disables protections, for comparisons only.
	Baseline Baseline
	// OnBackendState, unless nil, is called when a probe changes the state of the back end. It
	// must not block.
	OnBackendState func(protocol.EndpointState)
	// Log writes one event; it must not block. Nil means no log.
	Log func(Event)
	// Trace receives the events about single requests; nil for none.
	Trace Tracer
	// Freshness returns log fields on the origin and age of the version in force, for refusals
	// that depend on it. Nil adds none.
	Freshness func() []EventField
	// Timings receives durations for histograms.
	Timings Timings
}

// Baseline disables protections, so that experiments can measure the effect of each. The zero
// value is for production; no settings file can change it.
type Baseline struct {
	// RoundRobin chooses endpoints round robin instead of by load and zone. Canaries, request
	// keys, suspected requests and large bodies for the daemon's own back end are handled as
	// usual.
	RoundRobin bool
	// UnboundedQueue lets any number of calls wait at the gate until their deadlines, in order
	// of arrival, regardless of priority and partner.
	UnboundedQueue bool
	// UnbudgetedRetries retries whenever a call has attempts left, without a retry budget and
	// without the no-retry mark.
	UnbudgetedRetries bool
}

// Event is one structured log event. It never contains a secret.
type Event struct {
	// Name is a stable event name listed in docs/OPERATIONS.md.
	Name   string
	Fields []EventField
}

// EventField is one key and value of an event.
type EventField struct {
	Key   string
	Value string
}

// Limits holds size, count and time limits of the proxy. A zero field means its default.
type Limits struct {
	// HeaderBytes is the maximum size of a call's request line and headers, as they were sent.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// QuietClose closes the idle connections of a stopping server without first announcing it by
	// an answer.
	QuietClose bool
	// IncompleteHeadBytes limits the memory for the heads of one server that have not arrived
	// completely. The connections with the oldest ones are closed for newer ones.
	IncompleteHeadBytes int64
	// RequestBytes limits the estimated memory of the requests that run on one server. Further ones
	// are refused; ordinary requests take about 16 KiB.
	RequestBytes int64
	// Connections is the maximum number of connections of one listener.
	Connections int
	// HeaderTimeout limits the time in which a request's headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// StallTimeout limits each read and write of a body.
	StallTimeout time.Duration
	// DialTimeout limits the time to open a connection. DialLimit limits it instead while
	// answers of peers take longer than DialTimeout (see Config.RoundTrip).
	DialTimeout time.Duration
	DialLimit   time.Duration
	// UpstreamConnections is the maximum number of connections to one endpoint.
	UpstreamConnections int
	// UpstreamIdle is the time after which an idle connection to an endpoint is closed. It must
	// be shorter than IdleTimeout, so that the sending side closes first.
	UpstreamIdle time.Duration
	// BackendIdle is the time after which an idle connection to the back end is closed. The
	// idle timeout of the back end is not known; that of many servers is 5 s.
	BackendIdle time.Duration
	// NoSpares disables spare connections, which are opened before calls need them.
	NoSpares bool
	// Prewarm is the number of connections that are opened to a new endpoint before its first
	// call.
	Prewarm int
	// CollectBytes is the maximum size of an answer that is read completely before its head is
	// sent on, so that an answer that breaks off is detected before then. 0 streams every answer.
	CollectBytes int
	// AheadCalls is the maximum number of repeatable requests of one caller's connection that
	// run before their turn; a negative number disables running ahead.
	AheadCalls int
	// AheadInputBytes limits the bytes read from a caller's connection beyond the current
	// request.
	AheadInputBytes int
	// AheadUnreadBytes limits the bytes read from all callers' connections beyond the current
	// requests. Above it a connection reads ahead only a little, and its calls take turns.
	AheadUnreadBytes int64
	// AheadAnswerBytes limits the buffered bytes of one answer that waits for its turn,
	// AheadHeldBytes those of all answers. A call with a longer answer pauses until its turn.
	AheadAnswerBytes int
	AheadHeldBytes   int64
	// ReplayBytes is the number of bytes of a request's body that are kept for another attempt.
	ReplayBytes int
	// AnswerMemoryBytes limits the memory for answers that are being written to callers. Above it the one
	// that has been written for longest is broken off.
	AnswerMemoryBytes int64
	// BodyMemoryBytes limits the memory for the bodies that are kept for another attempt. Calls whose
	// bodies have not arrived are refused, the oldest first, for newer ones.
	BodyMemoryBytes int64
	// QueueLength is the maximum number of calls that wait at the gate.
	QueueLength int
	// QueueWait limits the expected wait at the gate.
	QueueWait time.Duration
	// KeyWindow is how long the gate remembers the request keys of operations.
	KeyWindow time.Duration
	// KeyCount is the maximum number of remembered request keys.
	KeyCount int
	// RequestWindow is how long the gate remembers the ids of attempts.
	RequestWindow time.Duration
	// RequestCount is the maximum number of remembered attempt ids. Memory is allocated as needed.
	RequestCount int
	// CancelWait is the time after a call's deadline at which the gate releases the slot of an
	// abandoned call even if the back end has not ended it.
	CancelWait time.Duration
	// HungWait is the time after the deadline of a hung call at which the gate releases its slot.
	// The slot is kept so that a back end with hung calls gets fewer calls for a while. It is
	// released earlier only if another start of the back end replaces the start that runs the call.
	HungWait time.Duration
	// StartWait is the time after the daemon's start during which calls that can't be sent yet
	// wait; 0 lets none wait.
	StartWait time.Duration
	// DrainLinger is the time from the start of a drain during which the callers' side still
	// serves calls while asking callers to close their connections.
	DrainLinger time.Duration
	// GateLingers keeps the gate open during DrainLinger, for a daemon that stops while its back
	// end continues.
	GateLingers bool
	// DrainBound is the time from the start of a drain to its deadline. The calls still running
	// then are cancelled, with result.DrainBound.
	DrainBound time.Duration
	// ProbePeriod is the time between probes of the back end's health and load.
	ProbePeriod time.Duration
	// ProbeTimeout limits the time of one probe.
	ProbeTimeout time.Duration
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:         64 << 10,
		BodyBytes:           256 << 20,
		IncompleteHeadBytes: 16 << 20,
		RequestBytes:        64 << 20,
		Connections:         4096,
		HeaderTimeout:       10 * time.Second,
		IdleTimeout:         2 * time.Minute,
		StallTimeout:        15 * time.Second,
		DialTimeout:         time.Second,
		UpstreamConnections: 130,
		UpstreamIdle:        30 * time.Second,
		BackendIdle:         4 * time.Second,
		Prewarm:             2,
		AheadCalls:          16,
		AheadInputBytes:     64 << 10,
		AheadUnreadBytes:    16 << 20,
		AheadAnswerBytes:    64 << 10,
		AheadHeldBytes:      16 << 20,
		ReplayBytes:         64 << 10,
		AnswerMemoryBytes:   128 << 20,
		BodyMemoryBytes:     128 << 20,
		QueueLength:         256,
		QueueWait:           2 * time.Second,
		KeyWindow:           2 * time.Minute,
		KeyCount:            1 << 18,
		RequestWindow:       30 * time.Second,
		RequestCount:        1 << 20,
		CancelWait:          5 * time.Second,
		HungWait:            5 * time.Second,
		DrainLinger:         500 * time.Millisecond,
		DrainBound:          30 * time.Second,
		ProbePeriod:         500 * time.Millisecond,
		ProbeTimeout:        500 * time.Millisecond,
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// withDefaults returns the limits with zero fields set to their defaults.
func (l Limits) withDefaults() Limits {
	fallback := DefaultLimits()
	setDefault(&l.HeaderBytes, fallback.HeaderBytes)
	setDefault(&l.BodyBytes, fallback.BodyBytes)
	setDefault(&l.IncompleteHeadBytes, fallback.IncompleteHeadBytes)
	setDefault(&l.RequestBytes, fallback.RequestBytes)
	setDefault(&l.Connections, fallback.Connections)
	setDefault(&l.HeaderTimeout, fallback.HeaderTimeout)
	setDefault(&l.IdleTimeout, fallback.IdleTimeout)
	setDefault(&l.StallTimeout, fallback.StallTimeout)
	setDefault(&l.DialTimeout, fallback.DialTimeout)
	l.DialLimit = max(l.DialLimit, l.DialTimeout)
	setDefault(&l.UpstreamConnections, fallback.UpstreamConnections)
	setDefault(&l.UpstreamIdle, fallback.UpstreamIdle)
	setDefault(&l.BackendIdle, fallback.BackendIdle)
	setDefault(&l.Prewarm, fallback.Prewarm)
	setDefault(&l.AheadCalls, fallback.AheadCalls)
	setDefault(&l.AheadInputBytes, fallback.AheadInputBytes)
	setDefault(&l.AheadUnreadBytes, fallback.AheadUnreadBytes)
	setDefault(&l.AheadAnswerBytes, fallback.AheadAnswerBytes)
	setDefault(&l.AheadHeldBytes, fallback.AheadHeldBytes)
	setDefault(&l.ReplayBytes, fallback.ReplayBytes)
	setDefault(&l.AnswerMemoryBytes, fallback.AnswerMemoryBytes)
	setDefault(&l.BodyMemoryBytes, fallback.BodyMemoryBytes)
	setDefault(&l.QueueLength, fallback.QueueLength)
	setDefault(&l.QueueWait, fallback.QueueWait)
	setDefault(&l.KeyWindow, fallback.KeyWindow)
	setDefault(&l.KeyCount, fallback.KeyCount)
	setDefault(&l.RequestWindow, fallback.RequestWindow)
	setDefault(&l.RequestCount, fallback.RequestCount)
	setDefault(&l.CancelWait, fallback.CancelWait)
	setDefault(&l.HungWait, fallback.HungWait)
	setDefault(&l.DrainLinger, fallback.DrainLinger)
	setDefault(&l.DrainBound, fallback.DrainBound)
	setDefault(&l.ProbePeriod, fallback.ProbePeriod)
	setDefault(&l.ProbeTimeout, fallback.ProbeTimeout)
	return l
}
