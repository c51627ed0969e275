package fuzz

import (
	"slices"

	"github.com/springstack/springstack/internal/sim/oracle"
	"github.com/springstack/springstack/internal/sim/script"
)

// shrinkRuns bounds how many runs shrinking one failure may take.
const shrinkRuns = 40

// Shrink looks for a shorter script that breaks the same invariant: first the
// shortest prefix, then without blocks of actions, halving the blocks.
func Shrink(simulation script.Simulation, failing script.Script) script.Script {
	whole := simulation.Run(failing)
	if len(whole.Violations) == 0 {
		return failing
	}
	search := &shrinker{simulation: simulation, broken: whole.Violations[0].Invariant, runs: shrinkRuns}
	best := script.Script{Seed: failing.Seed, Actions: failing.Actions[:whole.Performed]}
	if !search.fails(best) {
		best = failing
	}
	for size := max(1, len(best.Actions)/2); ; size /= 2 {
		best = search.without(best, size)
		if size == 1 || search.runs <= 0 {
			return best
		}
	}
}

// shrinker looks for scripts that break one invariant within a budget of runs.
type shrinker struct {
	simulation script.Simulation
	broken     oracle.Invariant
	runs       int
}

// without tries to leave out each block of the given size.
func (s *shrinker) without(failing script.Script, size int) script.Script {
	for start := 0; start < len(failing.Actions); {
		end := min(start+size, len(failing.Actions))
		shorter := script.Script{Seed: failing.Seed}
		shorter.Actions = slices.Delete(slices.Clone(failing.Actions), start, end)
		if s.fails(shorter) {
			failing = shorter
			continue
		}
		start = end
	}
	return failing
}

// fails reports whether a script breaks the invariant; it says no when the
// budget is spent.
func (s *shrinker) fails(tried script.Script) bool {
	if s.runs <= 0 {
		return false
	}
	s.runs--
	outcome := s.simulation.Run(tried)
	return len(outcome.Violations) > 0 && outcome.Violations[0].Invariant == s.broken
}
