package rollouts

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/rollout"
)

func testOptions(daemons int) Options {
	return Options{
		Seed: 7, Runs: 60, Daemons: daemons, Calls: 60,
		ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second,
	}
}

// Among few daemons and many: bad versions are rolled back within their bounds, good ones
// are completed, and no outcome is written over another one.
func TestRolloutsEndAsTheyShould(t *testing.T) {
	check := is.New(t)
	for _, daemons := range []int{12, 83, 295} {
		figures, err := Run(t.Context(), testOptions(daemons))
		check.NoErr(err)
		check.Equal(figures.Violations(), 0)
		check.Equal(figures.RolledBack, figures.Bad)
		check.True(figures.CompletedInTime >= figures.Good-1)
	}
}

// A store that takes any write, whatever it was decided on, is found out.
func TestContradictionsAreSeen(t *testing.T) {
	check := is.New(t)
	held := &store{
		random: rand.New(rand.NewPCG(1, 1)), refused: -1,
		revision: 5, outcome: rollout.StageRolledBack, stage: rollout.StageRolledBack,
	}
	check.True(!held.write(0, 0, 4, rollout.StageCompleted)) // decided on what was read before
	check.Equal(held.replaced, 0)
	held.write(0, 0, 5, rollout.StageCompleted)
	check.Equal(held.replaced, 1)
}
