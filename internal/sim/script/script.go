// Package script holds what all simulations share: scripts of drawn actions,
// and what a run of one found.
package script

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/sim/oracle"
)

// Kind names what an action does; each simulation defines its own.
type Kind string

// Wait is the kind that only lets time pass.
const Wait Kind = "wait"

// Weight says how often a kind is drawn, and whether it is a fault.
type Weight struct {
	Kind   Kind
	Weight int
	Fault  bool
}

// Table is the list of kinds from which actions are drawn.
type Table []Weight

// Action is one drawn step of a script. The operands' meaning depends on the
// kind; any value is legal, so that scripts can be cut at will.
type Action struct {
	Kind Kind
	// A and B choose daemons, zones, files or sizes; below OperandLimit.
	A, B int
	// Wait is how much virtual time passes after the action.
	Wait time.Duration
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%s(%d,%d) wait=%v", a.Kind, a.A, a.B, a.Wait)
}

// OperandLimit bounds the operands of actions.
const OperandLimit = 1 << 16

// Fraction maps an operand to [0, 1).
func Fraction(operand int) float64 { return float64(operand%OperandLimit) / OperandLimit }

// Scaled maps an operand to a duration below limit.
func Scaled(operand int, limit time.Duration) time.Duration {
	return time.Duration(Fraction(operand) * float64(limit))
}

// shortWait and longWait bound the time after an action.
const (
	shortWait = 400 * time.Millisecond
	longWait  = 12 * time.Second
	// longEvery is how seldom a wait is long.
	longEvery = 12
)

// Draw returns a random number in [0, limit). Rapid and the campaign's own
// generator both provide one.
type Draw func(limit int) int

// Draw draws one action.
func (t Table) Draw(draw Draw) Action {
	action := Action{Kind: t.drawKind(draw), A: draw(OperandLimit), B: draw(OperandLimit)}
	limit := shortWait
	if action.Kind == Wait || draw(longEvery) == 0 {
		limit = longWait
	}
	const grain = time.Millisecond
	action.Wait = time.Duration(draw(int(limit/grain))) * grain
	return action
}

func (t Table) drawKind(draw Draw) Kind {
	total := 0
	for _, entry := range t {
		total += entry.Weight
	}
	choice := draw(total)
	for _, entry := range t {
		if choice < entry.Weight {
			return entry.Kind
		}
		choice -= entry.Weight
	}
	return Wait
}

// IsFault reports whether a kind is a fault.
func (t Table) IsFault(kind Kind) bool {
	for _, entry := range t {
		if entry.Kind == kind {
			return entry.Fault
		}
	}
	return false
}

// Script is one run: a seed for what the simulator draws itself, and the
// actions.
type Script struct {
	Seed    uint64
	Actions []Action
}

// Generate draws a script of the given number of actions.
func (t Table) Generate(seed uint64, actions int) Script {
	const stream = 0xac710
	random := rand.New(rand.NewPCG(seed, stream))
	generated := Script{Seed: seed}
	for range actions {
		generated.Actions = append(generated.Actions, t.Draw(random.IntN))
	}
	return generated
}

// Outcome is what a run found.
type Outcome struct {
	Violations []oracle.Violation
	// Steps is how many messages, replies and actions the cores were stepped
	// with; Ticks counts the steps that only let time pass.
	Steps int
	Ticks int
	// Performed is how many actions were carried out before a violation.
	Performed int
	// Faults counts the faults brought about, by kind; Answers what operators
	// and callers were told, by code name; Logs the nodes' log events by name.
	Faults  map[string]int
	Answers map[string]int
	Logs    map[string]int
	// Accepted is the highest version that an operator was told of.
	Accepted uint64
	// Settled is how long the mesh took to settle after the faults.
	Settled time.Duration
}

// NewOutcome returns an outcome that counts from zero.
func NewOutcome() Outcome {
	return Outcome{Faults: map[string]int{}, Answers: map[string]int{}, Logs: map[string]int{}}
}

// Simulation is one kind of simulated system.
type Simulation struct {
	Name  string
	Table Table
	// Run carries out a script and judges liveness at its end.
	Run func(script Script) Outcome
}
