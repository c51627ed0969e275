package fuzz

import (
	"slices"

	"github.com/springstack/springstack/internal/sim/oracle"
	"github.com/springstack/springstack/internal/sim/world"
)

// shrinkRuns bounds how many runs shrinking one failure may take.
const shrinkRuns = 150

// Shrink looks for a shorter script that breaks the same invariant: first the
// shortest prefix, then without blocks of actions, halving the blocks.
func Shrink(script world.Script, shape world.Shape) world.Script {
	whole := world.Run(script, shape)
	if len(whole.Violations) == 0 {
		return script
	}
	search := &shrinker{shape: shape, broken: whole.Violations[0].Invariant, runs: shrinkRuns}
	best := world.Script{Seed: script.Seed, Actions: script.Actions[:whole.Performed]}
	if !search.fails(best) {
		best = script
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
	shape  world.Shape
	broken oracle.Invariant
	runs   int
}

// without tries to leave out each block of the given size.
func (s *shrinker) without(script world.Script, size int) world.Script {
	for start := 0; start < len(script.Actions); {
		end := min(start+size, len(script.Actions))
		shorter := world.Script{Seed: script.Seed}
		shorter.Actions = slices.Delete(slices.Clone(script.Actions), start, end)
		if s.fails(shorter) {
			script = shorter
			continue
		}
		start = end
	}
	return script
}

// fails reports whether a script breaks the invariant; it says no when the
// budget is spent.
func (s *shrinker) fails(script world.Script) bool {
	if s.runs <= 0 {
		return false
	}
	s.runs--
	outcome := world.Run(script, s.shape)
	return len(outcome.Violations) > 0 && outcome.Violations[0].Invariant == s.broken
}
