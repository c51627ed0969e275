package calls_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/sim/calls"
	"github.com/springstack/springstack/internal/sim/script"
)

// init bounds rapid's checks unless -rapid.checks says otherwise.
func init() {
	if err := flag.Set("rapid.checks", "60"); err != nil {
		panic(err)
	}
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
