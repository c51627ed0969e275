package proxy

import "github.com/springstack/springstack/internal/result"

// Counters is a copy of what the proxy has counted since its start.
type Counters struct {
	// CallerCalls and GateCalls are the calls taken on each side.
	CallerCalls uint64
	GateCalls   uint64
	// Attempts are the sendings to gates, Retries those after the first.
	Attempts uint64
	Retries  uint64
	// GateRunning and GateQueued are the calls at the gate now.
	GateRunning int
	GateQueued  int
	// Refusals counts refusals by code, on both sides.
	Refusals map[result.Code]uint64
}

// Counters returns the present counts.
func (p *Proxy) Counters() Counters {
	return Counters{GateRunning: int(p.running.Load()), Refusals: map[result.Code]uint64{}}
}
