package world

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// Bounds of liveness in virtual time, from the instant at which all faults
// have stopped.
const (
	// SettleBound is by when everything accepted must be in force everywhere.
	SettleBound = 90 * time.Second
	// settlePoll is how often the waiting run looks and asks for the status.
	settlePoll = 500 * time.Millisecond
)

// Script is one run: a seed for what the simulator draws itself, and the
// actions.
type Script struct {
	Seed    uint64
	Actions []Action
}

// Outcome is what a run found.
type Outcome struct {
	Violations []oracle.Violation
	Counts     Counts
	Network    network.Counts
	// Accepted is the highest version that an operator was told of.
	Accepted uint64
	// Performed is how many actions were carried out before a violation.
	Performed int
	// Settled is how long the mesh took to settle after the faults.
	Settled time.Duration
}

// Steps is how many messages and actions the run stepped the cores with,
// ticks left out.
func (o Outcome) Steps() int { return o.Counts.Messages + o.Performed }

// Generate draws a script of the given number of actions.
func Generate(seed uint64, actions int) Script {
	const stream = 0xac710
	random := rand.New(rand.NewPCG(seed, stream))
	script := Script{Seed: seed}
	for range actions {
		script.Actions = append(script.Actions, DrawAction(random.IntN))
	}
	return script
}

// warmUp is how long the mesh gets to start before the first action.
const warmUp = 5 * time.Second

// Run carries out a script and judges liveness at its end.
func Run(script Script, shape Shape) Outcome {
	w := New(script.Seed, shape)
	w.Run(warmUp)
	outcome := Outcome{}
	for _, action := range script.Actions {
		if w.failed() {
			break
		}
		w.Perform(action)
		outcome.Performed++
	}
	outcome.Settled = w.Settle()
	outcome.Violations = w.oracle.Violations()
	outcome.Counts = w.counts
	outcome.Network = w.network.Counts()
	outcome.Accepted = w.oracle.Accepted()
	return outcome
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
		w.platform.update(s, false)
	}
}

// settled reports whether nothing is left to wait for.
func (w *World) settled() bool {
	w.observeAllServing()
	return w.operators.open == 0 &&
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
