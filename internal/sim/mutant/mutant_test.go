package mutant_test

import (
	"go/parser"
	"go/token"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/sim/mutant"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// TestEachMutantStillFits keeps the list in step with the cores: each line
// stands once, the mutated file parses, and each invariant has three mutants.
func TestEachMutantStillFits(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	count := map[oracle.Invariant]int{}
	for _, one := range mutant.All() {
		path, text, err := one.Apply("../../..")
		is.NoErr(err)
		_, err = parser.ParseFile(token.NewFileSet(), path, text, parser.SkipObjectResolution)
		is.NoErr(err)
		is.True(!names[one.Name])
		names[one.Name] = true
		count[one.Breaks]++
	}
	for invariant := oracle.NoOlderVersion; invariant <= oracle.InForceHolds; invariant++ {
		is.True(count[invariant] >= 3)
	}
}
