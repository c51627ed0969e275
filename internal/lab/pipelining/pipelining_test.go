package pipelining

import (
	"testing"

	"github.com/matryer/is"
)

// TestEveryAnswerIsItsOwnBothWays asserts nothing about time.
func TestEveryAnswerIsItsOwnBothWays(t *testing.T) {
	check := is.New(t)
	for _, w := range []way{serial, ahead} {
		started, err := startRig(Options{Seed: 1}, w, service)
		check.NoErr(err)
		figures := &Figures{}
		took, err := figures.drive(t.Context(), started, 6, 3)
		check.NoErr(err)
		check.Equal(len(took), connections*6*3)
		check.Equal(figures.Violations, 0)
		started.Close()
	}
}
