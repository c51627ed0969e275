package quotas

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/quota"
)

func optionsOf(daemons int) Options {
	return Options{
		Seed: 7, Runs: 4, Length: 24 * time.Second, Daemons: daemons, Tenants: 80, PerSecond: 1400,
		HotFactor: 7.5, CutShare: 0.17, KillShare: 0.16,
		Tolerance: quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
}

// Guards against calls beyond a quota while a tenant sends many times its usual, daemons are cut off
// from the counters or restart, and a quota is lowered.
func TestLeasesKeepQuotasOverAllDaemons(t *testing.T) {
	for _, daemons := range []int{20, 76, 300} {
		for _, moves := range []bool{false, true} {
			check := is.New(t)
			options := optionsOf(daemons)
			options.HotMoves = moves
			figures := Run(options)
			t.Logf("%d daemons, moves %t: %+v", daemons, moves, figures)
			check.Equal(figures[0].Way, "leases")
			check.Equal(figures[0].Overruns, 0)
		}
	}
}

// Guards against quotas that hold only while most daemons reach the counters.
func TestLeasesKeepQuotasWhileHalfOfTheDaemonsAreCutOff(t *testing.T) {
	check := is.New(t)
	options := optionsOf(76)
	options.CutShare = 0.5
	check.Equal(Run(options)[0].Overruns, 0)
}
