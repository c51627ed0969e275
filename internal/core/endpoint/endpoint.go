// Package endpoint keeps what a callers' side knows of the back ends of a
// service and chooses one for each call. A set is immutable and replaced
// whole; the counts of an endpoint are atomics that outlive the sets. It reads
// no clock and draws no random numbers; both are passed in.
package endpoint

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/warmup"
)

// The rules by which evidence is weighed.
const (
	// warmUp is how long a cold endpoint takes to get its full share.
	warmUp = 10 * time.Second
	// coldShare is the share of an endpoint that has just come.
	coldShare = 0.1
	// warmingShare is the most that an endpoint gets while it says itself that
	// it is warming.
	warmingShare = 0.5
	// reportLife is when a load report counts for nothing any more.
	reportLife = 2 * time.Second
	// leavingLife is how long a gate's refusal to take new work stands against
	// the member record known then. A newer record ends it earlier.
	leavingLife = 5 * time.Second
	// refusalLife and refusalLoad keep calls from a gate that has just refused
	// one for load while there are others. Its queue may be short because its
	// back end is slow, and would draw the calls that it then refuses.
	refusalLife = 200 * time.Millisecond
	refusalLoad = 100
	// brokenLimit and errorLimit are the consecutive broken calls, and answers
	// of server error, after which an endpoint is ejected. One failure to
	// connect is enough.
	brokenLimit = 3
	errorLimit  = 10
	// ejectionUnit is the first ejection; each one after it without a success
	// between doubles, up to ejectionLimit.
	ejectionUnit  = time.Second
	ejectionLimit = 30 * time.Second
)

// Endpoint is one back end as a set knows it. It is immutable but for Stats.
type Endpoint struct {
	Service resource.ServiceRef
	Backend string
	// Address is the data address of the daemon beside it.
	Address string
	Region  string
	Zone    string
	Slots   int
	// Software is the version of the back end's software; empty when not known.
	Software string
	// Born is when the back end started by its own word; 0 when it does not tell.
	Born int64
	// Node, Incarnation and Sequence are those of the daemon's own record; zero
	// when the daemon has not been heard of.
	Node        protocol.NodeID
	Incarnation protocol.Incarnation
	Sequence    uint64
	// State is what the daemon says of its back end; EndpointNone when it has
	// not been heard of.
	State protocol.EndpointState
	// ColdRate is how many calls a second it bears while it is cold; 0 when not stated.
	ColdRate float64
	// Doubted is set while the daemon is silent or not heard of yet.
	Doubted bool

	stats *stats
}

// stats is what the calls of this process have met at an endpoint. It belongs
// to one incarnation of the daemon beside it. It fills two cache lines: neighbours on one
// would slow each other down.
type stats struct {
	outstanding atomic.Int64
	// others is the load of other callers when last reported, float64 bits.
	others     atomic.Uint64
	reportedAt atomic.Int64
	// service is the gate's mean service time, in nanoseconds.
	service atomic.Int64
	// failures and errors count since the last success.
	failures     atomic.Int64
	errors       atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	// leavingUntil and leavingSequence hold a refusal to take new work.
	leavingUntil    atomic.Int64
	leavingSequence atomic.Uint64
	// recordAt is when the present record of the daemon came.
	recordAt atomic.Int64
	// noStartUntil is until when the gate of a cold back end has no start for calls of each class.
	noStartUntil [warmup.ClassCount]atomic.Int64
	// refusingUntil holds a refusal for load.
	refusingUntil atomic.Int64
	// readyAt is when the endpoint was first seen by this process.
	readyAt atomic.Int64
}

// Outcome is how a call at an endpoint ended, as evidence.
type Outcome int

// The outcomes of calls.
const (
	// Fine: an answer of the back end.
	Succeeded Outcome = iota + 1
	// ServerError: an answer that the back end failed.
	ServerError
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection broke or the time ran out.
	Broken
	// Leaving: the gate takes no new work or is not that back end.
	NotAccepting
	// Full: the gate refused the call for load.
	Overloaded
	// Withdrawn: the caller hung up, which says nothing of the endpoint.
	Cancelled
)

// Begin counts a call sent to the endpoint; End must follow.
func (e *Endpoint) Begin() { e.stats.outstanding.Add(1) }

// End counts the end of a call and weighs its outcome.
func (e *Endpoint) End(now time.Duration, outcome Outcome) {
	e.stats.outstanding.Add(-1)
	switch outcome {
	case Succeeded:
		e.stats.success()
	case ServerError:
		if e.stats.errors.Add(1) >= errorLimit {
			e.stats.eject(now)
		}
	case Unreachable:
		e.stats.eject(now)
	case Broken:
		if e.stats.failures.Add(1) >= brokenLimit {
			e.stats.eject(now)
		}
	case Overloaded:
		e.stats.refusingUntil.Store(int64(now + refusalLife))
	case NotAccepting:
		e.stats.leavingSequence.Store(e.Sequence)
		e.stats.leavingUntil.Store(int64(now + leavingLife))
	}
}

// RecordAge is how long ago the daemon's present record came.
func (e *Endpoint) RecordAge(now time.Duration) time.Duration {
	return now - time.Duration(e.stats.recordAt.Load())
}

// SetReachable says whether the daemon beside the back end answers its peers.
// While it does not, calls go elsewhere, if there is an elsewhere.
func (e *Endpoint) SetReachable(reachable bool) {
	if reachable {
		e.stats.success()
		return
	}
	e.stats.ejectedUntil.Store(math.MaxInt64)
}

// Outstanding is the number of this process's calls at the endpoint.
func (e *Endpoint) Outstanding() int { return int(e.stats.outstanding.Load()) }

// success clears the counts of failure. It writes only what is not clear, so
// that the usual case leaves the cache line shared.
func (s *stats) success() {
	for _, counter := range [...]*atomic.Int64{&s.failures, &s.errors, &s.ejections, &s.ejectedUntil} {
		if counter.Load() != 0 {
			counter.Store(0)
		}
	}
}

// eject keeps new calls away for a time that doubles with each ejection. Calls
// that fail together count once.
func (s *stats) eject(now time.Duration) {
	until := s.ejectedUntil.Load()
	if int64(now) < until {
		return
	}
	doublings := min(s.ejections.Load(), 5)
	next := now + min(ejectionUnit<<doublings, ejectionLimit)
	if s.ejectedUntil.CompareAndSwap(until, int64(next)) {
		s.ejections.Add(1)
	}
}

// Report is a load report from the daemon beside the back end.
type LoadReport struct {
	// Running and Queued are the gate's own counts, at the sending.
	Running int
	Queued  int
	// Service is the gate's mean service time; 0 when not known.
	Service time.Duration
	// Own is what the back end says of its load, in calls; negative when it
	// says nothing. It may lie, so it only ever adds to what the gate counts.
	Own float64
	// OwnAge is how old Own was at the sending.
	OwnAge time.Duration
}

// Learn takes a load report that came with an answer, before End of that call.
func (e *Endpoint) ApplyLoadReport(now time.Duration, report LoadReport) {
	counted := float64(report.Running + report.Queued)
	others := max(0, counted-float64(e.stats.outstanding.Load()))
	unseen := min(max(0, report.Own-counted), float64(e.Slots))
	others += unseen * freshness(report.OwnAge)
	e.stats.others.Store(math.Float64bits(others))
	e.stats.reportedAt.Store(int64(now))
	if report.Service > 0 {
		e.stats.service.Store(int64(report.Service))
	}
}

// freshness falls from 1 to 0 over the life of a report.
func freshness(age time.Duration) float64 {
	return min(1, max(0, 1-float64(age)/float64(reportLife)))
}

// load is the expected number of calls at the endpoint with one more, divided
// by its slots and its share: the number that choices compare.
func (e *Endpoint) load(now time.Duration) float64 {
	load := (e.calls(now) + 1) / (float64(max(e.Slots, 1)) * e.share(now))
	if e.Doubted {
		load++
	}
	if e.refusing(now) {
		load += refusalLoad
	}
	return load
}

// calls is the expected number of calls at the endpoint.
func (e *Endpoint) calls(now time.Duration) float64 {
	calls := float64(e.stats.outstanding.Load())
	if age := now - time.Duration(e.stats.reportedAt.Load()); age < reportLife {
		calls += math.Float64frombits(e.stats.others.Load()) * freshness(age)
	}
	return calls
}

// refusing tells whether the gate has just refused a call for load.
func (e *Endpoint) refusing(now time.Duration) bool {
	return int64(now) < e.stats.refusingUntil.Load()
}

// share rises from coldShare to 1 while the endpoint warms up.
func (e *Endpoint) share(now time.Duration) float64 {
	age := now - time.Duration(e.stats.readyAt.Load())
	if e.ColdRate > 0 {
		return e.shareWhileCold()
	}
	if age >= warmUp && e.State != protocol.EndpointWarming {
		return 1
	}
	share := min(1, coldShare+(1-coldShare)*max(0, float64(age))/float64(warmUp))
	if e.State == protocol.EndpointWarming {
		return min(share, warmingShare)
	}
	return share
}

// leaving tells whether the gate refused new work and no newer word of its
// own has come since.
func (e *Endpoint) leaving(now time.Duration) bool {
	return int64(now) < e.stats.leavingUntil.Load() && e.stats.leavingSequence.Load() >= e.Sequence
}

// Ejected tells whether this process keeps calls away since it has met too many failures
// here lately, or since the daemon does not answer.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return int64(now) < e.stats.ejectedUntil.Load()
}

// degraded tells whether the gate says that its back end fails many calls.
func (e *Endpoint) degraded() bool { return e.State == protocol.EndpointDegraded }
