package calls_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/sim/calls"
	"github.com/springstack/springstack/internal/sim/script"
)

// TestMain fixes rapid's seed and bounds its checks unless flags say
// otherwise, so that the verdict in CI repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(one *flag.Flag) { given[one.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestCallsUnderDrawnFaults lets rapid draw the actions.
func TestCallsUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(t, "operand") }
		drawn := script.Script{Seed: rapid.Uint64().Draw(t, "seed")}
		t.Repeat(map[string]func(*rapid.T){
			"act": func(*rapid.T) { drawn.Actions = append(drawn.Actions, calls.Table.Draw(draw)) },
		})
		for _, violation := range calls.Run(drawn).Violations {
			t.Errorf("%s", violation)
		}
	})
}

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	drawn := calls.Table.Generate(3, 60)
	is.Equal(calls.Run(drawn), calls.Run(drawn))
}
