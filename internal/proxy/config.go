// Package proxy is the data path: the callers' side, which routes calls to
// daemons beside back ends, and the gate, which admits calls to the back end
// beside this daemon. It does the input and output; the decisions are those of
// core/routing, core/endpoint, core/admission and core/retry.
package proxy

import (
	"crypto/tls"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/warmup"
)

// Config is what a proxy is told at its start.
type Config struct {
	// Clock is monotonic time since an arbitrary origin, the node's clock.
	Clock       func() time.Duration
	NodeID      protocol.NodeID
	Incarnation protocol.Incarnation
	Region      string
	Zone        string
	// Service and Backend name the back end beside the daemon; empty for none.
	Service resource.ServiceRef
	Backend string
	// BackendAddress is where the back end itself listens, an IP and port.
	BackendAddress string
	// Slots is how many calls the back end runs at once.
	Slots  int
	Limits Limits
	// Reported says that the back end reports its own state, by ReportBackend, and
	// is not probed. Back ends are then known by instance, and the endpoints of
	// all services come from the member records alone.
	Reported bool
	// Edge is how callers and back ends of a foreign platform speak; nil means
	// springstack's own headers.
	Edge *Edge
	// Spill says when calls leave the own zone; the zero value means
	// endpoint.DefaultSpill.
	Spill endpoint.Spillover
	// RetryBudget bounds retries at each of a number of daemons that share the
	// whole; nil means retry.DefaultLimits.
	RetryBudget func(daemons int) retry.Limits
	// OnBackendUnreachable is told when a call found that the back end takes no
	// connections. It must not block. Nil means that nobody listens.
	OnBackendUnreachable func(protocol.BackendStart)
	// OnBackendFailed is told when the back end has failed a call, with the count
	// of all calls so far that it answered well. It must not block. Nil means that
	// nobody listens.
	OnBackendFailed func(start protocol.BackendStart, answered uint64)
	// OnSilent is told when a daemon's gate owes answers and gives none. It must
	// not block. Nil means that nobody listens.
	OnSilent func(protocol.NodeID)
	// RoundTrip is within what time nearly all answers of peers come lately. Connecting
	// may take as long, if that is longer than the limit says. Nil knows nothing of it.
	RoundTrip func() time.Duration
	// OnHarmful is told that there is news of requests that may be harmful, which
	// UntoldHarmful returns, and whether it is urgent. It must not block. Nil means that
	// nobody listens.
	OnHarmful func(urgent bool)
	// OnHeld is told of a request that is held by an end that this daemon has seen. It must
	// not block. Nil means that nobody listens.
	OnHeld func(quarantine.Record)
	// WarmUp says how far the calls to a cold back end may exceed the rate that its service
	// states.
	WarmUp warmup.Tolerance
	// PeerTLS guards the calls to other daemons' gates; nil sends them in the
	// clear. A gate's server is guarded by Server.Secure.
	PeerTLS *tls.Config
	// RandomSeed makes the choices of endpoints repeatable; 0 draws a seed.
	RandomSeed uint64
	// Baseline switches protections off, for comparisons only.
	Baseline Baseline
	// OnBackendState is told when the state of the back end changes. It must
	// not block. Nil means that nobody listens.
	OnBackendState func(protocol.EndpointState)
	// Log takes one event; it must not block. Nil means no log.
	Log func(Event)
	// Trace takes the decisions that touch requests; nil for none.
	Trace Tracer
	// Freshness tells, for the log of a refusal by the version in force, how that came and how
	// fresh it is. Nil tells nothing.
	Freshness func() []EventField
	// Timings take durations; nil functions for none.
	Timings Timings
}

// Baseline leaves out one protection each, so that an experiment can show what
// it is for. The zero value is for production; no settings file reaches it.
type Baseline struct {
	// RoundRobin takes the endpoints in turn, whatever their load and zone.
	RoundRobin bool
	// UnboundedQueue lets any number of calls wait at the gate until their
	// deadline, in order of arrival, whatever their priority and partner.
	UnboundedQueue bool
	// UnbudgetedRetries retries whenever a call has attempts left, without
	// budget and without the mark against retries further down.
	UnbudgetedRetries bool
}

// Event is one thing worth a log line. It never holds a secret.
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

// Limits bounds what the proxy takes and how long it waits. A zero field
// means its default.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a call, in bytes.
	HeaderBytes int
	// BodyBytes bounds the body of a request, in bytes.
	BodyBytes int64
	// QuietClose closes idle connections without an answer that announces it.
	QuietClose bool
	// Connections bounds the connections of one listener.
	Connections int
	// HeaderTimeout bounds the arrival of a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout closes a kept connection without calls.
	IdleTimeout time.Duration
	// StallTimeout bounds each read and write of a body.
	StallTimeout time.Duration
	// DialTimeout bounds the opening of a connection, DialLimit the same where answers
	// of peers take longer (see Config.RoundTrip).
	DialTimeout time.Duration
	DialLimit   time.Duration
	// UpstreamConnections bounds the connections to one endpoint.
	UpstreamConnections int
	// UpstreamIdle closes an unused connection to an endpoint; it must be
	// shorter than IdleTimeout, so that the side that sends closes first.
	UpstreamIdle time.Duration
	// BackendIdle is the same for connections to the back end, whose own limit
	// is not known; many servers close after 5 s.
	BackendIdle time.Duration
	// NoSpares opens no connections ahead of the calls that need them.
	NoSpares bool
	// Prewarm is how many connections are opened to a new endpoint ahead of
	// its first call.
	Prewarm int
	// CollectBytes is how much of an answer is read before its head is passed
	// on, so that an answer cut short can still be told from a whole one. 0
	// streams every answer.
	CollectBytes int
	// AheadCalls bounds the repeatable requests of one caller's connection that
	// run before their turn; a negative number runs each in its turn.
	AheadCalls int
	// AheadInputBytes bounds what is read of a caller's connection beyond the request
	// that is served.
	AheadInputBytes int
	// AheadAnswerBytes bounds what is held of one answer until its turn, and
	// AheadHeldBytes what is held of all. The calls behind longer answers go on when
	// their turn comes.
	AheadAnswerBytes int
	AheadHeldBytes   int64
	// ReplayBytes is how much of a request's body is kept for sending again.
	ReplayBytes int
	// QueueLength bounds the calls waiting at the gate.
	QueueLength int
	// QueueWait bounds the expected wait at the gate.
	QueueWait time.Duration
	// KeyWindow is how long the gate remembers the request keys of operations.
	KeyWindow time.Duration
	// KeyCount bounds the request keys remembered.
	KeyCount int
	// RequestWindow is how long the gate remembers the ids of attempts.
	RequestWindow time.Duration
	// RequestCount bounds the ids remembered. Memory is taken as it is needed.
	RequestCount int
	// CancelWait is how long past its deadline the gate keeps the slot of a call that was
	// given up while the back end has not ended it.
	CancelWait time.Duration
	// HungWait is the same for a call that was found to hang: a back end that takes in less than
	// its slots say gets fewer calls for a while. It ends early only once another start runs.
	HungWait time.Duration
	// StartWait is how long after its start the daemon lets calls wait that it can't send
	// yet; 0 lets none wait.
	StartWait time.Duration
	// DrainLinger is how long a draining daemon goes on taking connections
	// after its last call, so that callers learn to go elsewhere.
	DrainLinger time.Duration
	// GateLingers keeps the gate open during the linger, for a daemon that stops
	// while its back end goes on.
	GateLingers bool
	// DrainBound is when the calls still running are cut with DrainBound.
	DrainBound time.Duration
	// ProbePeriod is the time between probes of the back end's health and load.
	ProbePeriod time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:         64 << 10,
		BodyBytes:           256 << 20,
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
		AheadAnswerBytes:    64 << 10,
		AheadHeldBytes:      16 << 20,
		ReplayBytes:         64 << 10,
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

// withDefaults fills the zero fields.
func (l Limits) withDefaults() Limits {
	fallback := DefaultLimits()
	setDefault(&l.HeaderBytes, fallback.HeaderBytes)
	setDefault(&l.BodyBytes, fallback.BodyBytes)
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
	setDefault(&l.AheadAnswerBytes, fallback.AheadAnswerBytes)
	setDefault(&l.AheadHeldBytes, fallback.AheadHeldBytes)
	setDefault(&l.ReplayBytes, fallback.ReplayBytes)
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
