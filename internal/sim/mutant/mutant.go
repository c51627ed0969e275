// Package mutant lists one-line faults in the cores, with which the oracle is
// shown to bite. A mutant is the text of a line and of what stands in its
// place; the cores themselves know nothing of it. It is built with the Go
// tool's -overlay into a program of its own (package run), so no production
// build can hold one.
package mutant

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/sim/oracle"
)

// The simulations in which mutants are looked for.
const (
	Mesh  = "mesh"
	Calls = "calls"
)

// Mutant is one fault.
type Mutant struct {
	Name string
	// Breaks is the invariant that the fault attacks. Defence in depth may let
	// it show as another one, or as lost liveness.
	Breaks oracle.Invariant
	// Simulation is where it is looked for: Mesh or Calls.
	Simulation string
	// File is below internal/core.
	File string
	// Old is a text that stands in the file exactly once; New replaces it.
	Old, New string
}

// All returns every mutant, by invariant.
func All() []Mutant {
	all := slices.Concat(configurationMutants, callMutants)
	slices.SortStableFunc(all, func(one, other Mutant) int { return int(one.Breaks - other.Breaks) })
	return all
}

// Apply returns the path and the mutated text of the mutant's file in the
// module at root.
func (m Mutant) Apply(root string) (string, []byte, error) {
	path := filepath.Join(root, "internal", "core", filepath.FromSlash(m.File))
	source, err := os.ReadFile(path)
	if err != nil {
		return "", nil, errors.Annotatef(err, "mutant %s", m.Name)
	}
	if count := strings.Count(string(source), m.Old); count != 1 {
		return "", nil, fmt.Errorf("mutant %s: its line stands %d times in %s", m.Name, count, m.File)
	}
	return path, []byte(strings.Replace(string(source), m.Old, m.New, 1)), nil
}

// Finding is what the simulations of one mutant showed.
type Finding struct {
	Caught bool `json:"caught"`
	// Steps counts the steps of all runs up to the catch, StepsInRun those of
	// the run that caught it.
	Steps      int    `json:"steps"`
	StepsInRun int    `json:"steps_in_run"`
	Seed       uint64 `json:"seed"`
	// By names the invariant whose check caught it.
	By        string `json:"by"`
	Violation string `json:"violation"`
}
