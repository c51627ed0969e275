// Command run looks for the first violation in simulations of the cores that
// it was built with, and prints one JSON object.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/springstack/springstack/internal/sim/calls"
	"github.com/springstack/springstack/internal/sim/mutant"
	"github.com/springstack/springstack/internal/sim/script"
	"github.com/springstack/springstack/internal/sim/world"
)

func main() {
	name := flag.String("simulation", mutant.Mesh, "mesh or calls")
	seed := flag.Uint64("seed", 1, "first seed")
	runs := flag.Int("runs", 100, "most runs")
	actions := flag.Int("actions", 60, "actions in a run")
	flag.Parse()
	simulation := world.Simulation(world.DefaultShape())
	if *name == mutant.Calls {
		simulation = calls.Simulation()
	}
	if err := json.NewEncoder(os.Stdout).Encode(look(simulation, *seed, *runs, *actions)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// look runs seeds until one breaks an invariant.
func look(simulation script.Simulation, seed uint64, runs, actions int) mutant.Finding {
	finding := mutant.Finding{}
	for run := range runs {
		outcome := simulation.Run(simulation.Table.Generate(seed+uint64(run), actions))
		finding.Steps += outcome.Steps
		if len(outcome.Violations) == 0 {
			continue
		}
		finding.Caught = true
		finding.Seed = seed + uint64(run)
		finding.StepsInRun = outcome.Steps
		finding.By = outcome.Violations[0].Invariant.String()
		finding.Violation = outcome.Violations[0].String()
		return finding
	}
	return finding
}
