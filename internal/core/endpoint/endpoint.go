// Package endpoint keeps the calling daemon's view of the back ends of a service
// and chooses one for each call. A set is immutable and replaced as a whole; the
// statistics of an endpoint are atomics shared by successive sets. The package
// reads no clock and draws no random numbers; both are passed in.
package endpoint

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/warmup"
)

// Parameters of load estimation, warm-up and ejection.
const (
	// warmUpPeriod is the time in which a new endpoint's share of calls rises to 1.
	warmUpPeriod = 10 * time.Second
	// initialShare is the share of calls of an endpoint that has just been added.
	initialShare = 0.1
	// maxWarmingShare is the largest share of an endpoint that reports that it is
	// warming up.
	maxWarmingShare = 0.5
	// reportLifetime is the age from which a load report is ignored.
	reportLifetime = 2 * time.Second
	// notAcceptingPeriod is how long an endpoint is avoided after its gate refused new
	// calls. A newer member record ends it earlier.
	notAcceptingPeriod = 5 * time.Second
	// overloadPeriod is how long overloadPenalty is added to the load of an endpoint
	// whose gate refused a call for load, so that other endpoints are preferred.
	// The queue of a slow back end may be short; without the addition it would
	// attract calls only to refuse them.
	overloadPeriod  = 200 * time.Millisecond
	overloadPenalty = 100
	// brokenLimit and errorLimit are the numbers of broken calls and of server
	// errors without a success in between after which an endpoint is ejected. A
	// failure to connect ejects at once.
	brokenLimit = 3
	errorLimit  = 10
	// firstEjection is the duration of the first ejection. It doubles with each
	// further ejection, up to maxEjection, until a call succeeds.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// Endpoint is one back end in a set. It is immutable except for its statistics.
type Endpoint struct {
	Service resource.ServiceRef
	Backend string
	// Address is the data address of the back end's daemon.
	Address string
	Region  string
	Zone    string
	Slots   int
	// Software is the version of the back end's software; empty when not known.
	Software string
	// Born is the start time that the back end reports; 0 if it reports none.
	Born int64
	// Node, Incarnation and Sequence are taken from the daemon's member record;
	// they are zero while no record is known.
	Node        protocol.NodeID
	Incarnation protocol.Incarnation
	Sequence    uint64
	// State is the state that the daemon reports for its back end; EndpointNone
	// while no record is known.
	State protocol.EndpointState
	// ColdRate is the calls per second that the back end can serve while it is cold; 0
	// if not configured.
	ColdRate float64
	// CallRate is the calls per second that the back end states to accept; 0 if it states none.
	CallRate float64
	// Doubted is set while the daemon is suspected to have failed or has no member
	// record yet.
	Doubted bool

	stats *stats
}

// stats holds the statistics of this process's calls to an endpoint. They are replaced when
// the back end or, without Locality.TrustStates, its daemon restarts. The struct fills two
// cache lines, which avoids false sharing between endpoints.
type stats struct {
	outstanding atomic.Int64
	// otherCalls is the number of other callers' calls computed from the last load report,
	// as float64 bits; reportedAt is the time at which that report was received.
	otherCalls atomic.Uint64
	reportedAt atomic.Int64
	// serviceTime is the gate's mean service time, in nanoseconds.
	serviceTime atomic.Int64
	// brokenCalls and serverErrors count since the last success.
	brokenCalls  atomic.Int64
	serverErrors atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	// notAcceptingUntil is the time until which the endpoint is avoided after a refusal of new
	// calls, notAcceptingSequence the sequence of the member record at the refusal.
	notAcceptingUntil    atomic.Int64
	notAcceptingSequence atomic.Uint64
	// recordReceivedAt is the time at which the daemon's current member record was received.
	recordReceivedAt atomic.Int64
	// coldUntil holds, for each class, the time until which a gate that limits the starts at its back
	// end accepts no call of the class.
	coldUntil [warmup.ClassCount]atomic.Int64
	// overloadedUntil is the time until which overloadPenalty is added after a refusal for load.
	overloadedUntil atomic.Int64
	// warmUpStartedAt is the time from which the warm-up is counted.
	warmUpStartedAt atomic.Int64
}

// Outcome is the result of a call as far as it concerns the health of the endpoint.
type Outcome int

// The outcomes of calls.
const (
	// Succeeded means that the back end answered.
	Succeeded Outcome = iota + 1
	// ServerError means that the back end answered with a server error.
	ServerError
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke or the call timed out.
	Broken
	// NotAccepting means that the gate accepts no new calls or belongs to another back end.
	NotAccepting
	// Overloaded means that the gate refused the call for load.
	Overloaded
	// Cancelled means that the caller cancelled; it does not affect the endpoint.
	Cancelled
)

// Begin counts a call sent to the endpoint. Each Begin must be followed by an End.
func (e *Endpoint) Begin() { e.stats.outstanding.Add(1) }

// End counts the end of a call and updates the endpoint's health by its outcome.
func (e *Endpoint) End(now time.Duration, outcome Outcome) {
	e.stats.outstanding.Add(-1)
	switch outcome {
	case Succeeded:
		e.stats.clearFailures()
	case ServerError:
		if e.stats.serverErrors.Add(1) >= errorLimit {
			e.stats.eject(now)
		}
	case Unreachable:
		e.stats.eject(now)
	case Broken:
		if e.stats.brokenCalls.Add(1) >= brokenLimit {
			e.stats.eject(now)
		}
	case Overloaded:
		e.stats.overloadedUntil.Store(int64(now + overloadPeriod))
	case NotAccepting:
		e.stats.notAcceptingSequence.Store(e.Sequence)
		e.stats.notAcceptingUntil.Store(int64(now + notAcceptingPeriod))
	}
}

// RecordAge returns the time since the daemon's current member record was received.
func (e *Endpoint) RecordAge(now time.Duration) time.Duration {
	return now - time.Duration(e.stats.recordReceivedAt.Load())
}

// SetReachable records whether the back end's daemon answers its peers. While it does
// not, the endpoint is ejected.
func (e *Endpoint) SetReachable(reachable bool) {
	if reachable {
		e.stats.clearFailures()
		return
	}
	e.stats.ejectedUntil.Store(math.MaxInt64)
}

// Outstanding returns the number of this process's calls in flight to the endpoint.
func (e *Endpoint) Outstanding() int { return int(e.stats.outstanding.Load()) }

// clearFailures resets the failure counters and ends an ejection. It writes only non-zero
// counters, so that the cache line usually stays shared between processors.
func (s *stats) clearFailures() {
	for _, counter := range [...]*atomic.Int64{&s.brokenCalls, &s.serverErrors, &s.ejections, &s.ejectedUntil} {
		if counter.Load() != 0 {
			counter.Store(0)
		}
	}
}

// eject excludes the endpoint from choices for a time that doubles with each ejection.
// Failures during an ejection do not extend it.
func (s *stats) eject(now time.Duration) {
	until := s.ejectedUntil.Load()
	if int64(now) < until {
		return
	}
	doublings := min(s.ejections.Load(), 5)
	next := now + min(firstEjection<<doublings, maxEjection)
	if s.ejectedUntil.CompareAndSwap(until, int64(next)) {
		s.ejections.Add(1)
	}
}

// LoadReport is a load report from the back end's daemon.
type LoadReport struct {
	// Running and Queued are the gate's counts of calls when the report was sent.
	Running int
	Queued  int
	// Service is the mean service time that the gate measured; 0 if unknown.
	Service time.Duration
	// Own is the load that the back end itself reports, in calls; negative if it
	// reports none. It is not trusted, so it can only raise the gate's count.
	Own float64
	// OwnAge is the age of Own when the report was sent.
	OwnAge time.Duration
}

// ApplyLoadReport applies a load report received with the response to a call. It must be called
// before End of that call.
func (e *Endpoint) ApplyLoadReport(now time.Duration, report LoadReport) {
	gateCalls := float64(report.Running + report.Queued)
	otherCalls := max(0, gateCalls-float64(e.stats.outstanding.Load()))
	uncountedCalls := min(max(0, report.Own-gateCalls), float64(e.Slots))
	otherCalls += uncountedCalls * reportWeight(report.OwnAge)
	e.stats.otherCalls.Store(math.Float64bits(otherCalls))
	e.stats.reportedAt.Store(int64(now))
	if report.Service > 0 {
		e.stats.serviceTime.Store(int64(report.Service))
	}
}

// reportWeight returns the weight of a load report, which falls from 1 to 0 over reportLifetime.
func reportWeight(age time.Duration) float64 {
	return min(1, max(0, 1-float64(age)/float64(reportLifetime)))
}

// load returns the load by which choices compare endpoints: the estimated number of calls
// including the new one, divided by the slots multiplied by capacityShare, plus additions
// for a doubted or overloaded endpoint.
func (e *Endpoint) load(now time.Duration) float64 {
	load := (e.calls(now) + 1) / (float64(max(e.Slots, 1)) * e.capacityShare(now))
	if e.Doubted {
		load++
	}
	if e.isOverloaded(now) {
		load += overloadPenalty
	}
	return load
}

// calls returns the estimated number of calls at the endpoint, from all callers.
func (e *Endpoint) calls(now time.Duration) float64 {
	calls := float64(e.stats.outstanding.Load())
	if age := now - time.Duration(e.stats.reportedAt.Load()); age < reportLifetime {
		calls += math.Float64frombits(e.stats.otherCalls.Load()) * reportWeight(age)
	}
	return calls
}

// isOverloaded reports whether the gate refused a call for load within overloadPeriod.
func (e *Endpoint) isOverloaded(now time.Duration) bool {
	return int64(now) < e.stats.overloadedUntil.Load()
}

// capacityShare returns the fraction of the slots with which load counts the endpoint. It rises from
// initialShare to 1 during the warm-up.
func (e *Endpoint) capacityShare(now time.Duration) float64 {
	age := now - time.Duration(e.stats.warmUpStartedAt.Load())
	if e.ColdRate > 0 || e.CallRate > 0 {
		return e.limitedCapacityShare()
	}
	if age >= warmUpPeriod && e.State != protocol.EndpointWarming {
		return 1
	}
	share := min(1, initialShare+(1-initialShare)*max(0, float64(age))/float64(warmUpPeriod))
	if e.State == protocol.EndpointWarming {
		return min(share, maxWarmingShare)
	}
	return share
}

// isNotAccepting reports whether the gate refused new calls within notAcceptingPeriod and the
// sequence number of the member record has not risen since.
func (e *Endpoint) isNotAccepting(now time.Duration) bool {
	return int64(now) < e.stats.notAcceptingUntil.Load() && e.stats.notAcceptingSequence.Load() >= e.Sequence
}

// Ejected reports whether the endpoint is ejected because of recent failures or because its
// daemon does not answer. Choose avoids ejected endpoints while enough others are left.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return int64(now) < e.stats.ejectedUntil.Load()
}

// isDegraded reports whether the member record states that the back end fails many calls.
func (e *Endpoint) isDegraded() bool { return e.State == protocol.EndpointDegraded }
