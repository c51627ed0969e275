package world

import (
	"time"

	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
	"github.com/springstack/springstack/internal/sim/script"
)

// Bounds of liveness in virtual time, from the instant at which all faults
// have stopped.
const (
	// SettleBound is by when everything accepted must be in force everywhere.
	SettleBound = 90 * time.Second
	// settlePoll is how often the waiting run looks and asks for the status.
	settlePoll = 500 * time.Millisecond
)

// warmUp is how long the mesh gets to start before the first action.
const warmUp = 5 * time.Second

// Simulation returns the simulation of a whole mesh of the given shape.
func Simulation(shape Shape) script.Simulation {
	return script.Simulation{
		Name:  "mesh",
		Table: Table,
		Run:   func(run script.Script) script.Outcome { return Run(run, shape) },
	}
}

// Run carries out a script and judges liveness at its end.
func Run(run script.Script, shape Shape) script.Outcome {
	w := New(run.Seed, shape)
	w.Run(warmUp)
	for _, action := range run.Actions {
		if w.failed() {
			break
		}
		w.Perform(action)
		w.outcome.Performed++
	}
	w.outcome.Settled = w.Settle()
	w.outcome.Violations = w.oracle.Violations()
	w.outcome.Accepted = w.oracle.Accepted()
	w.outcome.Steps += w.outcome.Performed
	return w.outcome
}

func (w *World) failed() bool { return len(w.oracle.Violations()) > 0 }

// Settle stops all faults and waits until everything accepted is in force
// everywhere, at most SettleBound. It returns how long that took.
func (w *World) Settle() time.Duration {
	if w.failed() {
		return 0
	}
	w.stopFaults()
	start := w.Now()
	w.timeline.After(settlePoll, func() {
		for _, partner := range partners {
			w.operators.probe(partner)
		}
	})
	for w.Now() < start+SettleBound && !w.failed() {
		w.operators.status()
		w.Run(settlePoll)
		if w.settled() {
			break
		}
	}
	if w.failed() {
		return w.Now() - start
	}
	w.observeAllServing()
	w.oracle.Settled(w.Now(), w.proxyNames(), w.finalHoldings())
	return w.Now() - start
}

// stopFaults ends all faults and brings all daemons back.
func (w *World) stopFaults() {
	w.network.Heal()
	w.network.SetFaults(network.Faults{})
	w.platform.setFaults(standin.Faults{})
	w.wakeAll()
	w.returnAll()
	for _, s := range w.slots {
		s.clock.setRate(w.Now(), 1)
		s.clock.wallSkew = 0
		w.platform.update(s, false)
	}
}

// settled reports whether nothing is left to wait for.
func (w *World) settled() bool {
	w.observeAllServing()
	return w.operators.open == 0 &&
		w.oracle.Unsucceeded() == 0 &&
		len(w.oracle.Lagging(w.proxyNames())) == 0 &&
		w.oracle.InForce() >= w.oracle.Accepted()
}

func (w *World) proxyNames() []oracle.ProxyName {
	names := make([]oracle.ProxyName, 0, len(w.slots))
	for _, s := range w.slots {
		names = append(names, s.name())
	}
	return names
}

func (w *World) finalHoldings() map[oracle.ProxyName]oracle.Holding {
	holdings := map[oracle.ProxyName]oracle.Holding{}
	for _, s := range w.slots {
		if s.process != nil && s.process.inForce != nil {
			holdings[s.name()] = holdingOf(s, s.process.inForce)
		}
	}
	return holdings
}
