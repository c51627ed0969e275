package proxy

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// Counters is a copy of what the proxy has counted since its start.
type Counters struct {
	// CallerCalls and GateCalls are the calls taken on each side.
	CallerCalls uint64
	GateCalls   uint64
	// Attempts are the sendings to gates, Retries those after the first.
	Attempts uint64
	Retries  uint64
	// Aborted are the answers cut short.
	Aborted uint64
	// StartWaits are the waits of calls for the daemon's start.
	StartWaits uint64
	// Ahead are the calls that ran before their turn on a connection, AheadDepth
	// the most that did so at a time on one, AheadBytes the answers held now.
	Ahead      uint64
	AheadDepth int
	AheadBytes int64
	// BodiesWaiting are the large bodies that wait to be sent to the gate now.
	BodiesWaiting int
	// CallerRunning, GateRunning and GateQueued are the calls now.
	CallerRunning int
	GateRunning   int
	GateQueued    int
	// GateService is the gate's mean service time.
	GateService time.Duration
	// Refusals counts refusals by code, on both sides.
	Refusals map[result.Code]uint64
	// Cold says that starts are bounded now, since the back end is cold.
	Cold bool
	// BackendEnds counts the ends of the back end under calls, HarmfulRequests the requests
	// that may be harmful by what is believed of them now.
	BackendEnds uint64
	// IsolatedCalls counts the calls that ran alone since their request was suspected.
	IsolatedCalls   uint64
	HarmfulRequests map[quarantine.State]int
	// HungCalls counts the calls that the back end was found never to answer, BackendOpen the
	// connections to it now.
	HungCalls   uint64
	BackendOpen int
	// Abandoned counts the attempts that were ended before their answer, by reason.
	Abandoned map[AbandonReason]uint64
}

// codeLimit bounds the codes that are counted one by one.
const codeCount = int(result.Internal) + 1

// tally is the counting behind Counters.
type counterSet struct {
	callerCalls atomic.Uint64
	gateCalls   atomic.Uint64
	attempts    atomic.Uint64
	retries     atomic.Uint64
	aborted     atomic.Uint64
	startWaits  atomic.Uint64
	// ahead are the calls that ran ahead of their turn, aheadDepth the most that
	// did on one connection at a time.
	ranAhead   atomic.Uint64
	aheadDepth atomic.Int64
	// answered are the calls that the back end answered well.
	succeeded atomic.Uint64
	refusals  [codeCount]atomic.Uint64
	// backendEnds are the ends of the back end under calls.
	backendEnds atomic.Uint64
	// isolated are the calls that ran alone since their request was suspected.
	isolatedCalls atomic.Uint64
	// hungCalls are the calls that the back end was found never to answer.
	hungCalls atomic.Uint64
	// abandoned are the attempts that were ended before their answer.
	abandoned abandonedCounts
}

func (t *counterSet) recordRefusal(code result.Code) {
	if code >= 0 && int(code) < codeCount {
		t.refusals[code].Add(1)
	}
}

// Counters returns the present counts.
func (p *Proxy) Counters() Counters {
	counters := Counters{
		CallerCalls:   p.counters.callerCalls.Load(),
		GateCalls:     p.counters.gateCalls.Load(),
		Attempts:      p.counters.attempts.Load(),
		Retries:       p.counters.retries.Load(),
		Aborted:       p.counters.aborted.Load(),
		StartWaits:    p.counters.startWaits.Load(),
		Ahead:         p.counters.ranAhead.Load(),
		AheadDepth:    int(p.counters.aheadDepth.Load()),
		AheadBytes:    p.heldAnswers.Used(),
		CallerRunning: int(p.runningCallerCalls.Load()),
		Refusals:      map[result.Code]uint64{},
		Abandoned:     p.counters.abandoned.snapshot(),

		BackendEnds:     p.counters.backendEnds.Load(),
		IsolatedCalls:   p.counters.isolatedCalls.Load(),
		HungCalls:       p.counters.hungCalls.Load(),
		HarmfulRequests: p.harmful.view.Load().Count(p.config.Clock()),
	}
	if p.gate != nil {
		load := p.gate.Load()
		counters.GateRunning = load.Running
		counters.Cold = p.gate.IsColdLimited(p.config.Clock())
		counters.GateQueued = load.Queued
		counters.BodiesWaiting = int(p.transfers.waiting.Load())
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
