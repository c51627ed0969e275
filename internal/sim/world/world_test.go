package world_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/sim/world"
)

// init bounds rapid's checks unless -rapid.checks says otherwise.
func init() {
	if err := flag.Set("rapid.checks", "12"); err != nil {
		panic(err)
	}
}

// TestInvariantsUnderDrawnFaults lets rapid draw the steps.
func TestInvariantsUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := world.New(seed, world.DefaultShape())
		draw := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(t, "operand") }
		t.Repeat(map[string]func(*rapid.T){
			"act": func(*rapid.T) { w.Perform(world.Table.Draw(draw)) },
			"": func(t *rapid.T) {
				for _, violation := range w.Oracle().Violations() {
					t.Fatalf("%s", violation)
				}
			},
		})
		w.Settle()
		for _, violation := range w.Oracle().Violations() {
			t.Fatalf("%s", violation)
		}
	})
}

// TestRunsAreRepeatable checks that a seed gives one history.
func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	script := world.Table.Generate(7, 30)
	first := world.Run(script, world.DefaultShape())
	second := world.Run(script, world.DefaultShape())
	is.Equal(first, second)
}
