package proxy

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// Counters is a copy of the proxy's counters since its start, and of some current values.
type Counters struct {
	// CallerCalls and GateCalls count the calls received by the callers' side and by the gate.
	CallerCalls uint64
	GateCalls   uint64
	// Attempts counts the attempts sent to gates, Retries the decisions to make another attempt.
	Attempts uint64
	Retries  uint64
	// Aborted counts the answers that could not be sent completely.
	Aborted uint64
	// StartWaits counts the waits of calls during the daemon's start.
	StartWaits uint64
	// Ahead counts the calls that ran before their turn on a connection. AheadDepth is the
	// maximum number of such calls at a time on one connection, AheadBytes the current size of
	// their buffered answers.
	Ahead      uint64
	AheadDepth int
	AheadBytes int64
	// BodiesWaiting is the current number of large bodies that wait to be read by the gate.
	BodiesWaiting int
	// CallerRunning, GateRunning and GateQueued are the current numbers of calls.
	CallerRunning int
	GateRunning   int
	GateQueued    int
	// GateService is the gate's mean service time.
	GateService time.Duration
	// Refusals counts refusals by code, on both sides.
	Refusals map[result.Code]uint64
	// Cold is set while the gate limits the starts of calls because the back end is cold.
	Cold bool
	// CallRate is the number of calls per second that the back end states to accept, 0 if none, and
	// NoticeFaults the number of its answers with an invalid statement about itself.
	CallRate     float64
	NoticeFaults uint64
	// BackendEnds counts the ends of the back end during calls.
	BackendEnds uint64
	// IsolatedCalls counts the calls that ran alone because their request was suspected.
	// HarmfulRequests counts the possibly harmful requests by their current state.
	IsolatedCalls   uint64
	HarmfulRequests map[quarantine.State]int
	// HungCalls counts the calls found to hang at the back end. BackendOpen is the current number
	// of connections to it.
	HungCalls   uint64
	BackendOpen int
	// Abandoned counts the attempts that were abandoned before their answer, by reason.
	Abandoned map[AbandonReason]uint64
}

// codeCount is the number of result codes that have a counter.
const codeCount = int(result.Internal) + 1

// counterSet holds the counters that Counters copies.
type counterSet struct {
	callerCalls    atomic.Uint64
	gateCalls      atomic.Uint64
	attempts       atomic.Uint64
	retries        atomic.Uint64
	abortedAnswers atomic.Uint64
	startWaits     atomic.Uint64
	// callsAhead counts the calls that ran before their turn; maxAheadDepth is the maximum number
	// of such calls at a time on one connection.
	callsAhead    atomic.Uint64
	maxAheadDepth atomic.Int64
	// succeededCalls counts the calls that the back end answered without a server error.
	succeededCalls atomic.Uint64
	refusals       [codeCount]atomic.Uint64
	// backendEnds counts the ends of the back end during calls.
	backendEnds atomic.Uint64
	// isolatedCalls counts the calls that ran alone because their request was suspected.
	isolatedCalls atomic.Uint64
	// hungCalls counts the calls found to hang at the back end.
	hungCalls atomic.Uint64
	// abandonedAttempts counts the attempts that were abandoned before their answer.
	abandonedAttempts abandonedCounts
}

func (c *counterSet) recordRefusal(code result.Code) {
	if code >= 0 && int(code) < codeCount {
		c.refusals[code].Add(1)
	}
}

// Counters returns a copy of the counters together with the current numbers and states.
func (p *Proxy) Counters() Counters {
	counters := Counters{
		CallerCalls:   p.counters.callerCalls.Load(),
		GateCalls:     p.counters.gateCalls.Load(),
		Attempts:      p.counters.attempts.Load(),
		Retries:       p.counters.retries.Load(),
		Aborted:       p.counters.abortedAnswers.Load(),
		StartWaits:    p.counters.startWaits.Load(),
		Ahead:         p.counters.callsAhead.Load(),
		AheadDepth:    int(p.counters.maxAheadDepth.Load()),
		AheadBytes:    p.answerBudget.Used(),
		CallerRunning: int(p.runningCallerCalls.Load()),
		Refusals:      map[result.Code]uint64{},
		Abandoned:     p.counters.abandonedAttempts.snapshot(),

		BackendEnds:     p.counters.backendEnds.Load(),
		IsolatedCalls:   p.counters.isolatedCalls.Load(),
		HungCalls:       p.counters.hungCalls.Load(),
		HarmfulRequests: p.harmfulRequests.view.Load().Count(p.config.Clock()),
	}
	if p.gate != nil {
		load := p.gate.Load()
		counters.GateRunning = load.Running
		counters.Cold = p.gate.IsColdLimited(p.config.Clock())
		counters.GateQueued = load.Queued
		counters.CallRate = p.gate.CallRate()
		counters.NoticeFaults = p.notices.faults.Load()
		counters.BodiesWaiting = int(p.bodyQueue.waitingBodies.Load())
		counters.GateService = p.gate.MeanServiceTime()
		counters.BackendOpen = p.backend.openConns.count()
	}
	for code := range p.counters.refusals {
		if count := p.counters.refusals[code].Load(); count > 0 {
			counters.Refusals[result.Code(code)] = count
		}
	}
	return counters
}
